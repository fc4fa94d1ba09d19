//! The tasks on a worker that more urgent steps may preempt, kept from one
//! scheduling pass to the next while the worker's claims do not change.

use limpet_core::{Resources, TimeMs};

use crate::key::TaskKey;

/// A running task that steps of a more urgent queue may preempt.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PreemptibleTask {
    pub(crate) task: TaskKey,
    /// The priority of its queue.
    pub(crate) priority: u32,
    /// The resources that come free on its worker.
    pub(crate) resources: Resources,
    /// The cores that it runs on, in thousandths.
    pub(crate) cores_milli: u64,
    pub(crate) checkpointing: bool,
    pub(crate) started_at: TimeMs,
}

/// The preemptible tasks of a worker.
#[derive(Clone, Debug, Default)]
pub(crate) struct Preemptible {
    /// Sorted by key.
    tasks: Vec<PreemptibleTask>,
    /// The sum of the resources of `tasks` by priority.
    room: Vec<(u32, Resources)>,
}

impl Preemptible {
    /// Creates the set from tasks that are sorted by key.
    pub(crate) fn new(tasks: Vec<PreemptibleTask>) -> Preemptible {
        let mut room: Vec<(u32, Resources)> = Vec::new();
        for task in &tasks {
            match room.iter_mut().find(|(own, _)| *own == task.priority) {
                Some((_, sum)) => *sum = sum.plus(&task.resources),
                None => room.push((task.priority, task.resources)),
            }
        }
        Preemptible { tasks, room }
    }

    /// Returns the tasks, sorted by key.
    pub(crate) fn tasks(&self) -> &[PreemptibleTask] {
        &self.tasks
    }

    /// Returns the resources of the tasks that a step of `priority` may
    /// preempt.
    pub(crate) fn room(&self, priority: u32) -> Resources {
        self.room
            .iter()
            .filter(|(own, _)| *own > priority)
            .fold(Resources::ZERO, |sum, (_, room)| sum.plus(room))
    }
}
