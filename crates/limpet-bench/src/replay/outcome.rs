/// What became of a trace.
#[derive(Clone, Debug, Default)]
pub struct ReplayOutcome {
    /// The latency of each answered request.
    pub latencies_us: Vec<u64>,
    /// When each answered request was answered, in the same order.
    pub answered_at_us: Vec<u64>,
    /// Answered requests of each team.
    pub answered_by_team: Vec<u64>,
    /// Requests that were refused as not run, at once.
    pub refused: u64,
    /// Requests that failed or were given up.
    pub failed: u64,
    /// Requests whose deadline passed while they waited.
    pub late: u64,
    /// Requests that met a runner without a free slot.
    pub collisions: u64,
    /// Attempts after the first, hedges included.
    pub retries: u64,
    /// Requests that went to another data centre.
    pub spilled: u64,
    /// The time that each runner's slots were in use.
    pub busy_us: Vec<u64>,
}

impl ReplayOutcome {
    /// Returns a percentile of the latencies in milliseconds.
    pub fn latency_ms(&self, percentile: f64) -> f64 {
        percentile_ms(&self.latencies_us, percentile)
    }

    /// Returns the answers a second between two times.
    pub fn goodput_per_s(&self, from_ms: u64, to_ms: u64) -> f64 {
        let within = from_ms * 1_000..to_ms * 1_000;
        let times = self.answered_at_us.iter();
        let count = times.filter(|at_us| within.contains(at_us)).count();
        count as f64 * 1e3 / (to_ms - from_ms).max(1) as f64
    }

    /// Returns the busiest runner's use over the mean one's.
    pub fn imbalance(&self) -> f64 {
        let most = self.busy_us.iter().max().copied().unwrap_or(0) as f64;
        let sum: u64 = self.busy_us.iter().sum();
        most * self.busy_us.len() as f64 / sum.max(1) as f64
    }
}

/// Returns a percentile of latencies in milliseconds.
pub(crate) fn percentile_ms(latencies_us: &[u64], percentile: f64) -> f64 {
    let mut sorted = latencies_us.to_vec();
    sorted.sort_unstable();
    let last = sorted.len().saturating_sub(1);
    let at = (last as f64 * percentile / 100.0) as usize;
    sorted.get(at).map_or(0.0, |us| *us as f64 / 1e3)
}
