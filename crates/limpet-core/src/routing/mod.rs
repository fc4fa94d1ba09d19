//! Decisions about requests to services: which runner takes a request, when
//! it waits, when it is refused and when it may be tried again.
//!
//! Instances don't see each other's choices. What they share of a runner is
//! divided beforehand ([`RouterShare`]) and corrected by what its answers
//! tell ([`Router`]). `docs/ROUTING.md` weighs the alternatives.

mod admission;
mod concurrency;
mod deadline;
mod endpoint;
mod fair_queue;
mod latency;
mod outlier;
mod retry;
mod retry_after;
mod retry_budget;
mod router;
mod share;
mod slow_start;
mod team_limit;

pub use self::{
    admission::{Admission, AdmissionOptions},
    concurrency::ConcurrencyLimit,
    deadline::Deadline,
    endpoint::{EndpointSpec, EndpointState, Outcome},
    fair_queue::{FairQueue, Ticket, Waiter},
    latency::LatencyAverage,
    outlier::{Health, OutlierDetector},
    retry::{FailedAttempt, RetryDecision, decide_retry},
    retry_after::RetryAfter,
    retry_budget::RetryBudget,
    router::{Choice, ChoiceReason, Router, RouterOptions, SlotPolicy},
    share::{RouterShare, share_of},
    slow_start::SlowStart,
    team_limit::TeamLimits,
};
