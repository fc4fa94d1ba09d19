use std::fmt;

use crate::{Error, ErrorKind};

/// The most words that an error lists as expected.
const EXPECTED_LIMIT: usize = 14;
/// The most characters of the text that an error repeats.
const FOUND_LIMIT: usize = 40;

/// A text that is no command, with where and why.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SyntaxError {
    /// The column of the first character that doesn't belong, from 1.
    pub column: usize,
    /// What stands there; empty at the end of the text.
    pub found: String,
    /// What could have stood there.
    pub expected: Vec<String>,
    /// The word that was probably meant.
    pub suggestion: Option<String>,
}

impl fmt::Display for SyntaxError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "column {}: ", self.column)?;
        if self.found.is_empty() {
            f.write_str("the command ends here")?;
        } else {
            let found: String = self.found.chars().take(FOUND_LIMIT).collect();
            let rest = if found == self.found { "" } else { "…" };
            write!(f, "found `{found}{rest}`")?;
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
