use super::Attempt;
use crate::{
    JobId, JobSpec, JobState, KeyId, TaskId, TaskOutcome, TimeMs, WorkerId,
};

/// One thing that has to outlive the owner of a shard.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Record {
    /// A job was accepted.
    JobAccepted {
        /// The job.
        job: JobId,
        /// What it asks for.
        spec: Box<JobSpec>,
        /// The token of its submission, which a retry bears too.
        token: String,
        /// The key that came with it, where one did.
        key: Option<KeyId>,
        /// When, on the wall clock.
        accepted_at: TimeMs,
    },
    /// A job is to be cancelled.
    JobCancelled {
        /// The job.
        job: JobId,
    },
    /// A job is held back, or released again.
    JobHeld {
        /// The job.
        job: JobId,
        /// Whether it is held back from now on.
        held: bool,
    },
    /// A start may leave for a worker. It is recorded before it leaves, so
    /// that the next owner knows where the task may run although the
    /// worker can't be reached.
    TaskClaimed {
        /// The task.
        task: TaskId,
        /// The attempt.
        attempt: Attempt,
        /// Where it may run.
        worker: WorkerId,
    },
    /// A claimed start certainly didn't take effect and never will.
    TaskNotStarted {
        /// The task.
        task: TaskId,
        /// The attempt.
        attempt: Attempt,
    },
    /// A task certainly ended; recorded before the worker may forget it.
    TaskEnded {
        /// The task.
        task: TaskId,
        /// The attempt that ended.
        attempt: Attempt,
        /// How it ended.
        outcome: TaskOutcome,
    },
    /// A job reached a final state and nothing of it runs.
    JobFinished {
        /// The job.
        job: JobId,
        /// The final state.
        state: JobState,
        /// When, on the wall clock.
        at: TimeMs,
    },
}

impl Record {
    /// Returns whether a submitter or an operator waits for the record.
    pub const fn is_awaited(&self) -> bool {
        matches!(
            self,
            Record::JobAccepted { .. }
                | Record::JobCancelled { .. }
                | Record::JobHeld { .. }
        )
    }

    /// Returns the job that the record is about.
    pub const fn job(&self) -> JobId {
        match self {
            Record::JobAccepted { job, .. }
            | Record::JobCancelled { job }
            | Record::JobHeld { job, .. }
            | Record::JobFinished { job, .. } => *job,
            Record::TaskClaimed { task, .. }
            | Record::TaskNotStarted { task, .. }
            | Record::TaskEnded { task, .. } => task.job,
        }
    }
}
