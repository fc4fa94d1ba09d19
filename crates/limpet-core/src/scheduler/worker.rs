use std::collections::BTreeSet;

use super::{WorkerShape, health::Health};
use crate::{Resources, TaskId};

/// The scheduler's record of a worker.
#[derive(Clone, Debug)]
pub(super) struct Worker {
    pub(super) shape: WorkerShape,
    /// The sum of the declared sizes of its tasks, at most its capacity.
    pub(super) committed: Resources,
    /// What is reserved for a gang, or for tasks for which others were
    /// preempted.
    pub(super) reserved: Resources,
    /// What its tasks used according to the last usage reports.
    pub(super) used: Resources,
    pub(super) tasks: BTreeSet<TaskId>,
    /// Whether it takes no new tasks because it is leaving, is being removed
    /// or has not joined yet.
    pub(super) leaving: bool,
    /// Whether it stopped answering, and takes no new tasks until it answers.
    pub(super) suspected: bool,
    pub(super) health: Health,
    /// Its key in the [`RoomIndex`](super::room_index::RoomIndex), if it is
    /// listed there.
    pub(super) indexed_at: Option<u64>,
}

impl Worker {
    pub(super) fn new(shape: &WorkerShape) -> Worker {
        Worker {
            shape: shape.clone(),
            committed: Resources::ZERO,
            reserved: Resources::ZERO,
            used: Resources::ZERO,
            tasks: BTreeSet::new(),
            leaving: false,
            suspected: false,
            health: Health::default(),
            indexed_at: None,
        }
    }

    /// Returns the capacity that is not committed to tasks.
    pub(super) fn free(&self) -> Resources {
        self.shape.held.minus(&self.committed)
    }

    /// Returns the capacity that is neither committed nor reserved.
    pub(super) fn room(&self) -> Resources {
        self.free().minus(&self.reserved)
    }

    /// Returns whether the worker may get new tasks. While it is on probation,
    /// that is only a canary.
    pub(super) fn is_reachable(&self) -> bool {
        !self.leaving && !self.suspected
    }

    /// Returns whether the worker takes any task that it has room for.
    pub(super) fn is_ready(&self) -> bool {
        self.is_reachable() && self.health.is_ready()
    }

    /// Returns its condition in a word, as shown to operators.
    pub(super) fn state(&self) -> &'static str {
        match (self.leaving, self.suspected, self.health.is_ready()) {
            (true, _, _) => "leaving",
            (false, true, _) => "suspected",
            (false, false, false) => "probation",
            (false, false, true) => "ready",
        }
    }
}
