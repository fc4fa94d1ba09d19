use std::fmt;

/// A promise that was broken, and by what.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Violation {
    /// The short name of the promise.
    pub promise: &'static str,
    /// What was observed, with the values that contradict it.
    pub detail: String,
}

impl Violation {
    /// Returns a violation of `promise`.
    pub fn new(promise: &'static str, detail: impl Into<String>) -> Violation {
        Violation { promise, detail: detail.into() }
    }
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} broken: {}", self.promise, self.detail)
    }
}

impl std::error::Error for Violation {}
