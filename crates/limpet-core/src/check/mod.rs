//! One checker for each promise that must always hold, used by tests and
//! benches alike.
//!
//! A checker is fed what was observed from outside the part under test and
//! keeps its own small reference model, so that a fault in the part can't
//! hide itself. Each one is shown able to fail by a test of its own.

mod at_most_once;
mod graceful_shutdown;
mod leaving_endpoint;
mod not_run;
mod violation;
mod whole_answer;

pub use self::{
    at_most_once::AtMostOnceCheck,
    graceful_shutdown::{GracefulShutdownCheck, RequestEnd},
    leaving_endpoint::LeavingEndpointCheck,
    not_run::NotRunCheck,
    violation::Violation,
    whole_answer::WholeAnswerCheck,
};
