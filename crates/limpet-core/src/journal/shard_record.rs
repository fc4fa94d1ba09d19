use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use super::{Attempt, Record};
use crate::{
    JobId, JobSpec, JobState, Resources, TaskId, TaskOutcome, TaskState,
    TimeMs, WorkerId,
};

/// How long a finished job is kept.
const FINISHED_KEPT_MS: u64 = 24 * 3_600_000;

/// The state that results from all journal records of a shard.
///
/// The owner maintains it beside the scheduler's state, so that a snapshot
/// is simply its JSON text.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct ShardRecord {
    /// The jobs that are not finished.
    ///
    /// They are reference-counted, so that a clone for a snapshot copies a
    /// pointer for each job and not its contents.
    pub jobs: BTreeMap<JobId, Arc<JobRecord>>,
    /// The finished jobs. They are kept for a day, so that a late retry of a
    /// submission finds its job, and queries can tell how a job ended.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub finished: BTreeMap<JobId, Arc<FinishedJob>>,
}

/// The record of a finished job.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct FinishedJob {
    /// The token of the submission.
    pub token: String,
    /// The wall-clock time at which the job finished.
    pub at: TimeMs,
    /// The job's final state.
    pub state: JobState,
    /// The job's specification.
    pub spec: JobSpec,
    /// The wall-clock time at which the job was accepted.
    pub accepted_at: TimeMs,
    /// How the job's tasks ended, by index; empty if the job is done.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub outcomes: BTreeMap<u32, TaskOutcome>,
}

impl FinishedJob {
    fn new(job: JobRecord, state: JobState, at: TimeMs) -> FinishedJob {
        let outcomes = if state == JobState::Done {
            BTreeMap::new()
        } else {
            job.tasks
                .iter()
                .filter_map(|(&index, task)| Some((index, task.outcome?)))
                .collect()
        };
        FinishedJob {
            token: job.token,
            at,
            state,
            spec: job.spec,
            accepted_at: job.accepted_at,
            outcomes,
        }
    }

    /// Returns the final state of the task at an index.
    pub fn task_state(&self, index: u32) -> TaskState {
        let idempotent =
            self.spec.task_group(index).is_some_and(|group| group.idempotent);
        match (self.state, self.outcomes.get(&index)) {
            (JobState::Done, _) | (_, Some(TaskOutcome::Done)) => {
                TaskState::Done
            }
            (_, Some(TaskOutcome::Failed)) => TaskState::Failed,
            // A stopped task that isn't idempotent may have completed its
            // work, so its outcome is unknown.
            (JobState::Failed, Some(TaskOutcome::Stopped)) if !idempotent => {
                TaskState::Unknown
            }
            (JobState::Cancelled, _) => TaskState::Cancelled,
            _ => TaskState::Failed,
        }
    }
}

/// The record of a job that is not finished.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct JobRecord {
    /// The job's specification.
    pub spec: JobSpec,
    /// The token of the submission.
    pub token: String,
    /// The wall-clock time at which the job was accepted.
    pub accepted_at: TimeMs,
    /// Whether the job was cancelled.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub cancelled: bool,
    /// Whether the job is held.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub held: bool,
    /// The tasks that were claimed at least once, by index.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub tasks: BTreeMap<u32, TaskRecord>,
}

/// The record of a task that was claimed at least once.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct TaskRecord {
    /// The last claimed attempt.
    pub attempt: Attempt,
    /// The worker of that attempt.
    pub worker: WorkerId,
    /// How the attempt ended, if that is known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub outcome: Option<TaskOutcome>,
    /// Whether the attempt's start certainly had no effect.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub not_started: bool,
}

impl TaskRecord {
    /// Returns whether the task may be running on its worker.
    pub const fn is_open(&self) -> bool {
        self.outcome.is_none() && !self.not_started
    }
}

impl ShardRecord {
    /// Applies a record. Applying the same record again changes nothing.
    pub fn apply(&mut self, record: &Record) {
        match record {
            Record::JobAccepted { job, spec, token, accepted_at, .. } => {
                self.jobs.entry(*job).or_insert_with(|| {
                    Arc::new(JobRecord {
                        spec: (**spec).clone(),
                        token: token.clone(),
                        accepted_at: *accepted_at,
                        cancelled: false,
                        held: false,
                        tasks: BTreeMap::new(),
                    })
                });
            }
            Record::JobFinished { job, state, at } => {
                if let Some(recorded) = self.jobs.remove(job) {
                    let recorded = Arc::unwrap_or_clone(recorded);
                    let finished = FinishedJob::new(recorded, *state, *at);
                    self.finished.insert(*job, Arc::new(finished));
                }
            }
            _ => {
                if let Some(job) = self.jobs.get_mut(&record.job()) {
                    Arc::make_mut(job).apply(record);
                }
            }
        }
    }

    /// Removes jobs that finished a day or more before `wall_now`.
    pub fn forget_finished(&mut self, wall_now: TimeMs) {
        self.finished
            .retain(|_, job| wall_now.ms_since(job.at) < FINISHED_KEPT_MS);
    }

    /// Returns the tokens of the submissions of all jobs, finished ones
    /// included.
    pub fn tokens(&self) -> impl Iterator<Item = (&str, JobId)> {
        let open = self.jobs.iter().map(|(&id, job)| (job.token.as_str(), id));
        let finished =
            self.finished.iter().map(|(&id, job)| (job.token.as_str(), id));
        open.chain(finished)
    }

    /// Returns the record of a task; `None` if the task was never claimed or
    /// its job is finished.
    pub fn get_task(&self, task: TaskId) -> Option<&TaskRecord> {
        self.jobs.get(&task.job)?.tasks.get(&task.index)
    }

    /// Returns the workers on which some task may be running.
    pub fn claimed_workers(&self) -> BTreeSet<WorkerId> {
        let tasks = self.jobs.values().flat_map(|job| job.tasks.values());
        let open = tasks.filter(|task| task.is_open());
        open.map(|task| task.worker.clone()).collect()
    }

    /// Returns the tasks that may be running on a worker.
    pub fn open_tasks<'a>(
        &'a self,
        worker: &'a WorkerId,
    ) -> impl Iterator<Item = (TaskId, &'a TaskRecord)> {
        self.jobs.iter().flat_map(move |(&job, record)| {
            record
                .tasks
                .iter()
                .filter(move |(_, task)| {
                    task.is_open() && task.worker == *worker
                })
                .map(move |(&index, task)| (TaskId::new(job, index), task))
        })
    }
}

impl JobRecord {
    /// Returns the total resources of the tasks that neither run nor are
    /// done.
    pub fn waiting_size(&self) -> Resources {
        let settled = self.tasks.iter().filter(|(_, task)| {
            task.is_open() || task.outcome == Some(TaskOutcome::Done)
        });
        let sizes = settled
            .filter_map(|(&index, _)| self.spec.task_group(index))
            .fold(Resources::ZERO, |sum, group| sum.plus(&group.size()));
        self.spec.total_size().minus(&sizes)
    }

    fn apply(&mut self, record: &Record) {
        match record {
            Record::JobCancelled { .. } => self.cancelled = true,
            Record::JobHeld { held, .. } => self.held = *held,
            Record::TaskClaimed { task, attempt, worker } => {
                self.claim(*task, *attempt, worker);
            }
            Record::TaskNotStarted { task, attempt } => {
                if let Some(task) = self.attempt_mut(*task, *attempt) {
                    task.not_started = true;
                }
            }
            Record::TaskEnded { task, attempt, outcome } => {
                if let Some(task) = self.attempt_mut(*task, *attempt) {
                    task.outcome.get_or_insert(*outcome);
                }
            }
            Record::JobAccepted { .. } | Record::JobFinished { .. } => {}
        }
    }

    /// Records the claim of an attempt, unless that attempt or a later one is
    /// known.
    fn claim(&mut self, task: TaskId, attempt: Attempt, worker: &WorkerId) {
        let known = self.tasks.get(&task.index);
        if known.is_some_and(|known| known.attempt >= attempt) {
            return;
        }
        let record = TaskRecord {
            attempt,
            worker: worker.clone(),
            outcome: None,
            not_started: false,
        };
        self.tasks.insert(task.index, record);
    }

    /// Returns the record of a task if `attempt` is its last claimed attempt.
    fn attempt_mut(
        &mut self,
        task: TaskId,
        attempt: Attempt,
    ) -> Option<&mut TaskRecord> {
        self.tasks
            .get_mut(&task.index)
            .filter(|record| record.attempt == attempt)
    }
}
