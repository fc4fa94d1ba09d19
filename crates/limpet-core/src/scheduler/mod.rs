//! Decides where and when each task of one shard runs.
//!
//! The owner of a shard keeps one [`Scheduler`], passes it [`Event`]s and
//! carries out the [`Effect`]s that it returns, in order.
//!
//! [`baseline`] has a simple first-fit policy that benchmarks compare the
//! scheduler with.

mod accept;
mod backlog;
pub mod baseline;
mod claim;
mod class;
mod class_set;
mod effect;
mod ended;
mod estimate;
mod event;
mod explain;
mod fair;
mod fleet;
mod gang;
mod health;
mod job;
mod membership;
mod options;
mod place;
mod preempt;
mod preemption_budget;
mod query;
mod reservation;
mod restore;
mod retry;
mod room_index;
mod running;
mod slot;
mod spread;
mod state;
mod stop;
mod team;
mod usage;
mod view;
mod waiting;
mod worker;

pub use self::{
    effect::{Decision, Effect, StopReason},
    event::{Event, TaskUsage, WorkerShape},
    options::SchedulerOptions,
    state::Scheduler,
    view::{Explanation, JobView, QueueView, TaskView, TeamView, WorkerView},
};
