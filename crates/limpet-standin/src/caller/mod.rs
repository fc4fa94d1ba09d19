//! A caller that takes an answer for whole only where its framing says so.
//!
//! `awc` reports an answer that was cut at the edge of a read as a whole
//! one, so a test that calls through it can't see a cut answer. This caller
//! reads with the same codec and tells the two apart.

mod connection;
mod message;

pub use self::{
    connection::CallerConnection,
    message::{CallerAnswer, CallerError, CallerRequest},
};
