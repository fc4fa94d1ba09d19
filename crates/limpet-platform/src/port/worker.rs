use std::rc::Rc;

use limpet_core::{Epoch, Resources, ShardId, TaskId, TaskOutcome};

use super::PortFuture;

/// A command to a worker.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum WorkerCommand {
    /// Start a task. If the worker runs the task already, or has an end of it
    /// that isn't acknowledged yet, it starts nothing and the report shows
    /// that run. This holds whichever epoch the run was started in.
    Start {
        /// The task.
        task: TaskId,
        /// The number of the attempt, from 1 in each epoch. A worker that
        /// has started or refused this attempt, or a later one, refuses it.
        attempt: u32,
        /// The resources that it may use.
        size: Resources,
        /// Its declared run time, in milliseconds, if it has one.
        run_time_ms: Option<u64>,
    },
    /// Stop a task.
    Stop {
        /// The task.
        task: TaskId,
    },
    /// Let a task save a checkpoint and stop.
    Checkpoint {
        /// The task.
        task: TaskId,
    },
    /// Restrict a task to its declared size.
    Throttle {
        /// The task.
        task: TaskId,
    },
    /// Drop the end of a task from further reports, because the owner has
    /// recorded it.
    Acknowledge {
        /// The task.
        task: TaskId,
        /// The epoch in which it was started.
        epoch: Epoch,
        /// The number of the attempt that ended.
        attempt: u32,
    },
}

/// A message from the owner of a shard to a worker. It raises the shard's
/// epoch at the worker, renews the leases of the shard's tasks there, and
/// carries commands.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct WorkerRequest {
    /// The shard whose owner sends the message.
    pub shard: ShardId,
    /// The epoch of the sender's ownership.
    pub epoch: Epoch,
    /// The `stamp_ms` of the worker's last report that the owner received,
    /// or `None` before the first, when nothing is renewed. Leases run until
    /// `lease_ms` after the stamp on the worker's own clock, so a message that
    /// was delayed on the way extends no lease beyond what the owner counts
    /// on.
    pub stamp_ms: Option<u64>,
    /// How long the leases run after the stamp, in milliseconds.
    pub lease_ms: u64,
    /// The commands, to be carried out in order.
    pub commands: Vec<WorkerCommand>,
}

/// A task that runs on a worker.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct RunningTask {
    /// The task.
    pub task: TaskId,
    /// The epoch in which it was started. Attempts count from 1 in each epoch.
    pub epoch: Epoch,
    /// The number of the attempt that runs.
    pub attempt: u32,
    /// The resources that it may use.
    pub size: Resources,
    /// The resources that it was last measured to use.
    pub used: Resources,
}

/// A task that ended on a worker and whose end isn't acknowledged yet.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct EndedTask {
    /// The task.
    pub task: TaskId,
    /// The epoch in which it was started. Attempts count from 1 in each epoch.
    pub epoch: Epoch,
    /// The number of the attempt that ended.
    pub attempt: u32,
    /// How it ended.
    pub outcome: TaskOutcome,
}

/// A worker's answer to a [`WorkerRequest`].
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct WorkerReport {
    /// The highest epoch of the shard that the worker has seen. If it is
    /// higher than that of the request, nothing of the request was carried
    /// out.
    pub epoch: Epoch,
    /// The time on the worker's own clock, in milliseconds.
    pub stamp_ms: u64,
    /// The tasks that run after the commands were carried out.
    pub running: Vec<RunningTask>,
    /// The ends that aren't acknowledged yet.
    pub ended: Vec<EndedTask>,
    /// Tasks whose start the worker refused, because it lacks room or a valid
    /// lease, is leaving, or has seen the attempt before. None of them runs
    /// there.
    pub refused: Vec<TaskId>,
    /// Whether the worker is leaving.
    pub leaving: bool,
}

/// The workers, each reached at its address in the directory.
#[derive(Clone)]
pub struct WorkerPort {
    /// Sends a request to the worker at an address and returns its report.
    pub exchange:
        Rc<dyn Fn(String, WorkerRequest) -> PortFuture<WorkerReport>>,
}
