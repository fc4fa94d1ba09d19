//! Values that readers see with a delay.

use std::collections::VecDeque;

use limpet_core::TimeMs;

/// A value that is read as it was at an earlier time.
#[derive(Clone, Debug)]
pub(super) struct Lagged<T> {
    /// The values with the times at which they were set, oldest first.
    changes: VecDeque<(TimeMs, T)>,
}

impl<T> Lagged<T> {
    /// Returns a value that hasn't been set yet.
    pub(super) fn new() -> Lagged<T> {
        Lagged { changes: VecDeque::new() }
    }

    /// Sets the value at `now`, and drops the changes that no read as of
    /// `oldest` or later can return.
    pub(super) fn set(&mut self, value: T, now: TimeMs, oldest: TimeMs) {
        self.changes.push_back((now, value));
        while self.changes.get(1).is_some_and(|(at, _)| *at <= oldest) {
            self.changes.pop_front();
        }
    }

    /// Returns the value as of `at` with the time at which it was set, or
    /// `None` if it hadn't been set by then.
    pub(super) fn as_of(&self, at: TimeMs) -> Option<(TimeMs, &T)> {
        self.changes
            .iter()
            .rev()
            .find(|(set_at, _)| *set_at <= at)
            .map(|(set_at, value)| (*set_at, value))
    }
}
