use limpet_core::{Error, ErrorKind, RunStatus};

/// The body of every error response, over HTTP and between instances.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct ErrorBody {
    /// The kind of error, from a fixed list.
    pub error: ErrorKind,
    /// What was refused and why, for people.
    pub message: String,
    /// Whether the work ran, as far as is known.
    pub run: RunStatus,
    /// How long to wait before a retry that may succeed, in milliseconds;
    /// absent if the same request would be refused again.
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
