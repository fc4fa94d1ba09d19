use super::Attempt;
use crate::{
    JobId, JobSpec, JobState, KeyId, TaskId, TaskOutcome, TimeMs, WorkerId,
};

/// A journal entry: a fact about a job or a task that a new owner of the
/// shard has to know.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Record {
    /// A job was accepted.
    JobAccepted {
        /// The job.
        job: JobId,
        /// The job's specification.
        spec: Box<JobSpec>,
        /// The token of the submission, which is the same in its retries.
        token: String,
        /// The API key of the submission, if it carried one.
        key: Option<KeyId>,
        /// The wall-clock time of the acceptance.
        accepted_at: TimeMs,
    },
    /// A job is to be cancelled.
    JobCancelled {
        /// The job.
        job: JobId,
    },
    /// A job is held, or released again.
    JobHeld {
        /// The job.
        job: JobId,
        /// Whether the job is held from now on.
        held: bool,
    },
    /// A task's start may be sent to a worker. The record is durable before
    /// the start is sent, so that the next owner knows where the task may be
    /// running even if it can't reach the worker.
    TaskClaimed {
        /// The task.
        task: TaskId,
        /// The attempt.
        attempt: Attempt,
        /// The worker on which the task may run.
        worker: WorkerId,
    },
    /// A claimed start certainly had no effect and never will.
    TaskNotStarted {
        /// The task.
        task: TaskId,
        /// The attempt.
        attempt: Attempt,
    },
    /// A task certainly ended. The record is durable before the worker is
    /// told to forget the task.
    TaskEnded {
        /// The task.
        task: TaskId,
        /// The attempt that ended.
        attempt: Attempt,
        /// How the task ended.
        outcome: TaskOutcome,
    },
    /// A job reached a final state and none of its tasks is running.
    JobFinished {
        /// The job.
        job: JobId,
        /// The final state.
        state: JobState,
        /// The wall-clock time at which the job finished.
        at: TimeMs,
    },
}

impl Record {
    /// Returns whether a submitter or an operator waits for the record to
    /// become durable.
    pub const fn is_awaited(&self) -> bool {
        matches!(
            self,
            Record::JobAccepted { .. }
                | Record::JobCancelled { .. }
                | Record::JobHeld { .. }
        )
    }

    /// Returns the job that the record concerns.
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
