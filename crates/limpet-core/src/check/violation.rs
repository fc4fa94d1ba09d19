use std::fmt;

/// A violation of an invariant that a checker found.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Violation {
    /// The short name of the invariant.
    pub invariant: &'static str,
    /// The observation that contradicts the invariant, with its values.
    pub detail: String,
}

impl Violation {
    /// Returns a violation of `invariant`.
    pub fn new(
        invariant: &'static str,
        detail: impl Into<String>,
    ) -> Violation {
        Violation { invariant, detail: detail.into() }
    }
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} broken: {}", self.invariant, self.detail)
    }
}

impl std::error::Error for Violation {}
