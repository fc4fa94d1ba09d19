//! Effects: what the engine decided and the daemon has to carry out.

use crate::{
    engine::{EndedJob, InterferingPair, LifeEnd, LostRun},
    key::{StepKey, TaskKey},
    progress::CrashRecord,
    worker::WorkerSlot,
};

/// Identifies an advice request within one engine. Logged as `ask`.
pub type AdviceRequestId = u64;

/// An action that the daemon has to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Request advice on which of `workers` may run a step.
    RequestAdvice {
        /// Identifies the request.
        ask: AdviceRequestId,
        /// The step.
        step: StepKey,
        /// The ids of the workers that the request names.
        workers: Vec<String>,
        /// The priority of the step's queue; 0 is the most urgent.
        priority: u32,
        /// The expected duration of the request.
        cost_ms: f64,
    },
    /// Send an order to start a run.
    Start(StartOrder),
    /// Send an order that stops a run and prevents it from starting later.
    Stop {
        /// The order.
        order: StopOrder,
        /// Why the run is stopped.
        reason: StopReason,
    },
    /// Log that a worker is quarantined.
    Suspect {
        /// The worker.
        worker: WorkerSlot,
        /// Why it is quarantined.
        reason: Suspicion,
    },
    /// Log that a job has failed because a task crashes its workers.
    GiveUp {
        /// The task.
        task: TaskKey,
        /// The workers that were lost under it.
        crashes: CrashRecord,
    },
    /// Log that runs were lost with a life of their worker.
    WorkerLost {
        /// The worker.
        worker: WorkerSlot,
        /// How the life ended.
        end: LifeEnd,
        /// The runs, by task.
        runs: Vec<LostRun>,
    },
    /// Log that a worker has a new life, and how that is known.
    LifeBegan {
        /// The worker.
        worker: WorkerSlot,
        /// What has told of it.
        evidence: LifeEvidence,
    },
    /// Log that the end of a job is durable, and where its time went.
    JobEnded(Box<EndedJob>),
    /// Log that tasks of one image slow those of another.
    InterferenceDetected(InterferingPair),
    /// Log that a pair of images is no longer kept apart.
    InterferenceDropped {
        /// The pair, with what was known of it.
        pair: InterferingPair,
        /// Why.
        reason: PairDropped,
    },
}

/// What shows that a worker has restarted under its id.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LifeEvidence {
    /// A report or a registration tells another start.
    Start {
        /// The incarnation that it tells.
        incarnation: u64,
        /// The one that was known.
        known: u64,
    },
    /// The clock in a reply is not that of the known life.
    Clock {
        /// The time on the clock.
        clock_ms: u64,
        /// The time that it would show in the known life, about.
        expected_ms: u64,
    },
}

/// Why a pair of images is no longer kept apart.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PairDropped {
    /// The latest paces show no slowdown.
    Restored,
    /// The evidence is too old.
    Old,
}

impl PairDropped {
    /// Returns the name of the reason, for logs.
    pub fn name(&self) -> &'static str {
        match self {
            PairDropped::Restored => "restored",
            PairDropped::Old => "old",
        }
    }
}

/// Why a worker is quarantined, that is, gets no new tasks for a while.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Suspicion {
    /// This many runs of different jobs failed on it without a successful
    /// run between them.
    Failures(u32),
    /// The fastest of its runs has this relative pace, where 1.0 is the pace
    /// of the same step elsewhere, or of the estimate.
    Pace(f64),
}

/// Why a run is stopped.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StopReason {
    /// Its job was cancelled or has failed.
    JobEnded,
    /// Another member of its gang has ended.
    GangBroken,
    /// A more urgent step takes its room.
    Preempted {
        /// The more urgent step.
        by: StepKey,
        /// Whether a task of that step would have fitted on a worker about
        /// which no advice was requested.
        fits_unasked: bool,
    },
    /// A gang gathers its room, and the run loses no work.
    Gathered {
        /// The step of the gang.
        by: StepKey,
    },
    /// It is moved away from a slow worker.
    SlowWorker,
    /// It lasts, and is moved out of an evacuated data centre.
    Evacuated,
    /// The worker reports a run that has no claim.
    Unclaimed,
    /// An earlier owner claimed it, and its worker doesn't report it.
    Inherited,
    /// Its worker has restarted, and a start order may still arrive there.
    WorkerRestarted,
    /// An earlier run of the task is reported as done.
    Done,
    /// Its start order had no answer, or none after which it certainly runs.
    Unanswered,
    /// An earlier stop order has had no effect.
    Repeated,
}

impl StopReason {
    /// Returns the name of the reason, for logs and metrics.
    pub fn name(&self) -> &'static str {
        match self {
            StopReason::JobEnded => "job ended",
            StopReason::GangBroken => "gang broken",
            StopReason::Preempted { .. } => "preempted",
            StopReason::Gathered { .. } => "gathered",
            StopReason::SlowWorker => "slow worker",
            StopReason::Evacuated => "evacuated",
            StopReason::Unclaimed => "unclaimed",
            StopReason::Inherited => "inherited",
            StopReason::WorkerRestarted => "worker restarted",
            StopReason::Done => "done by an earlier run",
            StopReason::Unanswered => "start unanswered",
            StopReason::Repeated => "stop without effect",
        }
    }

    /// Returns whether the run was preempted although the more urgent step
    /// would have fitted on a worker about which no advice was requested.
    pub fn fits_unasked(&self) -> bool {
        matches!(self, StopReason::Preempted { fits_unasked: true, .. })
    }

    /// Returns the step that the run makes room for, if any.
    pub fn by(&self) -> Option<StepKey> {
        match self {
            StopReason::Preempted { by, .. } | StopReason::Gathered { by } => {
                Some(*by)
            }
            _ => None,
        }
    }
}

/// An order to start a run.
#[derive(Clone, Debug, PartialEq)]
pub struct StartOrder {
    /// The worker.
    pub worker: WorkerSlot,
    /// The task.
    pub task: TaskKey,
    /// The number of the run, which counts the attempts of the task.
    pub run: u32,
    /// The job's payload, passed to the task as it is.
    pub payload: String,
    /// The checkpoint to resume from; empty to start from the beginning.
    pub checkpoint: String,
    /// The ticket for the worker, if the queue needs advice.
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
