//! The parameters of a request to a service.

use actix_http::{Method, RequestHead};
use limpet_core::{ServiceName, TeamName, TimeMs, routing::Deadline};

/// The team name, in logs and queues, of requests that have no team.
const NO_TEAM: &str = "-";

/// What the attempts of a request have in common.
pub(crate) struct RequestPlan<'a> {
    /// The head of the caller's request.
    pub(crate) head: &'a RequestHead,
    /// The service.
    pub(crate) service: &'a ServiceName,
    /// The team of the request's key, if it had one.
    pub(crate) team: Option<&'a TeamName>,
    /// The team's weight.
    pub(crate) weight: u32,
    /// The path and query of the request to the runner.
    pub(crate) path: &'a str,
    /// The number of the request at this thread.
    pub(crate) number: u64,
    /// When the request arrived.
    pub(crate) arrived_at: TimeMs,
    /// When the answer is due.
    pub(crate) deadline: Deadline,
    /// Whether the complete answer is due then, and not only its head.
    pub(crate) complete_by_deadline: bool,
    /// Whether the request may run more than once.
    pub(crate) idempotent: bool,
}

impl RequestPlan<'_> {
    /// Returns the team name under which the request is queued and logged.
    pub(crate) fn team_name(&self) -> &str {
        self.team.map_or(NO_TEAM, TeamName::as_str)
    }
}

/// Returns whether HTTP defines a method as idempotent.
pub(crate) fn is_idempotent(method: &Method) -> bool {
    matches!(
        *method,
        Method::GET
            | Method::HEAD
            | Method::OPTIONS
            | Method::TRACE
            | Method::PUT
            | Method::DELETE
    )
}
