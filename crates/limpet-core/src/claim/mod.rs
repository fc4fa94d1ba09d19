//! Claims, by which a non-idempotent request runs at most once.
//!
//! A claim is a row whose key holds the team and a hash of the caller's
//! idempotency key. It is written before the request may reach a runner. A
//! retry by the caller, through any instance, then finds the first attempt
//! and its outcome. The keys start with the day of the first attempt, and
//! rows are deleted by day.

mod outcome;
mod request;
mod row;
mod steps;

pub use self::{
    outcome::{ClaimOutcome, OUTCOME_BODY_LIMIT_BYTES},
    request::ClaimRequest,
    row::{ClaimRow, claim_day, claim_key, expired_prefixes},
    steps::{Claim, ClaimStep},
};
