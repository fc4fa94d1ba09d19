use std::collections::BTreeSet;

use super::{WorkerShape, health::Health};
use crate::{Resources, TaskId};

/// What the scheduler keeps of a worker.
#[derive(Clone, Debug)]
pub(super) struct Worker {
    pub(super) shape: WorkerShape,
    /// What its tasks were promised. Never more than it holds.
    pub(super) committed: Resources,
    /// What is kept for a gang or for the task that others were stopped
    /// for.
    pub(super) reserved: Resources,
    pub(super) used: Resources,
    pub(super) tasks: BTreeSet<TaskId>,
    pub(super) leaving: bool,
    pub(super) suspected: bool,
    pub(super) health: Health,
    /// The key under which the index holds the worker.
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

    /// Returns what is committed to nobody.
    pub(super) fn free(&self) -> Resources {
        self.shape.held.minus(&self.committed)
    }

    /// Returns what is neither committed nor reserved.
    pub(super) fn room(&self) -> Resources {
        self.free().minus(&self.reserved)
    }

    /// Says whether new tasks may be placed here at all.
    pub(super) fn is_reachable(&self) -> bool {
        !self.leaving && !self.suspected
    }

    /// Says whether the worker takes any task with room for it.
    pub(super) fn is_ready(&self) -> bool {
        self.is_reachable() && self.health.is_ready()
    }

    /// Returns its condition in a word.
    pub(super) fn state(&self) -> &'static str {
        match (self.leaving, self.suspected, self.health.is_ready()) {
            (true, _, _) => "leaving",
            (false, true, _) => "suspected",
            (false, false, false) => "probation",
            (false, false, true) => "ready",
        }
    }
}
