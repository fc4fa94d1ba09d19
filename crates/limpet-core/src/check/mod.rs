//! Checkers of the invariants that must always hold, for tests and benches.
//!
//! A checker gets what can be observed from outside the component under test
//! and keeps a small reference model of its own, so that a fault in the
//! component can't hide itself. Each checker has a test which shows that it
//! detects a violation.

mod at_most_once;
mod complete_answer;
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
mod whole_gang;
mod withdrawn_key;
mod worker_capacity;

pub use self::{
    at_most_once::AtMostOnceCheck,
    complete_answer::CompleteAnswerCheck,
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
    whole_gang::WholeGangCheck,
    withdrawn_key::WithdrawnKeyCheck,
    worker_capacity::WorkerCapacityCheck,
};
