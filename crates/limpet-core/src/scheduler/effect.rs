use std::fmt;

use crate::{JobId, JobState, Resources, TaskId, WorkerId};

/// Why a task is taken off its worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum StopReason {
    /// Its job was cancelled.
    Cancelled,
    /// Its room goes to a team below its share or to urgent work.
    Preempted,
    /// Its worker is leaving.
    WorkerLeaving,
    /// It uses more than it declared.
    OverSize,
    /// It should not run where it was found.
    Stray,
}

impl fmt::Display for StopReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            StopReason::Cancelled => "cancelled",
            StopReason::Preempted => "preempted",
            StopReason::WorkerLeaving => "worker leaving",
            StopReason::OverSize => "over its declared size",
            StopReason::Stray => "not expected there",
        })
    }
}

/// Something that the owner of the shard has to do.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Effect {
    /// Start a task.
    Start {
        /// The task.
        task: TaskId,
        /// Where it is to run.
        worker: WorkerId,
        /// The count of its starts by this owner, from 1.
        attempt: u32,
        /// What it may use.
        size: Resources,
        /// The declared run time, in milliseconds.
        run_time_ms: Option<u64>,
        /// Whether it may run again; where not, the start has to be durable
        /// before it leaves.
        idempotent: bool,
    },
    /// Stop a task.
    Stop {
        /// The task.
        task: TaskId,
        /// Where it runs.
        worker: WorkerId,
        /// Why.
        reason: StopReason,
    },
    /// Let a task save its progress and stop.
    Checkpoint {
        /// The task.
        task: TaskId,
        /// Where it runs.
        worker: WorkerId,
        /// Why.
        reason: StopReason,
    },
    /// Slow a task down to its declared size.
    Throttle {
        /// The task.
        task: TaskId,
        /// Where it runs.
        worker: WorkerId,
    },
    /// A job reached a final state, which has to be recorded.
    Finished {
        /// The job.
        job: JobId,
        /// The final state.
        state: JobState,
    },
    /// Write a log line for a decision.
    Decided(Decision),
}

/// One decision, for the log.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Decision {
    /// The task that it is about.
    pub task: TaskId,
    /// The worker that was chosen, where one was.
    pub worker: Option<WorkerId>,
    /// The reason in a short sentence.
    pub reason: String,
}
