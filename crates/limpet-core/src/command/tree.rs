use std::{fmt, str::FromStr};

use super::{Change, Show, Subject, SyntaxError, parse};

/// One command of the operators' language.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Ask for a table.
    Show(Show),
    /// Ask for the reasons of something.
    Why(Subject),
    /// Change something.
    Change(Change),
}

impl Command {
    /// Parses a text, and counts how often a parser looked at a token.
    ///
    /// The count stands for the time that a parse takes and is the same on
    /// every machine, so that a test can bound it.
    pub fn parse_counted(text: &str) -> (Result<Command, SyntaxError>, usize) {
        parse::parse_counted(text)
    }

    /// Returns the change, where the command is one.
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
