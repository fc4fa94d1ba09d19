//! What can be refused or fail, and what each refusal says to a caller.
//!
//! `docs/OPERATIONS.md` lists what an operator does about each kind.

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

/// A refusal or failure: one kind of the closed list and the context in
/// which it came up.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Error {
    kind: ErrorKind,
    message: String,
}

impl Error {
    /// Returns an error of `kind` whose message names the bad value and the
    /// allowed range.
    pub fn new(kind: ErrorKind, message: impl Into<String>) -> Error {
        Error { kind, message: message.into() }
    }

    /// Returns the kind, which decides the answer.
    pub fn kind(&self) -> ErrorKind {
        self.kind
    }

    /// Returns the message without the word of the kind.
    pub fn message(&self) -> &str {
        &self.message
    }

    /// Puts what was being done in front of the message.
    pub fn context(self, doing: impl fmt::Display) -> Error {
        Error {
            kind: self.kind,
            message: format!("{doing}: {}", self.message),
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
    /// Puts what was being done in front of the error's message.
    ///
    /// # Errors
    ///
    /// The error that was there before, with the same kind.
    fn context(self, doing: impl fmt::Display) -> Result<T>;
}

impl<T> ResultExt<T> for Result<T> {
    fn context(self, doing: impl fmt::Display) -> Result<T> {
        self.map_err(|err| err.context(doing))
    }
}
