use std::time::{Duration, Instant};

use super::{client, options::LoadOptions, outcome::Reply};
use crate::{options::BenchOptions, record::Record};

/// How long before a due time the client stops sleeping and starts polling
/// the clock, since the runtime's timers fire up to a millisecond late.
const POLL_AHEAD_US: u64 = 1_500;

/// The due times of requests at a steady rate.
#[derive(Clone, Copy, Debug)]
pub(super) struct Schedule {
    start: Instant,
    interval_ns: f64,
}

impl Schedule {
    pub(super) fn new(rate_per_s: f64) -> Schedule {
        let interval_ns = 1.0e9 / rate_per_s;
        Schedule { start: Instant::now(), interval_ns }
    }

    pub(super) fn start(&self) -> Instant {
        self.start
    }

    pub(super) fn due(&self, index: u64) -> Instant {
        let after_ns = self.interval_ns * index as f64;
        self.start + Duration::from_nanos(after_ns as u64)
    }
}

/// Waits until `due`, to within some microseconds on an idle machine. Other
/// tasks of the thread keep running meanwhile.
pub(super) async fn wait_until(due: Instant) {
    let poll_from = due - Duration::from_micros(POLL_AHEAD_US);
    if poll_from > Instant::now() {
        actix_rt::time::sleep_until(poll_from.into()).await;
    }
    while Instant::now() < due {
        actix_rt::task::yield_now().await;
    }
}

/// Measures how late the load client sends its requests, with requests that
/// do nothing.
///
/// # Errors
///
/// Never fails; the return type is the one that [`Bench`](crate::Bench)
/// requires.
pub fn measure_schedule(options: &BenchOptions) -> eyre::Result<Vec<Record>> {
    let load = LoadOptions::new(2_000.0, options.duration_ms);
    let outcome = actix_rt::System::new()
        .block_on(client::run(load, |_| async { Reply::Answered }));
    let lateness =
        |percent| outcome.lateness_us.value_at_percentile(percent) as f64;
    let record = |metric, value| {
        Record::new("timer", "2000 per s", metric, value, "us")
    };
    Ok(vec![
        record("lateness_p50", lateness(50.0)),
        record("lateness_p99", lateness(99.0)),
    ])
}
