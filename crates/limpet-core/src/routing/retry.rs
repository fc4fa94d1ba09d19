use super::{Deadline, RetryBudget};
use crate::{ErrorKind, RunStatus, TimeMs};

/// How many times one request may be sent.
const ATTEMPTS_LIMIT: u32 = 3;

/// What is asked after an attempt failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FailedAttempt {
    /// How it failed.
    pub failure: ErrorKind,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Whether its body can be sent from the start.
    pub replayable: bool,
    /// How many attempts were made.
    pub attempts: u32,
    /// When its answer is due.
    pub deadline: Deadline,
}

/// What follows a failed attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetryDecision {
    /// Send it to another runner.
    Retry,
    /// It may have run and mustn't run twice.
    MayHaveRun,
    /// Its body is gone.
    BodySpent,
    /// It was sent as often as allowed.
    TooManyAttempts,
    /// Its deadline has passed.
    TooLate,
    /// Too many others were retried.
    NoBudget,
}

/// Decides whether a failed attempt is followed by another one.
///
/// The budget is touched last, so that only retries which are really made
/// spend from it.
pub fn decide_retry(
    attempt: &FailedAttempt,
    budget: &mut RetryBudget,
    now: TimeMs,
) -> RetryDecision {
    let not_run = attempt.failure.response().run == RunStatus::NotRun;
    if !not_run && !attempt.idempotent {
        return RetryDecision::MayHaveRun;
    }
    if !attempt.replayable {
        return RetryDecision::BodySpent;
    }
    if attempt.attempts >= ATTEMPTS_LIMIT {
        return RetryDecision::TooManyAttempts;
    }
    if attempt.deadline.left_ms(now) == 0 {
        return RetryDecision::TooLate;
    }
    if !budget.try_spend() {
        return RetryDecision::NoBudget;
    }
    RetryDecision::Retry
}
