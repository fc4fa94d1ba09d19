//! What a team submits and how far it has come.

mod outcome;
mod spec;
mod state;

pub use self::{
    outcome::TaskOutcome,
    spec::{JobSpec, TaskSpec},
    state::{JobState, TaskState},
};
