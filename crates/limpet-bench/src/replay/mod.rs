//! A replay of the routing decisions on a virtual clock.
//!
//! The decisions are limpet-core's own; runners and the network are small
//! fakes: a slot count, a run time from the trace and one way between data
//! centres. Instances share nothing but what answers tell them.

mod ideal;
mod instance;
mod options;
mod outcome;
mod runner;
mod simulation;
mod trace;

pub use self::{
    ideal::ideal_latencies_us,
    options::{FleetFault, ReplayOptions},
    outcome::ReplayOutcome,
    simulation::{RUNNERS, replay},
    trace::{MEAN_RUN_MS, Trace, TraceRequest},
};
pub(crate) use self::{instance::WEIGHTS, outcome::percentile_ms};

/// The slots of all runners.
pub const SITE_SLOTS: usize = RUNNERS * runner::SLOTS as usize;
