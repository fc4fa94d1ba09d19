/// Where a job stands.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub enum JobPhase {
    /// No task has started.
    Queued,
    /// A task has started and the job has not ended.
    Running,
    /// Every task is done.
    Completed,
    /// A task, or a gang, failed as often as the queue allows.
    Failed,
    /// A client cancelled it.
    Cancelled,
}

impl JobPhase {
    /// Says whether nothing changes any more.
    pub const fn has_ended(self) -> bool {
        matches!(
            self,
            JobPhase::Completed | JobPhase::Failed | JobPhase::Cancelled
        )
    }
}

/// What the store keeps of a job beside its record.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct JobProgress {
    /// Where the job stands.
    pub phase: JobPhase,
    /// The steps of each occurrence; empty once the job has ended and
    /// nothing of it runs.
    pub occurrences: Vec<Vec<StepProgress>>,
}

/// What the store keeps of a step.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct StepProgress {
    /// The failed runs of the step's gang.
    pub gang_failures: u32,
    /// The tasks; empty where all are done.
    pub tasks: Vec<TaskProgress>,
}

/// What the store keeps of a task.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct TaskProgress {
    /// Whether a run ended well.
    pub done: bool,
    /// The number of the last run.
    pub run: u32,
    /// The runs that failed.
    pub failures: u32,
    /// The saved progress to resume from; empty for none.
    pub checkpoint: String,
    /// The run that may be there now.
    pub claim: Option<ClaimProgress>,
}

/// A run that may be on a worker.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct ClaimProgress {
    /// The worker's id.
    pub worker: String,
    /// The life of the worker that the run was meant for.
    pub incarnation: u64,
}
