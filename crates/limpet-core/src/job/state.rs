use std::fmt;

/// The state of a job.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum JobState {
    /// No task is running, and the job is not over.
    Waiting,
    /// At least one task is running.
    Running,
    /// Every task has completed its work.
    Done,
    /// Every task has ended, at least one of them without completing its
    /// work, and the job was not cancelled.
    Failed,
    /// The job was cancelled and none of its tasks is running.
    Cancelled,
}

impl JobState {
    /// Returns whether the job is over and its state won't change any more.
    pub const fn is_final(self) -> bool {
        matches!(self, JobState::Done | JobState::Failed | JobState::Cancelled)
    }

    /// Returns the name used in commands and in output.
    pub const fn as_str(self) -> &'static str {
        match self {
            JobState::Waiting => "waiting",
            JobState::Running => "running",
            JobState::Done => "done",
            JobState::Failed => "failed",
            JobState::Cancelled => "cancelled",
        }
    }
}

impl fmt::Display for JobState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// The state of a task.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskState {
    /// It waits to be placed on a worker.
    Waiting,
    /// A start command was sent, and its result is not yet known.
    Starting,
    /// Its worker has reported that it is running.
    Running,
    /// A stop or checkpoint command was sent, and its result is not yet
    /// known.
    Stopping,
    /// It completed its work.
    Done,
    /// It failed and won't be retried.
    Failed,
    /// It was cancelled and isn't running.
    Cancelled,
    /// It is unknown whether it completed its work. It isn't idempotent, so it
    /// is never started again.
    Unknown,
}

impl TaskState {
    /// Returns whether the task is over and its state won't change any more.
    pub const fn is_final(self) -> bool {
        matches!(
            self,
            TaskState::Done
                | TaskState::Failed
                | TaskState::Cancelled
                | TaskState::Unknown
        )
    }

    /// Returns whether the task may occupy resources of a worker.
    pub const fn is_placed(self) -> bool {
        matches!(
            self,
            TaskState::Starting | TaskState::Running | TaskState::Stopping
        )
    }

    /// Returns the name used in commands and in output.
    pub const fn as_str(self) -> &'static str {
        match self {
            TaskState::Waiting => "waiting",
            TaskState::Starting => "starting",
            TaskState::Running => "running",
            TaskState::Stopping => "stopping",
            TaskState::Done => "done",
            TaskState::Failed => "failed",
            TaskState::Cancelled => "cancelled",
            TaskState::Unknown => "unknown",
        }
    }
}

impl fmt::Display for TaskState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
