//! One checker for each promise that must always hold, used by tests and
//! benches alike.
//!
//! A checker is fed what was observed from outside the part under test and
//! keeps its own small reference model, so that a fault in the part can't
//! hide itself. Each one is shown able to fail by a test of its own.

mod at_most_once;
mod committed;
mod configuration_check;
mod gang_whole;
mod graceful_shutdown;
mod leaving_endpoint;
mod not_run;
mod nothing_forgotten;
mod one_place;
mod placement;
mod placements;
mod task_at_most_once;
mod team_limit;
mod violation;
mod whole_answer;
mod withdrawn_key;

pub use self::{
    at_most_once::AtMostOnceCheck,
    committed::CommittedWithinHeld,
    configuration_check::ConfigurationCheck,
    gang_whole::GangWhole,
    graceful_shutdown::{GracefulShutdownCheck, RequestEnd},
    leaving_endpoint::LeavingEndpointCheck,
    not_run::NotRunCheck,
    nothing_forgotten::NothingForgotten,
    one_place::OnePlace,
    placement::PlacementChecks,
    task_at_most_once::TaskAtMostOnce,
    team_limit::TeamLimit,
    violation::Violation,
    whole_answer::WholeAnswerCheck,
    withdrawn_key::WithdrawnKeyCheck,
};
