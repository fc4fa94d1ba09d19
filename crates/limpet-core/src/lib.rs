//! Decision logic and data types of the limpetspur cluster scheduler.
//!
//! Every decision in this crate is a function of a state, an event and the
//! time of the event. Nothing here reads a clock, a random source or a
//! socket: the daemon carries out the decisions and feeds the results back as
//! events. This makes it possible to replay decisions, to test on a virtual
//! clock and to log decisions; `docs/DESIGN.md` explains the reasons.
//!
//! The main parts:
//!
//! * [`JobSpec`] specifies a job, whose tasks each need some [`Resources`].
//! * [`scheduler`] decides where and when each task runs.
//! * [`routing`] decides which runner gets each request to a service.
//! * [`ownership`], [`journal`] and [`recovery`] determine which instance acts
//!   for a shard, record the shard's state and restore it for a new owner.
//! * [`config`] is the cell's configuration: teams, queues, services, keys.
//! * [`command`] is the language in which operators query and change the
//!   cell.
//! * [`Error`] and [`ErrorKind`] tell what was refused and whether any work
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
