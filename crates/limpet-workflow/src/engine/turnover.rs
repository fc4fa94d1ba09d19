//! A moving average of the rate at which cores come free. It tells for how
//! many cores advice can be requested before they are free.

use limpet_core::TimeMs;

/// The minimum length of a period over which the rate is measured.
const PERIOD_MS: u64 = 100;
/// The weight of the latest period in the moving average.
const NEWEST_WEIGHT: f64 = 0.3;

/// The rate at which cores come free, as a moving average.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Turnover {
    /// When the current period began.
    period_start: TimeMs,
    /// Cores that came free in the current period, in thousandths.
    freed_milli: u64,
    /// The average rate, in thousandths of a core per millisecond.
    milli_per_ms: f64,
}

impl Turnover {
    /// Records cores that came free, in thousandths.
    pub(super) fn record_freed(&mut self, cores_milli: u64) {
        self.freed_milli += cores_milli;
    }

    /// Updates the rate and starts a new period if the current one has lasted
    /// long enough.
    pub(super) fn tick(&mut self, now: TimeMs) {
        let passed_ms = now.ms_since(self.period_start);
        if passed_ms < PERIOD_MS {
            return;
        }
        let newest = self.freed_milli as f64 / passed_ms as f64;
        self.milli_per_ms += (newest - self.milli_per_ms) * NEWEST_WEIGHT;
        self.freed_milli = 0;
        self.period_start = now;
    }

    /// Returns the cores expected to come free within `ms`, in thousandths.
    pub(super) fn expected_within_ms(&self, ms: u64) -> u64 {
        (self.milli_per_ms * ms as f64) as u64
    }
}
