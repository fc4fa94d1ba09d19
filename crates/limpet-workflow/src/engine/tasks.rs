//! The tasks of a step, of which only a bounded number is held.
//!
//! A client chooses the number of tasks freely, and each takes memory here and
//! room in the row of the job's progress. A large step is therefore opened bit
//! by bit: tasks that are not open yet have never run, and the first ones are
//! dropped once they are done.

use std::{
    collections::VecDeque,
    ops::{Index, IndexMut},
};

use super::job::Task;
use crate::spec::MAX_WHOLE_STEP_TASKS;

/// The most tasks of a job that are open at once, unless a step that is opened
/// whole needs more.
/// The progress of so many fits in a row of the store.
pub(super) const MAX_OPEN_TASKS: u32 = 2_000;

/// How many tasks a step opens at least once its turn has come, so that a step
/// without a worker doesn't hold up the others of its job.
const MIN_OPEN_TASKS: u32 = 16;

/// The most tasks of a step that are held: open ones, and those that are done
/// behind an open one.
const MAX_HELD_TASKS: u32 = 4 * MAX_OPEN_TASKS;

/// The tasks of a step.
#[derive(Clone, Debug, Default)]
pub(super) struct Tasks {
    /// The index of the first open task. All before it are done.
    first: u32,
    open: VecDeque<Task>,
    /// The number of all tasks, open or not.
    count: u32,
}

impl Tasks {
    /// Returns `count` tasks, none of them open.
    pub(super) fn closed(count: u32) -> Tasks {
        Tasks { first: 0, open: VecDeque::new(), count }
    }

    /// Opens up to `limit` further tasks, or [`MIN_OPEN_TASKS`] if none is
    /// open that is not done.
    pub(super) fn open(&mut self, limit: u32) {
        let held = self.held();
        let left = self.count - self.first - held;
        let limit = match self.open_count() {
            0 => limit.max(MIN_OPEN_TASKS),
            _ => limit,
        };
        let opened = left.min(limit).min(MAX_HELD_TASKS.saturating_sub(held));
        self.open.extend((0..opened).map(|_| Task::default()));
    }

    /// Opens all tasks of a step that can't be opened bit by bit. A stored one
    /// of more tasks than are accepted stays closed.
    pub(super) fn open_whole(&mut self) {
        if self.count <= MAX_WHOLE_STEP_TASKS {
            self.restore(self.count);
        }
    }

    /// Drops the first open tasks as far as they are done and have no claim.
    pub(super) fn drop_done(&mut self) {
        while self.open.front().is_some_and(|t| t.done && t.claim.is_none()) {
            self.open.pop_front();
            self.first += 1;
        }
    }

    /// Skips tasks that are done, before any is opened.
    pub(super) fn skip_done(&mut self, count: u32) {
        self.first = count.min(self.count);
    }

    /// Opens the next `count` tasks, whatever the bound is: their progress is
    /// stored.
    pub(super) fn restore(&mut self, count: u32) {
        let opened = count.min(self.count - self.first - self.held());
        self.open.extend((0..opened).map(|_| Task::default()));
    }

    /// Returns the number of tasks that are not done, open or not.
    pub(super) fn remaining(&self) -> u32 {
        let closed = self.count - self.first - self.held();
        closed + self.open_count()
    }

    /// Returns the number of the tasks that are held.
    pub(super) fn held(&self) -> u32 {
        self.open.len() as u32
    }

    /// Returns the number of the tasks that were dropped as done.
    pub(super) fn dropped(&self) -> u32 {
        self.first
    }

    /// Returns the number of open tasks that are not done.
    pub(super) fn open_count(&self) -> u32 {
        self.open.iter().filter(|task| !task.done).count() as u32
    }

    /// Returns an open task.
    pub(super) fn get(&self, index: u32) -> Option<&Task> {
        self.open.get(index.checked_sub(self.first)? as usize)
    }

    /// Returns an open task.
    pub(super) fn get_mut(&mut self, index: u32) -> Option<&mut Task> {
        self.open.get_mut(index.checked_sub(self.first)? as usize)
    }

    /// Returns the open tasks.
    pub(super) fn iter(&self) -> impl Iterator<Item = &Task> {
        self.open.iter()
    }

    /// Returns the open tasks.
    pub(super) fn iter_mut(&mut self) -> impl Iterator<Item = &mut Task> {
        self.open.iter_mut()
    }

    /// Returns the open tasks with their indices.
    pub(super) fn indexed_mut(
        &mut self,
    ) -> impl Iterator<Item = (u32, &mut Task)> {
        (self.first..).zip(&mut self.open)
    }

    /// Returns the open tasks with their indices.
    pub(super) fn indexed(&self) -> impl Iterator<Item = (u32, &Task)> {
        (self.first..).zip(&self.open)
    }
}

/// Panics if the task is not open.
impl Index<u32> for Tasks {
    type Output = Task;

    fn index(&self, index: u32) -> &Task {
        self.get(index).expect("the task is open")
    }
}

/// Panics if the task is not open.
impl IndexMut<u32> for Tasks {
    fn index_mut(&mut self, index: u32) -> &mut Task {
        self.get_mut(index).expect("the task is open")
    }
}
