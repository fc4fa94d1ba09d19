//! Routing decisions for requests to services: which runner gets a request,
//! when a request waits, when it is refused and when it is retried.
//!
//! Each traffic thread of each instance runs its own [`Router`] for a
//! service, and no router sees the choices of another. A runner's slots and
//! connections are therefore divided among the routers in advance
//! ([`RouterShare`]), and each [`Router`] corrects its view by the load that
//! runners report in their answers. `docs/ROUTING.md` compares this with the
//! alternatives.

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
