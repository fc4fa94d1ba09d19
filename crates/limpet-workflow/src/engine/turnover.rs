use limpet_core::TimeMs;

/// The rate counts over at least so long.
const PERIOD_MS: u64 = 100;
/// The weight of the newest period in the rate.
const NEWEST_WEIGHT: f64 = 0.3;

/// How fast cores come free.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Turnover {
    period_began: TimeMs,
    freed_milli: u64,
    milli_a_ms: f64,
}

impl Turnover {
    /// Counts thousandths of cores that came free.
    pub(super) fn add(&mut self, cores_milli: u64) {
        self.freed_milli += cores_milli;
    }

    /// Ends a period once it was long enough.
    pub(super) fn tick(&mut self, now: TimeMs) {
        let passed_ms = now.ms_since(self.period_began);
        if passed_ms < PERIOD_MS {
            return;
        }
        let newest = self.freed_milli as f64 / passed_ms as f64;
        self.milli_a_ms += (newest - self.milli_a_ms) * NEWEST_WEIGHT;
        self.freed_milli = 0;
        self.period_began = now;
    }

    /// Returns the thousandths of cores that are likely to come free within
    /// some milliseconds.
    pub(super) fn within_ms(&self, ms: u64) -> u64 {
        (self.milli_a_ms * ms as f64) as u64
    }
}
