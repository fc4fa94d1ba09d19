use super::{Deadline, FairQueue, LatencyAverage};
use crate::{Error, ErrorKind, Result, TimeMs};

/// The time over which answers are counted.
const RATE_WINDOW_MS: u64 = 250;

/// Bounds of the queue in front of a service's runners.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AdmissionOptions {
    /// The longest time that a request may be expected to wait.
    pub wait_limit_ms: u64,
    /// How many requests of a team may wait before any rate is known.
    pub team_queue_min: usize,
    /// How many requests of a team may wait in any case.
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

/// Decides at arrival whether a request can be answered before its
/// deadline, so that one which can't is told at once.
///
/// The wait is estimated by Little's law from the rate of answers while
/// something waits and the team's fair part of it.
#[derive(Clone, Debug, Default)]
pub struct Admission {
    options: AdmissionOptions,
    latency: LatencyAverage,
    rate_per_ms: Option<f64>,
    window_start: TimeMs,
    answers: u64,
    saturated: bool,
}

impl Admission {
    /// Returns an admission that knows nothing yet.
    pub fn new(options: AdmissionOptions) -> Admission {
        Admission { options, ..Admission::default() }
    }

    /// Takes in an answer; `waiting` says whether others wait for a slot,
    /// for only then does the rate of answers show what the runners can do.
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

    /// Returns the mean time of an answer, where one was seen.
    pub fn latency_ms(&self) -> Option<f64> {
        self.latency.mean_ms()
    }

    /// Returns how long a request of `team` would wait, where the rate of
    /// answers is known.
    pub fn expected_wait_ms(
        &self,
        queue: &FairQueue,
        team: &str,
        weight: u32,
    ) -> Option<f64> {
        let rate = self.rate_per_ms? * queue.team_share(team, weight);
        Some((queue.team_len(team) + 1) as f64 / rate.max(1e-9))
    }

    /// Checks whether a request may wait, and returns the bound of its
    /// team's queue.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Overloaded`] where it would be answered too late.
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
                    "an answer would take {:.0} ms, {} ms are left",
                    wait_ms + run_ms,
                    deadline.left_ms(now)
                ),
            ));
        }
        Ok(options.team_queue_max)
    }

    /// Says whether a request whose turn has come can still be answered in
    /// time.
    pub fn will_miss_deadline(&self, deadline: Deadline, now: TimeMs) -> bool {
        let run_ms = self.latency.mean_ms().unwrap_or(0.0);
        !deadline.allows(run_ms, now)
    }
}
