//! An HTTP/1.1 client that detects truncated answers.
//!
//! `awc` reports an answer as complete if its connection closes between two
//! reads, so a test that uses it can't detect a truncated answer. This client
//! reads with the same codec and accepts an answer as complete only if its
//! framing says so.

mod connection;
mod message;

pub use self::{
    connection::CallerConnection,
    message::{CallerAnswer, CallerError, CallerRequest},
};
