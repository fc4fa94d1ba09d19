//! A replay of the routing decisions on a virtual clock.
//!
//! Routing, queueing, admission and retries are decided by the code of
//! limpet-core. Runners and the network are simple models: a runner has slots
//! and works on a request for the run time that the trace states, and the
//! network has a fixed delay within and between data centres. As in the real
//! system, instances learn about each other's load only from answers.

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

/// The number of slots of all runners together.
pub const FLEET_SLOTS: usize = RUNNERS * runner::SLOTS as usize;
