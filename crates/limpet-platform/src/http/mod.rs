//! The adapter that reaches a platform over HTTP.
//!
//! The interface is that of `limpet-standin platform`: JSON bodies, a path
//! for each closure of a port. Another real platform takes another adapter.

mod call;
pub mod message;
mod options;
mod platform;

pub use self::{options::HttpOptions, platform::platform};
