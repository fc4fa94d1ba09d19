//! A runner of a service that can fail in every way that a router must
//! bear, and that counts what it really ran.
//!
//! It answers any path. `?ms=` asks for a run time and `?bytes=` for an
//! answer of that length; the answer repeats the caller's `x-request-id`, so
//! that an answer which reached the wrong caller shows.

mod execution_log;
mod fault;
mod options;
mod respond;
mod server;
mod service;

pub use self::{
    execution_log::{Execution, ExecutionLog},
    fault::RunnerFault,
    options::{OverloadPolicy, RunnerOptions},
    respond::expected_body,
    server::{RunnerHandle, RunnerServer},
};
