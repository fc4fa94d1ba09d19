use std::fmt;

/// How far a job has come.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum JobState {
    /// No task runs.
    Waiting,
    /// At least one task runs.
    Running,
    /// Every task finished.
    Done,
    /// A task failed and won't be tried again.
    Failed,
    /// The job was cancelled and none of its tasks runs.
    Cancelled,
}

impl JobState {
    /// Says whether nothing more will happen to the job.
    pub const fn is_final(self) -> bool {
        matches!(self, JobState::Done | JobState::Failed | JobState::Cancelled)
    }

    /// Returns the word for people and programs.
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

/// How far a task has come.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskState {
    /// It waits for a place.
    Waiting,
    /// A start was sent whose result isn't known.
    Starting,
    /// Its worker has said that it runs.
    Running,
    /// A stop or checkpoint was sent whose result isn't known.
    Stopping,
    /// It finished.
    Done,
    /// It failed and won't be tried again.
    Failed,
    /// It was cancelled and doesn't run.
    Cancelled,
    /// It isn't idempotent and nobody knows whether it ran, so it is never
    /// started again.
    Unknown,
}

impl TaskState {
    /// Says whether nothing more will happen to the task.
    pub const fn is_final(self) -> bool {
        matches!(
            self,
            TaskState::Done
                | TaskState::Failed
                | TaskState::Cancelled
                | TaskState::Unknown
        )
    }

    /// Says whether the task may hold resources of a worker.
    pub const fn is_placed(self) -> bool {
        matches!(
            self,
            TaskState::Starting | TaskState::Running | TaskState::Stopping
        )
    }

    /// Returns the word for people and programs.
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
