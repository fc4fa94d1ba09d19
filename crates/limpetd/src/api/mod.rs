//! The HTTP interface: jobs, commands and requests to services.
//!
//! For a job or command, a traffic thread reads the whole request, verifies
//! its key against the published view and passes it to the control thread.
//! Requests to services are handled on the traffic thread alone.

mod body;
mod context;
mod credential;
mod dispatch;
mod server;

pub use self::{context::ApiContext, server::build_server};
