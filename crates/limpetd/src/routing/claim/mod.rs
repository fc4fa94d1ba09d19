//! Claims: what makes a request with an idempotency key run at most once.
//!
//! The table lives on the control thread. A traffic thread holds a
//! [`ClaimPort`], the control thread serves it with a [`ClaimServer`]; what
//! is written and when is decided by `limpet_core::claim`.

mod port;
mod server;

pub use self::{
    port::{ClaimFuture, ClaimGrant, ClaimPort, claim_channel},
    server::ClaimServer,
};
