//! Decisions of the limpetspur cluster scheduler and their data.
//!
//! Everything in this crate is a function of a state, an event and the time
//! at which the event is seen. Nothing here reads a clock, a random source
//! or a socket: the daemon performs what is decided and feeds the results
//! back as events. That one property gives replay, tests on a virtual clock
//! and decision logs without further machinery; `docs/DESIGN.md` argues it.
//!
//! A tour, in the order in which a job meets the parts:
//!
//! * [`JobSpec`] is what a team submits, in tasks of some [`Resources`].
//! * [`scheduler`] decides where and when each task runs.
//! * [`config`] is what operators have decided: teams, queues, keys.
//! * [`command`] is the language in which operators ask and change.
//! * [`Error`] and [`ErrorKind`] say what was refused, and whether anything
//!   ran.

pub mod allotment;
pub mod check;
pub mod claim;
pub mod command;
pub mod config;
pub mod configuration;
mod error;
pub mod freshness;
mod id;
mod job;
pub mod journal;
pub mod membership;
pub mod ownership;
pub mod recovery;
mod resources;
pub mod routing;
pub mod scheduler;
pub mod table;
mod time;
pub mod units;

pub use crate::{
    error::{Error, ErrorKind, ErrorResponse, Result, ResultExt, RunStatus},
    id::{
        DataCentre, EndpointId, Epoch, InstanceId, JobId, KeyId, QueueName,
        Rack, Revision, ServiceName, ShardId, TaskId, TeamName, WorkerId,
    },
    job::{JobSpec, JobState, TaskOutcome, TaskSpec, TaskState},
    resources::Resources,
    time::TimeMs,
};
