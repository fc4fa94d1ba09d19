//! Claims: what makes a request with an idempotency key run at most once.
//!
//! The table lives on the control thread. A traffic thread holds a
//! [`ClaimPort`], the control thread serves it with a [`ClaimServer`].

mod message;
mod port;
mod row;
mod server;

pub use self::{
    message::{
        ClaimAnswer, ClaimCompletion, ClaimRequest, StoredAnswer, StoredBody,
        StoredHeader,
    },
    port::{ClaimFuture, ClaimPort, claim_channel},
    server::ClaimServer,
};
