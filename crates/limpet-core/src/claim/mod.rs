//! Claims that let a non-idempotent request run at most once.
//!
//! A claim is a row under the team's and the caller's idempotency key. It
//! is written before the request may reach a runner, so that the caller's
//! own retry, through whichever instance, finds the first attempt and its
//! outcome. Rows stand under the day of the first attempt and are deleted
//! by day.

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
