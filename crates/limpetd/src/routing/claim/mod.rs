//! Claims, by which a request with an idempotency key runs at most once.
//!
//! Only the control thread calls the table. A traffic thread has a
//! [`ClaimPort`], whose calls the control thread answers with a
//! [`ClaimServer`]. `limpet_core::claim` decides what is written and when.

mod port;
mod server;

pub use self::{
    port::{ClaimFuture, ClaimGrant, ClaimPort, claim_channel},
    server::ClaimServer,
};
