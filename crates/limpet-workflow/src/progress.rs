//! The progress of a job, as it is stored.

use std::collections::BTreeMap;

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

/// The changing state of a job, which is stored beside its record.
#[derive(Clone, Debug, PartialEq)]
pub struct JobProgress {
    /// The phase of the job.
    pub phase: JobPhase,
    /// The number of the first occurrence that has not begun; 0 once the job
    /// has ended.
    pub next_occurrence: u32,
    /// The steps of each occurrence that has begun and is not done; none once
    /// the job has ended.
    pub occurrences: BTreeMap<u32, Vec<StepProgress>>,
    /// The tasks under which workers were lost; none once the job has ended.
    pub crashes: Vec<TaskCrashes>,
}

impl JobProgress {
    /// Returns the progress of a job that has ended in a phase.
    pub fn ended(phase: JobPhase) -> JobProgress {
        JobProgress {
            phase,
            next_occurrence: 0,
            occurrences: BTreeMap::new(),
            crashes: Vec::new(),
        }
    }
}

/// The workers that were lost under a task, as it is stored.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct TaskCrashes {
    /// The occurrence of the task.
    pub occurrence: u32,
    /// The step of the task.
    pub step: u32,
    /// The task within its step.
    pub index: u32,
    /// What is known of the workers.
    pub record: CrashRecord,
}

/// The lives of workers that were lost while a task ran there, without those
/// that left as planned.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct CrashRecord {
    /// Lives that crashed after their worker had confirmed the run.
    pub confirmed: u32,
    /// Lives that crashed while the run may have begun there. Contains
    /// `confirmed`.
    pub crashed: u32,
    /// Lives that were lost in any way. Contains `crashed`.
    pub lost: u32,
    /// Lives that did not count as lost since others were lost with them.
    pub excused: u32,
    /// The longest time from the confirmation of a run to its loss.
    pub longest_ms: u64,
}

impl CrashRecord {
    /// Counts a life that is known to have crashed.
    pub(crate) fn record_crash(&mut self, began: bool) {
        self.crashed += 1;
        self.confirmed += u32::from(began);
    }
}

/// The stored state of a step.
#[derive(Clone, Debug, PartialEq)]
pub struct StepProgress {
    /// The number of failed runs of the step's gang.
    pub gang_failures: u32,
    /// The first tasks, which are done; `u32::MAX` if all are.
    pub done: u32,
    /// The tasks after them. Those that follow have never run.
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
