use std::fmt;

use crate::{JobId, JobState, Resources, TaskId, WorkerId};

/// Why a task has to stop on its worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum StopReason {
    /// Its job was cancelled.
    Cancelled,
    /// Its room is needed by urgent work, by a team below its share or by a
    /// gang, or it belongs to a gang that has to restart as a whole.
    Preempted,
    /// Its worker is leaving.
    WorkerLeaving,
    /// It uses more than its declared size and its queue stops such tasks.
    OverSize,
    /// It was found running on a worker where the scheduler did not expect
    /// it.
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

/// An action that the owner of the shard has to carry out.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Effect {
    /// Start a task.
    Start {
        /// The task.
        task: TaskId,
        /// The worker on which it is to run.
        worker: WorkerId,
        /// The number of this attempt, counted from 1 by the current owner,
        /// or onwards from the attempt of an
        /// [`Event::TaskClaimed`](super::Event::TaskClaimed).
        attempt: u32,
        /// Its declared size.
        size: Resources,
        /// Its declared run time in milliseconds.
        run_time_ms: Option<u64>,
        /// Whether it may run more than once. If not, the start has to be
        /// recorded durably before the order is sent.
        idempotent: bool,
    },
    /// Stop a task.
    Stop {
        /// The task.
        task: TaskId,
        /// The worker on which it runs.
        worker: WorkerId,
        /// Why it has to stop.
        reason: StopReason,
    },
    /// Ask a task to save its progress and stop.
    Checkpoint {
        /// The task.
        task: TaskId,
        /// The worker on which it runs.
        worker: WorkerId,
        /// Why it has to stop.
        reason: StopReason,
    },
    /// Limit a task to its declared size.
    Throttle {
        /// The task.
        task: TaskId,
        /// The worker on which it runs.
        worker: WorkerId,
    },
    /// Record that a job reached its final state.
    Finished {
        /// The job.
        job: JobId,
        /// The final state.
        state: JobState,
    },
    /// Log a placement decision.
    Decided(Decision),
}

/// A placement decision, for the log.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Decision {
    /// The task.
    pub task: TaskId,
    /// The chosen worker, if any.
    pub worker: Option<WorkerId>,
    /// The reason, in a few words.
    pub reason: String,
}
