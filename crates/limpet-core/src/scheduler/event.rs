use crate::{
    DataCentre, JobId, JobSpec, JobState, QueueName, Rack, Resources, TaskId,
    TaskOutcome, TaskState, TeamName, TimeMs, WorkerId, config::QueueConfig,
};

/// What a worker is, as the platform's list says it.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct WorkerShape {
    /// The worker.
    pub worker: WorkerId,
    /// The data centre that it stands in.
    pub data_centre: DataCentre,
    /// The rack that it stands in.
    pub rack: Rack,
    /// What it holds.
    pub held: Resources,
}

/// What a running task was last seen to use.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct TaskUsage {
    /// The task.
    pub task: TaskId,
    /// Its use of each resource.
    pub used: Resources,
}

/// Something that happened and that the scheduler has to know.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Event {
    /// A job was accepted and is durable.
    JobAccepted {
        /// The job.
        job: JobId,
        /// What it asks for.
        spec: JobSpec,
    },
    /// A job reached its final state under an earlier owner; nothing of it
    /// runs, and it is kept to be looked at.
    JobRestored {
        /// The job.
        job: JobId,
        /// What it asked for.
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
    /// A job is held back, or released again.
    JobHeld {
        /// The job.
        job: JobId,
        /// Whether it is held back from now on.
        held: bool,
    },
    /// A worker may be placed on from now on.
    WorkerJoined {
        /// The worker.
        shape: WorkerShape,
    },
    /// A worker takes no new tasks from now on; what runs there goes on.
    WorkerLeaving {
        /// The worker.
        worker: WorkerId,
    },
    /// A worker is suspected: no new tasks until it answers again.
    WorkerSuspected {
        /// The worker.
        worker: WorkerId,
    },
    /// A suspected worker answered again.
    WorkerAnswered {
        /// The worker.
        worker: WorkerId,
    },
    /// The leases of everything on a worker have certainly lapsed.
    WorkerLapsed {
        /// The worker.
        worker: WorkerId,
    },
    /// A task was found running, or was confirmed to have started.
    TaskRunning {
        /// The task.
        task: TaskId,
        /// Where it runs.
        worker: WorkerId,
    },
    /// A start certainly did not take effect.
    TaskNotStarted {
        /// The task.
        task: TaskId,
        /// Where it should have run.
        worker: WorkerId,
    },
    /// A task certainly ended.
    TaskEnded {
        /// The task.
        task: TaskId,
        /// Where it ran.
        worker: WorkerId,
        /// How it ended.
        outcome: TaskOutcome,
    },
    /// Usage was reported, possibly some time ago.
    UsageReported {
        /// One entry for each task that was seen.
        usages: Vec<TaskUsage>,
    },
    /// The allotment of a team in this shard changed.
    AllotmentChanged {
        /// The team.
        team: TeamName,
        /// What may run at once in this shard.
        allotment: Resources,
    },
    /// The weight of a team changed.
    ShareChanged {
        /// The team.
        team: TeamName,
        /// Its part of the full cell, relative to the other teams' weights.
        weight: u32,
    },
    /// A queue was created or reshaped.
    QueueChanged {
        /// The queue.
        queue: QueueName,
        /// What is decided for it.
        config: QueueConfig,
    },
    /// Nothing is placed from now on, or again from now on. A new owner
    /// pauses until it has read every worker's inventory.
    PlacementPaused {
        /// Whether placement is paused.
        paused: bool,
    },
    /// The start of a non-idempotent task was made durable by an earlier
    /// owner and may have reached the worker.
    TaskClaimed {
        /// The task.
        task: TaskId,
        /// Where it was to run.
        worker: WorkerId,
        /// The attempt that was claimed.
        attempt: u32,
    },
    /// Time passed; sent several times a second.
    Tick,
}
