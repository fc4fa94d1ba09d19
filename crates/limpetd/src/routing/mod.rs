//! Requests to services: from a caller's connection to a runner's and back.
//!
//! `limpet_core::routing` decides which runner gets a request, and when; this
//! module does the input and output and keeps the timers. Each traffic thread
//! has a [`TrafficContext`] of its own and shares nothing that needs a lock.
//! `docs/ROUTING.md` gives the reasons for both parts of the design.

mod acquire;
mod activity;
mod answer_stream;
mod attempt;
mod attempt_guard;
mod body_source;
mod claim;
mod claimed;
mod context;
mod dispatch;
mod handle;
mod headers;
mod in_flight_request;
mod options;
mod pool;
mod refusal;
mod request_plan;
mod runner_connection;
mod service_state;
mod sweep;
mod target;
mod thread_state;

pub use self::{
    activity::TrafficActivity,
    claim::{ClaimFuture, ClaimGrant, ClaimPort, ClaimServer, claim_channel},
    context::{TrafficContext, TrafficParts},
    handle::handle,
    options::TrafficOptions,
    refusal::refuse,
};
