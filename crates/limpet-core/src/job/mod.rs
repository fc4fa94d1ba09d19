//! Jobs and tasks: their specification, state and outcome.

mod outcome;
mod spec;
mod state;

pub use self::{
    outcome::TaskOutcome,
    spec::{JobSpec, TaskSpec},
    state::{JobState, TaskState},
};
