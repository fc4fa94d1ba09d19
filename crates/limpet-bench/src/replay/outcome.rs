/// Counts and latencies of the requests of a replayed trace.
#[derive(Clone, Debug, Default)]
pub struct ReplayOutcome {
    /// The latency of each answered request, in the order of the answers.
    pub latencies_us: Vec<u64>,
    /// The time of each answer, in the same order.
    pub answered_at_us: Vec<u64>,
    /// The number of answered requests of each team.
    pub answered_by_team: Vec<u64>,
    /// The number of requests that were refused without having run, either on
    /// arrival or when their turn came too late.
    pub refused: u64,
    /// The number of requests that failed or passed their deadline.
    pub failed: u64,
    /// The number of requests whose deadline passed while they were queued.
    pub late: u64,
    /// The number of attempts that reached a runner without a free slot.
    pub collisions: u64,
    /// The number of attempts after the first of a request, hedges included.
    pub retries: u64,
    /// The number of attempts that were sent to another data centre.
    pub spilled: u64,
    /// The time for which slots of each runner were in use, summed over its
    /// slots.
    pub busy_us: Vec<u64>,
}

impl ReplayOutcome {
    /// Returns a percentile of the latencies, in milliseconds. `percentile`
    /// ranges from 0 to 100.
    pub fn latency_ms(&self, percentile: f64) -> f64 {
        percentile_ms(&self.latencies_us, percentile)
    }

    /// Returns the number of answers a second between two times.
    pub fn goodput_per_s(&self, from_ms: u64, to_ms: u64) -> f64 {
        let interval_us = from_ms * 1_000..to_ms * 1_000;
        let times = self.answered_at_us.iter();
        let count = times.filter(|at_us| interval_us.contains(at_us)).count();
        count as f64 * 1e3 / (to_ms - from_ms).max(1) as f64
    }

    /// Returns the ratio of the busiest runner's busy time to the mean.
    pub fn imbalance(&self) -> f64 {
        let max = self.busy_us.iter().max().copied().unwrap_or(0) as f64;
        let sum: u64 = self.busy_us.iter().sum();
        max * self.busy_us.len() as f64 / sum.max(1) as f64
    }
}

/// Returns a percentile of latencies, in milliseconds, or 0 if there are
/// none. `percentile` ranges from 0 to 100.
pub(crate) fn percentile_ms(latencies_us: &[u64], percentile: f64) -> f64 {
    let mut sorted = latencies_us.to_vec();
    sorted.sort_unstable();
    let last = sorted.len().saturating_sub(1);
    let index = (last as f64 * percentile / 100.0) as usize;
    sorted.get(index).map_or(0.0, |us| *us as f64 / 1e3)
}
