//! One checker for each promise that must always hold, used by tests and
//! benches alike.
//!
//! A checker is fed what was observed from outside the part under test and
//! keeps its own small reference model, so that a fault in the part can't
//! hide itself. Each one is shown able to fail by a test of its own.

mod at_most_once;
mod configuration_check;
mod graceful_shutdown;
mod job_retention;
mod leaving_endpoint;
mod not_run;
mod placement_checks;
mod placement_model;
mod single_placement;
mod task_at_most_once;
mod team_limit;
mod violation;
mod whole_answer;
mod whole_gang;
mod withdrawn_key;
mod worker_capacity;

pub use self::{
    at_most_once::AtMostOnceCheck,
    configuration_check::ConfigurationCheck,
    graceful_shutdown::{GracefulShutdownCheck, RequestEnd},
    job_retention::JobRetentionCheck,
    leaving_endpoint::LeavingEndpointCheck,
    not_run::NotRunCheck,
    placement_checks::PlacementChecks,
    single_placement::SinglePlacementCheck,
    task_at_most_once::TaskAtMostOnceCheck,
    team_limit::TeamLimitCheck,
    violation::Violation,
    whole_answer::WholeAnswerCheck,
    whole_gang::WholeGangCheck,
    withdrawn_key::WithdrawnKeyCheck,
    worker_capacity::WorkerCapacityCheck,
};
