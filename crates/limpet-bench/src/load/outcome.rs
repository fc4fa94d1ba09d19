use hdrhistogram::Histogram;

/// The largest latency that a histogram can hold. Larger ones are recorded
/// as this.
const MAX_LATENCY_US: u64 = 60_000_000;
/// The number of significant digits that a histogram keeps of a latency.
const LATENCY_DIGITS: u8 = 3;

/// How a request ended, as its client sees it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reply {
    /// The expected answer arrived completely.
    Answered,
    /// The request was refused with the statement that it did not run.
    Refused,
    /// Anything else: an error, or a truncated or wrong answer.
    Failed,
}

/// Counts and latencies of the requests of a load.
#[derive(Clone, Debug)]
pub struct LoadOutcome {
    /// The number of requests that were due.
    pub offered: u64,
    /// The number of requests with the complete expected answer.
    pub answered: u64,
    /// The number of requests that were refused without having run.
    pub refused: u64,
    /// The number of requests that failed in any other way, or had no answer
    /// by the end of the grace period.
    pub failed: u64,
    /// The time from when each answered request was due to the end of its
    /// answer, in microseconds.
    pub latency_us: Histogram<u64>,
    /// The time from when each refused request was due to its refusal, in
    /// microseconds.
    pub refusal_us: Histogram<u64>,
    /// The time from when each request was due to when it was sent, in
    /// microseconds. This is the load client's own share of the latency.
    pub lateness_us: Histogram<u64>,
    /// The time from when the first request was due to the last answer or
    /// the end of the grace period, in milliseconds.
    pub elapsed_ms: u64,
}

impl LoadOutcome {
    pub(super) fn new(offered: u64) -> LoadOutcome {
        LoadOutcome {
            offered,
            answered: 0,
            refused: 0,
            failed: 0,
            latency_us: new_histogram(),
            refusal_us: new_histogram(),
            lateness_us: new_histogram(),
            elapsed_ms: 0,
        }
    }

    pub(super) fn record(&mut self, reply: Reply, latency_us: u64) {
        match reply {
            Reply::Answered => {
                self.answered += 1;
                self.latency_us.saturating_record(latency_us);
            }
            Reply::Refused => {
                self.refused += 1;
                self.refusal_us.saturating_record(latency_us);
            }
            Reply::Failed => self.failed += 1,
        }
    }

    /// Returns the number of answered requests a second.
    pub fn goodput_per_s(&self) -> f64 {
        self.answered as f64 * 1_000.0 / self.elapsed_ms.max(1) as f64
    }

    /// Returns a percentile of the latencies of answered requests, in
    /// milliseconds. `percent` ranges from 0 to 100.
    pub fn latency_ms(&self, percent: f64) -> f64 {
        self.latency_us.value_at_percentile(percent) as f64 / 1_000.0
    }
}

#[allow(clippy::expect_used)]
fn new_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_LATENCY_US, LATENCY_DIGITS)
        .expect("the constant bounds are valid")
}
