//! The memory of start orders by which a worker recognises repeated ones.

use std::collections::{HashMap, VecDeque};

use limpet_core::{Epoch, TaskId, TimeMs};

/// An attempt to run a task. Numbers count from 1 in each epoch.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct Attempt {
    pub(super) epoch: Epoch,
    pub(super) number: u32,
}

/// The attempts that a worker has been asked to start, by which it recognises
/// repeated messages.
///
/// A start is only carried out while the lease that its own message proves is
/// valid. An attempt can therefore be forgotten once that lease would have
/// expired: a late repetition of its message starts nothing.
#[derive(Clone, Debug, Default)]
pub(super) struct SeenAttempts {
    /// The highest attempt of each task that was seen and isn't forgotten.
    highest: HashMap<TaskId, Attempt>,
    /// When to forget each attempt, in the order of insertion.
    forget: VecDeque<(TimeMs, TaskId, Attempt)>,
}

impl SeenAttempts {
    /// Reports whether this attempt of the task or a later one was seen.
    pub(super) fn contains(&self, task: TaskId, attempt: Attempt) -> bool {
        self.highest.get(&task).is_some_and(|&highest| attempt <= highest)
    }

    /// Records an attempt, to be forgotten at `forget_at`.
    pub(super) fn insert(
        &mut self,
        task: TaskId,
        attempt: Attempt,
        forget_at: TimeMs,
    ) {
        let highest = self.highest.entry(task).or_insert(attempt);
        *highest = attempt.max(*highest);
        self.forget.push_back((forget_at, task, attempt));
    }

    /// Forgets the attempts that are due. An attempt that was inserted after
    /// one with a later time is kept until that later time; it is still
    /// refused meanwhile, as it would be without a valid lease.
    pub(super) fn advance(&mut self, now: TimeMs) {
        while self.forget.front().is_some_and(|(at, ..)| *at <= now) {
            let Some((_, task, attempt)) = self.forget.pop_front() else {
                return;
            };
            if self.highest.get(&task) == Some(&attempt) {
                self.highest.remove(&task);
            }
        }
    }
}
