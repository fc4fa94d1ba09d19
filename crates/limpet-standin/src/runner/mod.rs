//! A stand-in for the runners of a service. It can be made to fail in the ways
//! that a router must tolerate, and it logs what it really ran.
//!
//! It answers any path. `?ms=` sets the run time of a request and `?bytes=`
//! the length of its answer. An answer to a request without a body repeats the
//! caller's `x-request-id`, so that a test detects an answer which reached the
//! wrong caller. A body is sent back as it is.

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
