/// The divisor that gives the weight of the newest observation: one eighth.
const WEIGHT_DIVISOR: f64 = 8.0;

/// An exponentially weighted moving average, usually of latencies in
/// milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LatencyAverage {
    mean_ms: f64,
    count: u64,
}

impl LatencyAverage {
    /// Adds an observation.
    pub fn record(&mut self, ms: u64) {
        self.count += 1;
        // The first observations form a plain mean, so that an unusual first
        // value doesn't dominate the average for long.
        let divisor = (self.count as f64).min(WEIGHT_DIVISOR);
        self.mean_ms += (ms as f64 - self.mean_ms) / divisor;
    }

    /// Returns the average, or `None` before the first observation.
    pub fn mean_ms(&self) -> Option<f64> {
        (self.count > 0).then_some(self.mean_ms)
    }

    /// Returns the number of observations.
    pub fn count(&self) -> u64 {
        self.count
    }
}
