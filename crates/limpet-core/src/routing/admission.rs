use super::{Deadline, FairQueue, LatencyAverage};
use crate::{Error, ErrorKind, Result, TimeMs};

/// The shortest interval over which the rate of answers is measured.
const RATE_WINDOW_MS: u64 = 250;

/// Limits of the queue in front of a service's runners.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AdmissionOptions {
    /// The longest expected wait with which a request is still admitted, in
    /// milliseconds.
    pub wait_limit_ms: u64,
    /// The number of requests that a team may queue while no rate of answers
    /// is known yet.
    pub team_queue_min: usize,
    /// The number of requests that a team may queue once the expected wait
    /// can be computed.
    pub team_queue_max: usize,
}

impl Default for AdmissionOptions {
    fn default() -> AdmissionOptions {
        AdmissionOptions {
            wait_limit_ms: 2_000,
            team_queue_min: 16,
            team_queue_max: 1_024,
        }
    }
}

/// Admission control in front of a service's queue.
///
/// It decides on arrival whether a request can be answered before its
/// deadline, so that a request which can't is refused at once instead of
/// timing out in the queue.
///
/// The wait is estimated by Little's law from the rate of answers, measured
/// only while requests are queued, and the team's fair share of that rate.
#[derive(Clone, Debug, Default)]
pub struct Admission {
    options: AdmissionOptions,
    latency: LatencyAverage,
    /// The number of answers per millisecond while requests are queued.
    rate_per_ms: Option<f64>,
    /// The start of the interval in which answers are being counted.
    window_start: TimeMs,
    /// The number of answers in that interval.
    answers: u64,
    /// Whether requests were queued at each answer of the interval.
    saturated: bool,
}

impl Admission {
    /// Returns an admission control without any measurements.
    pub fn new(options: AdmissionOptions) -> Admission {
        Admission { options, ..Admission::default() }
    }

    /// Records an answer that took `latency_ms`.
    ///
    /// `waiting` tells whether other requests are queued. Only while some
    /// are does the rate of answers show the capacity of the runners, so
    /// intervals with an empty queue don't change the rate.
    pub fn record_answer(
        &mut self,
        latency_ms: u64,
        waiting: bool,
        now: TimeMs,
    ) {
        self.latency.record(latency_ms);
        self.answers += 1;
        self.saturated &= waiting;
        let elapsed_ms = now.ms_since(self.window_start);
        if elapsed_ms < RATE_WINDOW_MS {
            return;
        }
        if self.saturated {
            let rate = self.answers as f64 / elapsed_ms as f64;
            let averaged =
                self.rate_per_ms.map_or(rate, |old| (old + rate) / 2.0);
            self.rate_per_ms = Some(averaged);
        }
        self.window_start = now;
        self.answers = 0;
        self.saturated = waiting;
    }

    /// Returns the average latency in milliseconds, or `None` before the
    /// first answer.
    pub fn latency_ms(&self) -> Option<f64> {
        self.latency.mean_ms()
    }

    /// Returns how many milliseconds a new request of `team` is expected to
    /// wait, or `None` while the rate of answers is unknown.
    pub fn expected_wait_ms(
        &self,
        queue: &FairQueue,
        team: &str,
        weight: u32,
    ) -> Option<f64> {
        let rate = self.rate_per_ms? * queue.team_share(team, weight);
        Some((queue.team_len(team) + 1) as f64 / rate.max(1e-9))
    }

    /// Checks whether a request may join the queue, and returns the number
    /// of requests that its team may have queued.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Overloaded`] if the expected wait exceeds
    /// [`AdmissionOptions::wait_limit_ms`], or if the wait and the average
    /// latency together exceed the time left until `deadline`.
    pub fn check(
        &self,
        queue: &FairQueue,
        team: &str,
        weight: u32,
        deadline: Deadline,
        now: TimeMs,
    ) -> Result<usize> {
        let options = &self.options;
        let Some(wait_ms) = self.expected_wait_ms(queue, team, weight) else {
            return Ok(options.team_queue_min);
        };
        let run_ms = self.latency.mean_ms().unwrap_or(0.0);
        let too_long = wait_ms > options.wait_limit_ms as f64;
        if too_long || !deadline.allows(wait_ms + run_ms, now) {
            return Err(Error::new(
                ErrorKind::Overloaded,
                format!(
                    "the expected time to an answer, {:.0} ms, is too long; \
                     the deadline is in {} ms",
                    wait_ms + run_ms,
                    deadline.left_ms(now)
                ),
            ));
        }
        Ok(options.team_queue_max)
    }

    /// Returns whether a request that leaves the queue now would be answered
    /// after its deadline, judged by the average latency.
    pub fn will_miss_deadline(&self, deadline: Deadline, now: TimeMs) -> bool {
        let run_ms = self.latency.mean_ms().unwrap_or(0.0);
        !deadline.allows(run_ms, now)
    }
}
