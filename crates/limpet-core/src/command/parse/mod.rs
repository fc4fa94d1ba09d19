//! The parser of the command language, built from winnow's combinators over a
//! list of tokens.
//!
//! The alternatives of the grammar differ in their first words, so each token
//! is read a bounded number of times and parsing takes time linear in the
//! length of the text.

mod change;
mod condition;
mod show;
mod stream;
mod trace;
mod why;

use winnow::{
    Parser,
    combinator::{alt, opt},
};

use self::{
    stream::{Parsed, Tokens, end, refuse},
    trace::Trace,
};
use super::{Command, SyntaxError, token};

/// The longest command, in bytes.
const TEXT_LIMIT_BYTES: usize = 64 * 1024;

/// Parses a text as one command.
pub(super) fn parse(text: &str) -> Result<Command, SyntaxError> {
    parse_counted(text).0
}

/// Parses a text as one command and counts how often a parser read a token,
/// which has to be linear in the length of the text.
pub(super) fn parse_counted(
    text: &str,
) -> (Result<Command, SyntaxError>, usize) {
    let trace = Trace::default();
    (parse_traced(text, &trace), trace.reads.get())
}

fn parse_traced(text: &str, trace: &Trace) -> Result<Command, SyntaxError> {
    if text.len() > TEXT_LIMIT_BYTES {
        return Err(SyntaxError {
            column: 1,
            found: format!("{} bytes", text.len()),
            expected: vec![format!("at most {TEXT_LIMIT_BYTES} bytes")],
            suggestion: None,
        });
    }
    let tokens = token::tokenize(text)?;
    let mut input = Tokens { input: &tokens, state: trace };
    match complete_command(&mut input) {
        Ok(command) => Ok(command),
        Err(_) => Err(trace.to_error(text, &tokens)),
    }
}

/// Parses a command that extends to the end of the text.
fn complete_command(input: &mut Tokens<'_>) -> Parsed<Command> {
    let command = alt((
        show::show.map(Command::Show),
        why::why.map(Command::Why),
        change::change.map(Command::Change),
    ))
    .parse_next(input)?;
    match opt(end).parse_next(input)? {
        Some(()) => Ok(command),
        None => refuse(input, "the end of the command"),
    }
}
