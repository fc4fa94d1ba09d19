//! Decides where and when each task of one shard runs.
//!
//! The owner of a shard holds one [`Scheduler`], feeds it [`Event`]s and
//! performs the [`Effect`]s that come back, in their order.

mod effect;
mod event;
mod placer;
mod view;

pub use self::{
    effect::{Decision, Effect, StopReason},
    event::{Event, TaskUsage, WorkerShape},
    placer::Scheduler,
    view::{Explanation, JobView, QueueView, TaskView, TeamView, WorkerView},
};
