//! The HTTP interface: jobs, commands and requests to services.
//!
//! A traffic thread reads a request whole, verifies its key against the
//! published view and hands it to the control thread; requests to services
//! never leave the traffic thread.

mod body;
mod context;
mod credential;
mod dispatch;
mod server;

pub use self::{context::ApiContext, server::build_server};
