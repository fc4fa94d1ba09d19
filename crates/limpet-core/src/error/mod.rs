//! The error type of the system, its kinds, and the response that callers get
//! for each kind.
//!
//! `docs/OPERATIONS.md` lists every kind with its remedy.

mod answer;
mod kind;
mod remedy;

use std::fmt;

pub use self::{
    answer::{ErrorResponse, RunStatus},
    kind::ErrorKind,
};

/// A result whose error is an [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// A refusal or failure: its kind, and a message with the details.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Error {
    kind: ErrorKind,
    message: String,
}

impl Error {
    /// Creates an error.
    ///
    /// The message names the offending value and, where there is one, the
    /// allowed range.
    pub fn new(kind: ErrorKind, message: impl Into<String>) -> Error {
        Error { kind, message: message.into() }
    }

    /// Returns the kind, which determines the [`ErrorResponse`].
    pub fn kind(&self) -> ErrorKind {
        self.kind
    }

    /// Returns the message, without the code of the kind.
    pub fn message(&self) -> &str {
        &self.message
    }

    /// Prefixes the message with what was being done.
    pub fn context(self, action: impl fmt::Display) -> Error {
        Error {
            kind: self.kind,
            message: format!("{action}: {}", self.message),
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.kind.response().code, self.message)
    }
}

impl std::error::Error for Error {}

/// Adds context to the error of a [`Result`].
pub trait ResultExt<T> {
    /// Prefixes the error's message with what was being done.
    ///
    /// # Errors
    ///
    /// Returns the error of `self`, with the same kind and a longer message.
    fn context(self, action: impl fmt::Display) -> Result<T>;
}

impl<T> ResultExt<T> for Result<T> {
    fn context(self, action: impl fmt::Display) -> Result<T> {
        self.map_err(|err| err.context(action))
    }
}
