use crate::{
    key::{StepKey, TaskKey},
    worker::WorkerSlot,
};

/// Names a call for advice.
pub type AskId = u64;

/// What the daemon is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Ask which of these workers may run a step.
    RequestAdvice {
        /// Names the call.
        ask: AskId,
        /// The step.
        step: StepKey,
        /// The ids of the workers.
        workers: Vec<String>,
        /// The queue's priority; 0 comes first.
        priority: u32,
        /// How long the call is likely to take.
        cost_ms: f64,
    },
    /// Start a run.
    Start(StartOrder),
    /// Stop a run, or make sure that it never starts.
    Stop(StopOrder),
    /// Write down that a worker gets no new work for a while.
    Suspect {
        /// The worker.
        worker: WorkerSlot,
        /// Why.
        reason: Suspicion,
    },
}

/// Why a worker gets no new work for a while.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Suspicion {
    /// Runs of different jobs failed there one after another.
    Failures(u32),
    /// It works at this part of its tasks' estimates.
    Pace(f64),
}

/// An order to start a run.
#[derive(Clone, Debug, PartialEq)]
pub struct StartOrder {
    /// The worker.
    pub worker: WorkerSlot,
    /// The task.
    pub task: TaskKey,
    /// The number of the run.
    pub run: u32,
    /// What the task is told.
    pub payload: String,
    /// Where to resume from; empty for the beginning.
    pub checkpoint: String,
    /// The ticket of the queue's policy, where it has one.
    pub ticket: Option<String>,
}

/// An order to stop a run.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct StopOrder {
    /// The worker.
    pub worker: WorkerSlot,
    /// The task.
    pub task: TaskKey,
    /// The number of the run.
    pub run: u32,
}
