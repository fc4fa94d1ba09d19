//! The progress of a job, as it is stored.

/// The phase of a job.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub enum JobPhase {
    /// No worker has confirmed a run of any task yet.
    Queued,
    /// A worker has confirmed a run, and the job has not ended.
    Running,
    /// Every task has succeeded.
    Completed,
    /// A task, or a gang, failed as often as the queue's `max_attempts`.
    Failed,
    /// A client cancelled the job.
    Cancelled,
}

impl JobPhase {
    /// Returns whether the phase is final.
    pub const fn has_ended(self) -> bool {
        matches!(
            self,
            JobPhase::Completed | JobPhase::Failed | JobPhase::Cancelled
        )
    }
}

/// The changing state of a job, as it is stored beside its record.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct JobProgress {
    /// The phase of the job.
    pub phase: JobPhase,
    /// The steps of each occurrence; empty once the job has ended.
    pub occurrences: Vec<Vec<StepProgress>>,
}

/// The stored state of a step.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct StepProgress {
    /// The number of failed runs of the step's gang.
    pub gang_failures: u32,
    /// The tasks; empty if all of them are done.
    pub tasks: Vec<TaskProgress>,
}

/// The stored state of a task.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct TaskProgress {
    /// Whether a run succeeded.
    pub done: bool,
    /// The number of the latest run; 0 before the first.
    pub run: u32,
    /// The number of failed runs.
    pub failures: u32,
    /// The checkpoint to resume from; empty if there is none.
    pub checkpoint: String,
    /// The worker that may be executing the latest run, if any.
    pub claim: Option<ClaimProgress>,
}

/// The worker that may be executing a run.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct ClaimProgress {
    /// The worker's id.
    pub worker: String,
    /// The incarnation of the worker that the run was ordered from.
    pub incarnation: u64,
}
