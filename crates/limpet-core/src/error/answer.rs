/// Whether the work of a refused or failed request ran.
///
/// A request that isn't idempotent may be repeated safely only after
/// [`RunStatus::NotRun`].
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RunStatus {
    /// The work did not run and won't run later.
    NotRun,
    /// The work ran.
    Ran,
    /// The work may have run.
    ///
    /// The system can't tell, for instance because a reply was lost.
    Unknown,
}

impl RunStatus {
    /// Returns the name used in response bodies, headers and logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            RunStatus::NotRun => "not_run",
            RunStatus::Ran => "ran",
            RunStatus::Unknown => "unknown",
        }
    }
}

/// The response that a caller gets to a request with an error of one kind.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ErrorResponse {
    /// The machine-readable name of the kind, in snake case.
    pub code: &'static str,
    /// The HTTP status code.
    pub http_status: u16,
    /// Whether the work ran.
    pub run: RunStatus,
    /// How long to wait before a retry, in milliseconds.
    ///
    /// `None` where a retry can't help because the same request would be
    /// refused again, or isn't safe because the work may have run.
    pub retry_after_ms: Option<u64>,
}
