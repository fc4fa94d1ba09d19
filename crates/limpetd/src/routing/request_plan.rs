use actix_http::{Method, RequestHead};
use limpet_core::{ServiceName, TeamName, TimeMs, routing::Deadline};

/// The team of requests that came without a key, as logs show it.
const OPEN_TEAM: &str = "-";

/// One request as its attempts see it.
pub(crate) struct RequestPlan<'a> {
    /// What the caller sent before the body.
    pub(crate) head: &'a RequestHead,
    /// The service that it is for.
    pub(crate) service: &'a ServiceName,
    /// The team that it is accepted for, where it came with a key.
    pub(crate) team: Option<&'a TeamName>,
    /// The team's weight.
    pub(crate) weight: u32,
    /// The path and query for the runner.
    pub(crate) path: &'a str,
    /// Its number at this thread.
    pub(crate) number: u64,
    /// When it arrived.
    pub(crate) arrived_at: TimeMs,
    /// When its answer is due.
    pub(crate) deadline: Deadline,
    /// Whether the whole answer is due then, and not only its start.
    pub(crate) whole_by_deadline: bool,
    /// Whether it may run more than once.
    pub(crate) idempotent: bool,
}

impl RequestPlan<'_> {
    /// Returns the name under which the request waits and is logged.
    pub(crate) fn team_name(&self) -> &str {
        self.team.map_or(OPEN_TEAM, TeamName::as_str)
    }
}

/// Says whether a method is idempotent by its definition.
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
