/// What a refusal says about the work that was asked for.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Run {
    /// The work certainly did not run and will not.
    NotRun,
    /// The work certainly ran.
    Ran,
    /// Nobody can tell yet.
    Unknown,
}

impl Run {
    /// Returns the word that stands in an answer.
    pub const fn as_str(self) -> &'static str {
        match self {
            Run::NotRun => "not_run",
            Run::Ran => "ran",
            Run::Unknown => "unknown",
        }
    }
}

/// One row of the table from an error kind to what the caller is told.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Answer {
    /// The word for programs.
    pub word: &'static str,
    /// The HTTP status.
    pub http_status: u16,
    /// Whether the work ran.
    pub run: Run,
    /// How long to wait before a retry that may help, in milliseconds;
    /// `None` where the same request would meet the same answer.
    pub retry_after_ms: Option<u64>,
}
