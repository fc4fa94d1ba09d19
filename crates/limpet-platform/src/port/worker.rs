use std::rc::Rc;

use limpet_core::{Epoch, Resources, ShardId, TaskId, TaskOutcome};

use super::PortFuture;

/// One command to a worker.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum WorkerCommand {
    /// Start a task, unless it runs there already or its end was not
    /// acknowledged, whichever epoch it was started in; the report shows
    /// it then.
    Start {
        /// The task.
        task: TaskId,
        /// The attempt, from 1 in each epoch. A worker that has seen or
        /// refused it, or a later one, doesn't start it again.
        attempt: u32,
        /// What it may use.
        size: Resources,
        /// Its declared run time, in milliseconds.
        run_time_ms: Option<u64>,
    },
    /// Stop a task.
    Stop {
        /// The task.
        task: TaskId,
    },
    /// Let a task save its progress and stop.
    Checkpoint {
        /// The task.
        task: TaskId,
    },
    /// Slow a task down to its declared size.
    Throttle {
        /// The task.
        task: TaskId,
    },
    /// Forget the end of a task, which the owner has recorded.
    Acknowledge {
        /// The task.
        task: TaskId,
        /// The epoch in which it was started.
        epoch: Epoch,
        /// The attempt.
        attempt: u32,
    },
}

/// A message to a worker: it raises the epoch, renews the leases of what
/// runs there, and carries commands.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct WorkerRequest {
    /// The shard whose owner speaks.
    pub shard: ShardId,
    /// The epoch of its ownership.
    pub epoch: Epoch,
    /// The stamp of the worker's last answer that the owner received. The
    /// leases run until `lease_ms` after it on the worker's own clock, so a
    /// message that was delayed on the way renews nothing that it
    /// shouldn't. `None` before the first answer: nothing is renewed.
    pub stamp_ms: Option<u64>,
    /// How long the leases run after the stamp.
    pub lease_ms: u64,
    /// The commands, carried out in order.
    pub commands: Vec<WorkerCommand>,
}

/// A task that runs at a worker.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct RunningTask {
    /// The task.
    pub task: TaskId,
    /// The epoch in which it was started. Attempts count from 1 in each.
    pub epoch: Epoch,
    /// The attempt that runs.
    pub attempt: u32,
    /// What it may use.
    pub size: Resources,
    /// What it was last seen to use.
    pub used: Resources,
}

/// A task that ended at a worker and was not acknowledged yet.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct EndedTask {
    /// The task.
    pub task: TaskId,
    /// The epoch in which it was started. Attempts count from 1 in each.
    pub epoch: Epoch,
    /// The attempt that ended.
    pub attempt: u32,
    /// How it ended.
    pub outcome: TaskOutcome,
}

/// A worker's answer.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct WorkerReport {
    /// The highest epoch that the worker has seen. Where it is higher than
    /// the request's, nothing of the request was carried out.
    pub epoch: Epoch,
    /// The time on the worker's own clock, in milliseconds.
    pub stamp_ms: u64,
    /// What runs, after the commands.
    pub running: Vec<RunningTask>,
    /// What ended, until it is acknowledged.
    pub ended: Vec<EndedTask>,
    /// Starts that the worker refused: for lack of room or lease, because
    /// it is leaving, or because the attempt was seen before. None of them
    /// runs there.
    pub refused: Vec<TaskId>,
    /// Whether the worker is leaving.
    pub leaving: bool,
}

/// The workers, each reached at the address that the directory gives.
#[derive(Clone)]
pub struct WorkerPort {
    /// Sends a request to the worker at an address.
    pub exchange:
        Rc<dyn Fn(String, WorkerRequest) -> PortFuture<WorkerReport>>,
}
