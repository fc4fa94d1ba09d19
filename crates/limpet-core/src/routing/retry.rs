use super::{Deadline, RetryBudget};
use crate::{ErrorKind, RunStatus, TimeMs};

/// The largest number of attempts for one request.
const ATTEMPTS_LIMIT: u32 = 3;

/// A request under which this many runners broke off isn't sent to another:
/// it may be what crashes them.
const BROKEN_LIMIT: u32 = 2;

/// A failed attempt of a request, for which a retry is to be decided.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FailedAttempt {
    /// How the attempt failed.
    pub failure: ErrorKind,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Whether the request's body can be sent again from its start.
    pub replayable: bool,
    /// The number of attempts so far, this one included.
    pub attempts: u32,
    /// The number of attempts during which the runner broke off, so that the
    /// request may have crashed it.
    pub broken: u32,
    /// When the answer to the request is due.
    pub deadline: Deadline,
}

/// Whether a failed attempt is retried, and if not, why.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetryDecision {
    /// The request is sent to another runner.
    Retry,
    /// The attempt may have run, and the request isn't idempotent.
    MayHaveRun,
    /// The body has been consumed and can't be sent again.
    BodySpent,
    /// The request has been sent three times.
    TooManyAttempts,
    /// Two runners broke off while they had the request.
    MayCrash,
    /// The deadline has passed.
    TooLate,
    /// The retry budget is used up.
    NoBudget,
}

/// Decides whether a failed attempt is retried.
///
/// The budget is checked last, so that only retries which are really made
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
    if attempt.broken >= BROKEN_LIMIT {
        return RetryDecision::MayCrash;
    }
    if attempt.deadline.left_ms(now) == 0 {
        return RetryDecision::TooLate;
    }
    if !budget.try_spend() {
        return RetryDecision::NoBudget;
    }
    RetryDecision::Retry
}
