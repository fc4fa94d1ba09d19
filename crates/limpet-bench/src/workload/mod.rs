//! Workloads that are generated from a seed: the peak hours of two
//! organisations, each on a cell of 50 workers, and the peak of a cell of the
//! target size, 680 workers.

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

/// A cell, the jobs that arrive at it and the faults of its workers.
#[derive(Clone, Debug)]
pub struct Workload {
    /// The name of the workload, used in the names of cases.
    pub name: &'static str,
    /// The workers of the cell.
    pub workers: Vec<WorkerShape>,
    /// The events that set up queues and teams before the first worker joins.
    pub setup: Vec<Event>,
    /// The jobs, by arrival time.
    pub arrivals: Vec<Arrival>,
    /// The faults of workers and their repairs.
    pub faults: Vec<Fault>,
    /// The end of the replay.
    pub horizon_ms: u64,
    /// The interval during which interactive jobs arrive.
    pub peak_ms: std::ops::Range<u64>,
}

/// A job and its arrival.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// The arrival time.
    pub at_ms: u64,
    /// The submitted job.
    pub spec: JobSpec,
    /// The kind of work, for reports.
    pub class: WorkClass,
    /// The ratio of each task's true run time to the declared one.
    pub run_factor: f64,
    /// Whether every run of its tasks fails.
    pub always_fails: bool,
    /// When the job is cancelled, or `None` if it isn't.
    pub cancelled_at_ms: Option<u64>,
}

/// A fault or repair of a worker at some time.
#[derive(Clone, Debug)]
pub struct Fault {
    /// The time.
    pub at_ms: u64,
    /// The kind of fault, and the worker.
    pub kind: FaultKind,
}

/// A kind of fault or repair of a worker.
#[derive(Clone, Debug)]
pub enum FaultKind {
    /// The worker fails every task that starts on it.
    FailsAll(WorkerId),
    /// The worker no longer fails tasks.
    Repaired(WorkerId),
    /// The worker's leases expire, and its tasks are lost.
    LeasesExpire(WorkerId),
    /// The worker joins again without tasks.
    Returns(WorkerShape),
    /// The worker announces that it leaves and takes no new tasks.
    Leaves(WorkerId),
}
