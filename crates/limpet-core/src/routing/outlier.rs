use crate::TimeMs;

/// The number of consecutive failures after which a runner is ejected.
const FAILURES_TO_EJECT: u32 = 3;

/// The length of a runner's first ejection; it doubles with each further
/// one.
const EJECTION_MIN_MS: u64 = 1_000;

/// The longest ejection.
const EJECTION_MAX_MS: u64 = 30_000;

/// The number of answers that end a runner's probation.
const ANSWERS_TO_RESTORE: u32 = 3;

/// How many requests a runner may have in flight, by its recent failures.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Health {
    /// No restriction.
    Healthy,
    /// One request at a time, after an ejection has ended.
    Probation,
    /// No requests.
    Ejected,
}

/// Ejects a runner that fails requests and readmits it on probation.
///
/// The caller leaves out failures that most runners of the service share,
/// because those aren't the fault of one runner.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct OutlierDetector {
    failures_in_row: u32,
    /// The number of ejections since the runner was last healthy.
    ejections: u32,
    /// The end of the last ejection.
    ejected_until: Option<TimeMs>,
    /// The number of answers after which the probation ends.
    probation_answers_left: u32,
}

impl OutlierDetector {
    /// Records an answer.
    pub fn record_answer(&mut self) {
        self.failures_in_row = 0;
        self.probation_answers_left =
            self.probation_answers_left.saturating_sub(1);
        if self.probation_answers_left == 0 && self.ejected_until.is_none() {
            self.ejections = 0;
        }
    }

    /// Records a failure that may be the runner's own. The runner is ejected
    /// after three consecutive failures, or after one on probation.
    pub fn record_failure(&mut self, now: TimeMs) {
        self.failures_in_row += 1;
        let on_probation = self.probation_answers_left > 0;
        if on_probation || self.failures_in_row >= FAILURES_TO_EJECT {
            self.eject(now);
        }
    }

    /// Records that no connection to the runner could be opened, and ejects
    /// it at once: an unreachable process can't answer any other request.
    pub fn record_unreachable(&mut self, now: TimeMs) {
        self.eject(now);
    }

    /// Ejects the runner unless it is ejected already. The time doubles with
    /// each ejection since the runner was last healthy.
    fn eject(&mut self, now: TimeMs) {
        if self.ejected_until.is_some_and(|until| now < until) {
            return;
        }
        let ms =
            (EJECTION_MIN_MS << self.ejections.min(16)).min(EJECTION_MAX_MS);
        self.ejected_until = Some(now.plus_ms(ms));
        self.ejections += 1;
        self.failures_in_row = 0;
        self.probation_answers_left = ANSWERS_TO_RESTORE;
    }

    /// Returns the runner's health at `now`.
    pub fn health(&self, now: TimeMs) -> Health {
        if self.ejected_until.is_some_and(|until| now < until) {
            return Health::Ejected;
        }
        if self.probation_answers_left > 0 {
            return Health::Probation;
        }
        Health::Healthy
    }
}
