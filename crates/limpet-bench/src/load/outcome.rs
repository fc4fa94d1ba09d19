use hdrhistogram::Histogram;

/// The longest latency that is told apart from longer ones: a minute.
const LATENCY_LIMIT_US: u64 = 60_000_000;
/// The significant digits of a latency.
const LATENCY_DIGITS: u8 = 3;

/// How one request ended, as its sender sees it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reply {
    /// The whole expected answer came.
    Answered,
    /// It was refused, and the refusal says that it did not run.
    Refused,
    /// Anything else: an error, a cut or a wrong answer.
    Failed,
}

/// What became of the offered load.
#[derive(Clone, Debug)]
pub struct LoadOutcome {
    /// Requests that were due.
    pub offered: u64,
    /// Requests with the whole expected answer.
    pub answered: u64,
    /// Requests that were refused without having run.
    pub refused: u64,
    /// Requests that failed in any other way, or had no answer in the end.
    pub failed: u64,
    /// From when each answered request was due to its whole answer, in
    /// microseconds.
    pub latency_us: Histogram<u64>,
    /// From when each refused request was due to its refusal, in
    /// microseconds.
    pub refusal_us: Histogram<u64>,
    /// From when each request was due to when it left, in microseconds: the
    /// client's own part of the latency.
    pub lateness_us: Histogram<u64>,
    /// From the first due time to the last answer, in milliseconds.
    pub elapsed_ms: u64,
}

impl LoadOutcome {
    pub(super) fn new(offered: u64) -> LoadOutcome {
        LoadOutcome {
            offered,
            answered: 0,
            refused: 0,
            failed: 0,
            latency_us: histogram(),
            refusal_us: histogram(),
            lateness_us: histogram(),
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

    /// Returns the answered requests a second.
    pub fn goodput_per_s(&self) -> f64 {
        self.answered as f64 * 1_000.0 / self.elapsed_ms.max(1) as f64
    }

    /// Returns the latency that a part of the answered requests, in
    /// hundredths, kept within, in milliseconds.
    pub fn latency_ms(&self, percent: f64) -> f64 {
        self.latency_us.value_at_percentile(percent) as f64 / 1_000.0
    }
}

#[allow(clippy::expect_used)]
fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, LATENCY_LIMIT_US, LATENCY_DIGITS)
        .expect("the bounds are constants that a histogram takes")
}
