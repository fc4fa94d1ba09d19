//! The adapter for a platform that is reached over HTTP.
//!
//! The interface has a path for each closure of a port and JSON bodies, as
//! defined in [`message`]. `limpet-standin platform` serves it.

mod call;
pub mod message;
mod options;
mod platform;

pub use self::{options::HttpOptions, platform::platform};
