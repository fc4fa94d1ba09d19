use std::fmt;

/// How a task ended at its worker.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskOutcome {
    /// It completed its work.
    Done,
    /// It ended with a failure.
    Failed,
    /// It was stopped by a command or because its lease expired.
    Stopped,
    /// It saved its progress and stopped, and can continue on another
    /// worker.
    Checkpointed,
}

impl fmt::Display for TaskOutcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            TaskOutcome::Done => "done",
            TaskOutcome::Failed => "failed",
            TaskOutcome::Stopped => "stopped",
            TaskOutcome::Checkpointed => "checkpointed",
        })
    }
}
