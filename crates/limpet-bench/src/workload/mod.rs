//! Workloads that a seed generates: the two of the brief and the target of
//! the first letter.

mod named;
mod stream;

use limpet_core::{
    JobSpec, WorkerId,
    scheduler::{Event, WorkerShape},
};

pub use self::{
    named::{association, koinonia, target},
    stream::{Stream, WorkClass},
};

/// A cell and what befalls it.
#[derive(Clone, Debug)]
pub struct Workload {
    /// The name of the workload.
    pub name: &'static str,
    /// The workers.
    pub workers: Vec<WorkerShape>,
    /// Teams and queues, as events before anything else.
    pub setup: Vec<Event>,
    /// The jobs, by arrival.
    pub arrivals: Vec<Arrival>,
    /// What goes wrong, by time.
    pub faults: Vec<Fault>,
    /// When the replay ends.
    pub horizon_ms: u64,
    /// The time in which enrolments or top-ups peak.
    pub peak_ms: std::ops::Range<u64>,
}

/// A job that arrives.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// When.
    pub at_ms: u64,
    /// What is submitted.
    pub spec: JobSpec,
    /// What kind of work it is.
    pub class: WorkClass,
    /// The true run time of each task over the declared one.
    pub run_factor: f64,
    /// Whether its tasks always fail.
    pub broken: bool,
    /// When it is cancelled, where it is.
    pub cancelled_at_ms: Option<u64>,
}

/// Something that goes wrong.
#[derive(Clone, Debug)]
pub struct Fault {
    /// When.
    pub at_ms: u64,
    /// What.
    pub kind: FaultKind,
}

/// What goes wrong with a worker.
#[derive(Clone, Debug)]
pub enum FaultKind {
    /// It fails every task that starts on it.
    FailsAll(WorkerId),
    /// It is repaired.
    Repaired(WorkerId),
    /// Its leases lapse.
    Lapses(WorkerId),
    /// It comes back empty.
    Returns(WorkerShape),
    /// It leaves.
    Leaves(WorkerId),
}
