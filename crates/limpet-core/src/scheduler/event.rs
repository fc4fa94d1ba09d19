use crate::{
    DataCentre, JobId, JobSpec, JobState, QueueName, Rack, Resources, TaskId,
    TaskOutcome, TaskState, TeamName, TimeMs, WorkerId, config::QueueConfig,
};

/// Location and capacity of a worker, as listed by the platform.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct WorkerShape {
    /// The worker.
    pub worker: WorkerId,
    /// The data centre in which it is located.
    pub data_centre: DataCentre,
    /// The rack in which it is located.
    pub rack: Rack,
    /// Its total capacity.
    pub held: Resources,
}

/// Measured resource usage of a running task.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct TaskUsage {
    /// The task.
    pub task: TaskId,
    /// The measured amount of each resource.
    pub used: Resources,
}

/// An input of the [`Scheduler`](super::Scheduler).
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Event {
    /// A job was accepted and durably recorded.
    JobAccepted {
        /// The job.
        job: JobId,
        /// Its specification.
        spec: JobSpec,
    },
    /// A job reached its final state under an earlier owner of the shard.
    /// None of its tasks runs; it is kept so that queries can show it.
    JobRestored {
        /// The job.
        job: JobId,
        /// Its specification.
        spec: JobSpec,
        /// Its final state.
        state: JobState,
        /// The final state of each of its tasks.
        tasks: Vec<TaskState>,
        /// When it reached its final state.
        ended_at: TimeMs,
    },
    /// A job was cancelled.
    JobCancelled {
        /// The job.
        job: JobId,
    },
    /// An operator held a job, so that none of its tasks starts, or released
    /// it again.
    JobHeld {
        /// The job.
        job: JobId,
        /// Whether it is held from now on.
        held: bool,
    },
    /// A worker joined, or joined again with another capacity or location.
    /// It takes tasks from now on.
    WorkerJoined {
        /// The worker with its location and capacity.
        shape: WorkerShape,
    },
    /// A worker takes no new tasks from now on. Tasks that can checkpoint
    /// are moved elsewhere; the others run to their end.
    WorkerLeaving {
        /// The worker.
        worker: WorkerId,
    },
    /// A worker stopped answering. It takes no new tasks until
    /// [`Event::WorkerAnswered`].
    WorkerSuspected {
        /// The worker.
        worker: WorkerId,
    },
    /// A suspected worker answered again.
    WorkerAnswered {
        /// The worker.
        worker: WorkerId,
    },
    /// Every lease on a worker has certainly expired, so none of its tasks
    /// runs any more. The worker is removed.
    WorkerLapsed {
        /// The worker.
        worker: WorkerId,
    },
    /// A worker confirmed the start of a task, or reported a task as running.
    TaskRunning {
        /// The task.
        task: TaskId,
        /// The worker on which it runs.
        worker: WorkerId,
    },
    /// A start order certainly had no effect.
    TaskNotStarted {
        /// The task.
        task: TaskId,
        /// The worker on which it was to run.
        worker: WorkerId,
    },
    /// A task certainly ended.
    TaskEnded {
        /// The task.
        task: TaskId,
        /// The worker on which it ran.
        worker: WorkerId,
        /// How it ended.
        outcome: TaskOutcome,
    },
    /// Workers reported resource usage. The reports may be late, so they may
    /// name tasks that have ended since.
    UsageReported {
        /// One entry for each reported task.
        usages: Vec<TaskUsage>,
    },
    /// The allotment of a team in this shard changed.
    AllotmentChanged {
        /// The team.
        team: TeamName,
        /// The most that the team may run at once in this shard.
        allotment: Resources,
    },
    /// The weight of a team changed.
    ShareChanged {
        /// The team.
        team: TeamName,
        /// Its share of a full cell, relative to the weights of the other
        /// teams.
        weight: u32,
    },
    /// A queue was created or its configuration changed.
    QueueChanged {
        /// The queue.
        queue: QueueName,
        /// Its new configuration.
        config: QueueConfig,
    },
    /// Placement was paused or resumed. A new owner pauses placement while it
    /// restores the recorded state of the shard, since tasks that an earlier
    /// owner started may still run.
    PlacementPaused {
        /// Whether placement is paused from now on.
        paused: bool,
    },
    /// An earlier owner durably recorded the start of a task. The start order
    /// may have reached the worker.
    TaskClaimed {
        /// The task.
        task: TaskId,
        /// The worker on which it was to run.
        worker: WorkerId,
        /// The recorded attempt, counted from 1.
        attempt: u32,
    },
    /// Time passed. Sent several times a second to drive timeouts, shares,
    /// retries of gangs and probation of workers.
    Tick,
}
