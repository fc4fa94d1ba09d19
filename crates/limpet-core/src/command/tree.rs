//! The root of the syntax tree of the command language.

use std::{fmt, str::FromStr};

use super::{Change, Show, Subject, SyntaxError, parse};

/// A command of the operators' language.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Query a table.
    Show(Show),
    /// Query the reasons for the state of an object.
    Why(Subject),
    /// Change the cell.
    Change(Change),
}

impl Command {
    /// Parses a text and counts how often a parser read a token.
    ///
    /// The count is a measure of the time that parsing takes. It is the same
    /// on every machine, so a test can check an upper bound.
    pub fn parse_counted(text: &str) -> (Result<Command, SyntaxError>, usize) {
        parse::parse_counted(text)
    }

    /// Returns the change; `None` where the command is a query.
    pub const fn as_change(&self) -> Option<&Change> {
        match self {
            Command::Change(change) => Some(change),
            Command::Show(_) | Command::Why(_) => None,
        }
    }
}

impl FromStr for Command {
    type Err = SyntaxError;

    fn from_str(text: &str) -> Result<Command, SyntaxError> {
        parse::parse(text)
    }
}

impl fmt::Display for Command {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Command::Show(show) => show.fmt(f),
            Command::Why(subject) => write!(f, "why {subject}"),
            Command::Change(change) => change.fmt(f),
        }
    }
}
