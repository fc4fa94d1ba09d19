use std::collections::VecDeque;

use limpet_core::TimeMs;

/// A value whose readers see it as it was some time ago.
#[derive(Clone, Debug)]
pub(super) struct Lagged<T> {
    changes: VecDeque<(TimeMs, T)>,
}

impl<T> Lagged<T> {
    /// Returns a value that has never been set.
    pub(super) fn new() -> Lagged<T> {
        Lagged { changes: VecDeque::new() }
    }

    /// Sets the value at `now`, and forgets what nobody can see any more
    /// who reads as of `oldest` or later.
    pub(super) fn set(&mut self, value: T, now: TimeMs, oldest: TimeMs) {
        self.changes.push_back((now, value));
        while self.changes.get(1).is_some_and(|(at, _)| *at <= oldest) {
            self.changes.pop_front();
        }
    }

    /// Returns the value as it was at `at`, with the time it was set.
    pub(super) fn as_of(&self, at: TimeMs) -> Option<(TimeMs, &T)> {
        self.changes
            .iter()
            .rev()
            .find(|(set_at, _)| *set_at <= at)
            .map(|(set_at, value)| (*set_at, value))
    }
}
