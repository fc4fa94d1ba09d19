use super::{
    JobView, StopReason, TaskView,
    slot::{ClassSlot, TeamSlot, WorkerSlot},
    spread::Spread,
};
use crate::{
    JobId, JobSpec, JobState, Resources, TaskId, TaskState, TimeMs, WorkerId,
    config::QueuePolicy,
};

/// The scheduler's record of a job.
#[derive(Clone, Debug)]
pub(super) struct Job {
    pub(super) spec: JobSpec,
    pub(super) team: TeamSlot,
    pub(super) policy: QueuePolicy,
    pub(super) state: JobState,
    pub(super) held: bool,
    pub(super) cancelled: bool,
    /// Whether a task of this gang reached a final state without being done.
    /// The tasks can then never run all together, so none of them starts
    /// again.
    pub(super) gang_failed: bool,
    pub(super) accepted_at: TimeMs,
    pub(super) started_at: Option<TimeMs>,
    pub(super) ended_at: Option<TimeMs>,
    pub(super) groups: Vec<Group>,
    pub(super) tasks: Vec<Task>,
    pub(super) counts: Counts,
    /// Position among the waiting work of its team, lowest first, as a time
    /// in milliseconds on the scheduler's clock.
    pub(super) rank_ms: u64,
    /// The number of retries of all its tasks so far.
    pub(super) retries: u32,
    /// Workers on which its tasks failed, the most recently added last.
    pub(super) failed_on: Vec<WorkerId>,
    /// Where its tasks are placed. Counted for services only.
    pub(super) spread: Spread,
}

/// Numbers of a job's tasks by condition.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) struct Counts {
    /// Tasks that hold room on a worker.
    pub(super) placed: u32,
    pub(super) done: u32,
    /// Tasks in a final state, done or not.
    pub(super) ended: u32,
    /// Waiting tasks whose retry time has not come yet.
    pub(super) delayed: u32,
}

/// A group of identical tasks of a job.
#[derive(Clone, Debug)]
pub(super) struct Group {
    /// Index of the group's first task in the job.
    pub(super) first: u32,
    pub(super) class: ClassSlot,
    pub(super) size: Resources,
    pub(super) idempotent: bool,
    pub(super) can_checkpoint: bool,
    pub(super) run_time_ms: Option<u64>,
    /// Indexes of the waiting tasks that may start, the next one last.
    pub(super) waiting: Vec<u32>,
}

/// The scheduler's record of a task.
#[derive(Clone, Debug)]
pub(super) struct Task {
    pub(super) state: TaskState,
    /// The worker on which it holds room.
    pub(super) slot: Option<WorkerSlot>,
    /// The worker on which it runs or last ran.
    pub(super) worker: Option<WorkerId>,
    /// The number of its last attempt, counted from 1, or 0 if there was none.
    pub(super) starts: u32,
    /// When it was last started.
    pub(super) started_at: Option<TimeMs>,
    /// Whether its worker confirmed the current start.
    pub(super) confirmed: bool,
    /// How many times it was retried after a failure.
    pub(super) retries: u32,
    /// How many workers lapsed under it soon after they had confirmed it.
    pub(super) lapses: u32,
    /// Why it was ordered to stop, if it was.
    pub(super) stopping: Option<StopReason>,
    /// What it used according to its last usage report.
    pub(super) used: Resources,
    /// Whether it was limited to its declared size.
    pub(super) throttled: bool,
    /// Whether it runs on room that is reserved for a gang.
    pub(super) backfilled: bool,
}

impl Task {
    pub(super) const WAITING: Task = Task {
        state: TaskState::Waiting,
        slot: None,
        worker: None,
        starts: 0,
        started_at: None,
        confirmed: false,
        retries: 0,
        lapses: 0,
        stopping: None,
        used: Resources::ZERO,
        throttled: false,
        backfilled: false,
    };
}

impl Job {
    /// Returns the index of the group that contains a task.
    pub(super) fn group_index(&self, index: u32) -> usize {
        self.groups.partition_point(|group| group.first <= index) - 1
    }

    /// Returns the group that contains a task.
    pub(super) fn group_of(&self, index: u32) -> &Group {
        &self.groups[self.group_index(index)]
    }

    /// Returns whether its tasks have to start together.
    pub(super) fn is_gang(&self) -> bool {
        self.spec.all_at_once || self.policy == QueuePolicy::Gang
    }

    /// Returns whether a task of a gang may leave its worker and start on
    /// another while the rest of the gang keeps running.
    pub(super) fn can_move_single_tasks(&self) -> bool {
        self.groups
            .iter()
            .all(|group| group.can_checkpoint && group.idempotent)
    }

    /// Returns the number of waiting tasks that may start.
    pub(super) fn waiting(&self) -> usize {
        self.groups.iter().map(|group| group.waiting.len()).sum()
    }

    /// Returns whether the job is a gang that may start: it is neither held
    /// nor cancelled, and none of its tasks is placed or delayed.
    pub(super) fn is_startable_gang(&self) -> bool {
        self.is_gang()
            && !self.held
            && !self.cancelled
            && self.counts.placed == 0
            && self.counts.delayed == 0
            && self.waiting() > 0
    }

    pub(super) fn view(&self, id: JobId, reason: String) -> JobView {
        JobView {
            job: id,
            name: self.spec.name.clone(),
            team: self.spec.team.clone(),
            queue: self.spec.queue.clone(),
            state: self.state,
            urgent: self.spec.urgent,
            all_at_once: self.spec.all_at_once,
            held: self.held,
            tasks: self.tasks.len() as u32,
            running: self.counts.placed,
            done: self.counts.done,
            accepted_at: self.accepted_at,
            started_at: self.started_at,
            ended_at: self.ended_at,
            reason,
        }
    }

    pub(super) fn task_view(&self, id: JobId, index: u32) -> TaskView {
        let task = &self.tasks[index as usize];
        TaskView {
            task: TaskId::new(id, index),
            team: self.spec.team.clone(),
            state: task.state,
            worker: task.worker.clone(),
            size: self.group_of(index).size,
            starts: task.starts,
            started_at: task.started_at,
        }
    }
}
