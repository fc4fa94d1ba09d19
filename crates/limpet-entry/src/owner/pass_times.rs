//! How long scheduling passes take.

use std::time::Duration;

/// The number and the durations of scheduling passes.
///
/// Beside the owner's share of a processor they tell whether decisions or
/// calls use it up.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct PassTimes {
    /// The number of passes.
    pub(super) count: u64,
    /// The sum of their durations, in microseconds.
    pub(super) total_us: u64,
    /// The longest of them, in microseconds.
    pub(super) max_us: u64,
}

impl PassTimes {
    /// Counts a pass.
    pub(super) fn record(&mut self, took: Duration) {
        let took_us = took.as_micros() as u64;
        self.count += 1;
        self.total_us += took_us;
        self.max_us = self.max_us.max(took_us);
    }
}
