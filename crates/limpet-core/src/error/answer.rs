/// What a refusal says about the work that was asked for.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RunStatus {
    /// The work certainly did not run and will not.
    NotRun,
    /// The work certainly ran.
    Ran,
    /// Nobody can tell yet.
    Unknown,
}

impl RunStatus {
    /// Returns the word that stands in an answer.
    pub const fn as_str(self) -> &'static str {
        match self {
            RunStatus::NotRun => "not_run",
            RunStatus::Ran => "ran",
            RunStatus::Unknown => "unknown",
        }
    }
}

/// One row of the table from an error kind to what the caller is told.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ErrorResponse {
    /// The word for programs.
    pub code: &'static str,
    /// The HTTP status.
    pub http_status: u16,
    /// Whether the work ran.
    pub run: RunStatus,
    /// How long to wait before a retry that may help, in milliseconds;
    /// `None` where the same request would meet the same answer.
    pub retry_after_ms: Option<u64>,
}
