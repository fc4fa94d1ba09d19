//! Requests to services: from a caller's connection to a runner's and back.
//!
//! The decisions are `limpet_core::routing`'s; this module owns sockets,
//! bodies and timers. `docs/ROUTING.md` argues both.

mod answer_stream;
mod attempt;
mod body_source;
mod context;
mod handle;
mod headers;
mod options;
mod pool;
mod refusal;
mod runner_connection;
mod target;

pub use self::{
    context::TrafficContext, handle::handle, options::TrafficOptions,
    refusal::refuse,
};
