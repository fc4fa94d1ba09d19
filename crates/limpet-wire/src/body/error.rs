use limpet_core::{Error, ErrorKind, RunStatus};

/// The body of every refusal, over HTTP and between instances.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct ErrorBody {
    /// The kind of the closed list.
    pub error: ErrorKind,
    /// What was refused and why, in a sentence.
    pub message: String,
    /// Whether the work ran.
    pub run: RunStatus,
    /// How long to wait before a retry that may help, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

impl From<&Error> for ErrorBody {
    fn from(err: &Error) -> ErrorBody {
        let response = err.kind().response();
        ErrorBody {
            error: err.kind(),
            message: err.message().to_owned(),
            run: response.run,
            retry_after_ms: response.retry_after_ms,
        }
    }
}

impl From<ErrorBody> for Error {
    fn from(body: ErrorBody) -> Error {
        Error::new(body.error, body.message)
    }
}
