use std::fmt;

use crate::{Error, ErrorKind};

/// The most alternatives that an error message lists as expected.
const EXPECTED_LIMIT: usize = 14;
/// The most characters of the command that an error message repeats.
const FOUND_LIMIT_CHARS: usize = 40;

/// The error for a text that isn't a valid command: where it stops being one
/// and what was expected there.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SyntaxError {
    /// The column of the first unexpected character, counted in characters
    /// from 1.
    pub column: usize,
    /// The unexpected word or sign; empty at the end of the text.
    pub found: String,
    /// What would have been valid there.
    pub expected: Vec<String>,
    /// The valid word that is most similar to the one found, where there is
    /// one.
    pub suggestion: Option<String>,
}

impl fmt::Display for SyntaxError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "column {}: ", self.column)?;
        if self.found.is_empty() {
            f.write_str("the command ends here")?;
        } else {
            let found: String =
                self.found.chars().take(FOUND_LIMIT_CHARS).collect();
            let ellipsis = if found == self.found { "" } else { "…" };
            write!(f, "found `{found}{ellipsis}`")?;
        }
        let listed = &self.expected[..self.expected.len().min(EXPECTED_LIMIT)];
        if !listed.is_empty() {
            write!(f, ", expected {}", join_alternatives(listed))?;
        }
        match &self.suggestion {
            None => Ok(()),
            Some(word) => write!(f, "; did you mean `{word}`?"),
        }
    }
}

/// Joins words as in `a, b or c`.
fn join_alternatives(words: &[String]) -> String {
    match words {
        [] => String::new(),
        [word] => word.clone(),
        [first @ .., last] => format!("{} or {last}", first.join(", ")),
    }
}

impl std::error::Error for SyntaxError {}

impl From<&SyntaxError> for Error {
    fn from(err: &SyntaxError) -> Error {
        Error::new(ErrorKind::InvalidRequest, err.to_string())
    }
}
