use super::{
    JobView, StopReason, TaskView,
    slot::{ClassSlot, TeamSlot, WorkerSlot},
    spread::Spread,
};
use crate::{
    JobId, JobSpec, JobState, Resources, TaskId, TaskState, TimeMs, WorkerId,
    config::QueuePolicy,
};

/// What the scheduler keeps of a job.
#[derive(Clone, Debug)]
pub(super) struct Job {
    pub(super) spec: JobSpec,
    pub(super) team: TeamSlot,
    pub(super) policy: QueuePolicy,
    pub(super) state: JobState,
    pub(super) held: bool,
    pub(super) cancelled: bool,
    /// Whether a task of a gang ended for good without being done, so that
    /// the gang can't be whole again.
    pub(super) broken: bool,
    pub(super) accepted_at: TimeMs,
    pub(super) started_at: Option<TimeMs>,
    pub(super) ended_at: Option<TimeMs>,
    pub(super) groups: Vec<Group>,
    pub(super) tasks: Vec<Task>,
    pub(super) counts: Counts,
    /// Where its rank stands among its team's waiting work, in milliseconds
    /// on the scheduler's clock.
    pub(super) rank_ms: u64,
    pub(super) retries: u32,
    /// Workers on which its tasks failed, latest last.
    pub(super) failed_on: Vec<WorkerId>,
    pub(super) spread: Spread,
}

/// How many tasks of a job are in which condition.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) struct Counts {
    pub(super) placed: u32,
    pub(super) done: u32,
    pub(super) ended: u32,
    /// Waiting tasks that may not start before some time.
    pub(super) delayed: u32,
}

/// A group of like tasks.
#[derive(Clone, Debug)]
pub(super) struct Group {
    pub(super) first: u32,
    pub(super) class: ClassSlot,
    pub(super) size: Resources,
    pub(super) idempotent: bool,
    pub(super) can_checkpoint: bool,
    pub(super) run_time_ms: Option<u64>,
    /// The waiting tasks that may start, the next one last.
    pub(super) waiting: Vec<u32>,
}

/// What the scheduler keeps of a task.
#[derive(Clone, Debug)]
pub(super) struct Task {
    pub(super) state: TaskState,
    pub(super) slot: Option<WorkerSlot>,
    /// Where it runs or last ran.
    pub(super) worker: Option<WorkerId>,
    pub(super) starts: u32,
    pub(super) started_at: Option<TimeMs>,
    /// Whether its worker has said that the present run began.
    pub(super) confirmed: bool,
    pub(super) retries: u32,
    /// Why it was told to stop, where it was.
    pub(super) stopping: Option<StopReason>,
    pub(super) used: Resources,
    pub(super) throttled: bool,
    /// Whether it runs on room that is kept for a gang.
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
        stopping: None,
        used: Resources::ZERO,
        throttled: false,
        backfilled: false,
    };
}

impl Job {
    /// Returns the position of the group that a task belongs to.
    pub(super) fn group_index(&self, index: u32) -> usize {
        self.groups.partition_point(|group| group.first <= index) - 1
    }

    /// Returns the group that a task belongs to.
    pub(super) fn group_of(&self, index: u32) -> &Group {
        &self.groups[self.group_index(index)]
    }

    /// Says whether its tasks start together.
    pub(super) fn is_gang(&self) -> bool {
        self.spec.all_at_once || self.policy == QueuePolicy::Gang
    }

    /// Says whether single tasks of a gang may move while the others wait.
    pub(super) fn moves_singly(&self) -> bool {
        self.groups
            .iter()
            .all(|group| group.can_checkpoint && group.idempotent)
    }

    /// Returns how many tasks could start now.
    pub(super) fn waiting(&self) -> usize {
        self.groups.iter().map(|group| group.waiting.len()).sum()
    }

    /// Says whether a gang can start: nothing runs, nothing is delayed.
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
