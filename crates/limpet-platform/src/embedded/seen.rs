use std::collections::{HashMap, VecDeque};

use limpet_core::{Epoch, TaskId, TimeMs};

/// One start of a task. Numbers count from 1 in each epoch.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct Attempt {
    pub(super) epoch: Epoch,
    pub(super) number: u32,
}

/// The attempts that a worker has been asked to start.
///
/// A start is only carried out while the stamp of its own message is fresh,
/// so an attempt may be forgotten once no message from before it can be
/// fresh any more.
#[derive(Clone, Debug, Default)]
pub(super) struct SeenAttempts {
    highest: HashMap<TaskId, Attempt>,
    forget: VecDeque<(TimeMs, TaskId, Attempt)>,
}

impl SeenAttempts {
    /// Says whether this attempt or a later one was seen.
    pub(super) fn contains(&self, task: TaskId, attempt: Attempt) -> bool {
        self.highest.get(&task).is_some_and(|&highest| attempt <= highest)
    }

    /// Remembers an attempt until `forget_at`.
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

    /// Forgets what is due. Times mostly grow along the queue; one that
    /// doesn't is merely remembered for longer.
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
