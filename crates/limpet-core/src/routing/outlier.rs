use crate::TimeMs;

/// Failures in a row after which a runner gets nothing for a while.
const FAILURES_TO_EJECT: u32 = 3;

/// The first time that a runner gets nothing.
const EJECTION_MIN_MS: u64 = 1_000;

/// The longest time that a runner gets nothing before it is tried again.
const EJECTION_MAX_MS: u64 = 30_000;

/// Answers in a row that end the probation.
const ANSWERS_TO_RESTORE: u32 = 3;

/// Whether a runner may be given requests, by its recent failures.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Health {
    /// Without restriction.
    Healthy,
    /// One at a time.
    Probation,
    /// None.
    Ejected,
}

/// Finds the runners that fail what others answer.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct OutlierDetector {
    failures_in_row: u32,
    ejections: u32,
    ejected_until: Option<TimeMs>,
    probation_answers_left: u32,
}

impl OutlierDetector {
    /// Takes in an answer.
    pub fn record_answer(&mut self) {
        self.failures_in_row = 0;
        self.probation_answers_left =
            self.probation_answers_left.saturating_sub(1);
        if self.probation_answers_left == 0 && self.ejected_until.is_none() {
            self.ejections = 0;
        }
    }

    /// Takes in a failure that may be the runner's own.
    pub fn record_failure(&mut self, now: TimeMs) {
        self.failures_in_row += 1;
        let on_probation = self.probation_answers_left > 0;
        if on_probation || self.failures_in_row >= FAILURES_TO_EJECT {
            self.eject(now);
        }
    }

    /// Takes in that the runner can't be reached: nobody answers there, so
    /// one failure is enough.
    pub fn record_unreachable(&mut self, now: TimeMs) {
        self.eject(now);
    }

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

    /// Returns what the runner may be given at `now`.
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
