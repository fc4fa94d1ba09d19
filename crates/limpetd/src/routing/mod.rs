//! Requests to services: from a caller's connection to a runner's and back.
//!
//! The decisions are `limpet_core::routing`'s; this module owns sockets,
//! bodies and timers. `docs/ROUTING.md` argues both.

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
mod options;
mod pool;
mod refusal;
mod request_hold;
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
