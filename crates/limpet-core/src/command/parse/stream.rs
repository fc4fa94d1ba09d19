use std::str::FromStr;

use winnow::{
    Parser, Result, combinator::eof, error::EmptyError, stream::Stateful,
    token::any,
};

use super::{
    super::token::{Token, TokenKind},
    trace::Trace,
};

/// The input of a parser: the tokens that are left, and the trace in which
/// failures are recorded.
pub(super) type Tokens<'t> = Stateful<&'t [Token], &'t Trace>;

/// The result of a parser. The reason for a failure is in the trace.
pub(super) type Parsed<T> = Result<T, EmptyError>;

/// Fails and records what was expected here.
pub(super) fn refuse<T>(input: &Tokens<'_>, expected: &str) -> Parsed<T> {
    input.state.expect(input.input.len(), expected);
    Err(EmptyError)
}

/// Matches the end of the command.
pub(super) fn end(input: &mut Tokens<'_>) -> Parsed<()> {
    eof.void().parse_next(input)
}

/// Parses one token, for which `read` has to return a value.
pub(super) fn take<T>(
    input: &mut Tokens<'_>,
    expected: &str,
    read: impl Fn(&TokenKind) -> Option<T>,
) -> Parsed<T> {
    let left = input.input.len();
    input.state.count_read();
    let matched = any.verify_map(|token: Token| read(&token.kind));
    let result: Parsed<T> = { matched }.parse_next(input);
    if result.is_err() {
        input.state.expect(left, expected);
    }
    result
}

/// Returns a parser of one word of the language.
pub(super) fn keyword<'t>(
    word: &'static str,
) -> impl FnMut(&mut Tokens<'t>) -> Parsed<()> {
    move |input| one_of_words(input, &[word]).map(|_| ())
}

/// Parses one of several words of the language.
pub(super) fn one_of_words(
    input: &mut Tokens<'_>,
    words: &[&'static str],
) -> Parsed<&'static str> {
    known_word(input, words, |kind| match kind {
        TokenKind::Word(found) => Some(found),
        TokenKind::Quoted(_) | TokenKind::Sign(_) => None,
    })
}

/// Parses one of several values, with or without quotes.
pub(super) fn one_of_values(
    input: &mut Tokens<'_>,
    words: &[&'static str],
) -> Parsed<&'static str> {
    known_word(input, words, |kind| match kind {
        TokenKind::Word(found) | TokenKind::Quoted(found) => Some(found),
        TokenKind::Sign(_) => None,
    })
}

/// Parses a token whose text, as `read` returns it, is one of `words`.
fn known_word(
    input: &mut Tokens<'_>,
    words: &[&'static str],
    read: fn(&TokenKind) -> Option<&String>,
) -> Parsed<&'static str> {
    let left = input.input.len();
    input.state.count_read();
    let find = |token: Token| {
        let found = read(&token.kind)?;
        words.iter().copied().find(|word| word == found)
    };
    let result: Parsed<&'static str> = any.verify_map(find).parse_next(input);
    if result.is_err() {
        words.iter().for_each(|word| input.state.expect_word(left, word));
    }
    result
}

/// Returns a parser of one sign.
pub(super) fn sign<'t>(
    sign: &'static str,
) -> impl FnMut(&mut Tokens<'t>) -> Parsed<()> {
    move |input| {
        take(input, &format!("`{sign}`"), |kind| match kind {
            TokenKind::Sign(found) if *found == sign => Some(()),
            _ => None,
        })
    }
}

/// Parses a text, in quotes or as one word.
pub(super) fn text(input: &mut Tokens<'_>, expected: &str) -> Parsed<String> {
    take(input, expected, |kind| match kind {
        TokenKind::Word(text) | TokenKind::Quoted(text) => Some(text.clone()),
        TokenKind::Sign(_) => None,
    })
}

/// Returns a parser of a word or quoted text that can be parsed as a `T`.
pub(super) fn parsed<'t, T: FromStr>(
    expected: &'static str,
) -> impl FnMut(&mut Tokens<'t>) -> Parsed<T> {
    move |input| {
        take(input, expected, |kind| match kind {
            TokenKind::Word(text) | TokenKind::Quoted(text) => {
                text.parse().ok()
            }
            TokenKind::Sign(_) => None,
        })
    }
}

/// Parses `true` or `yes`, or `false` or `no`.
pub(super) fn flag(input: &mut Tokens<'_>) -> Parsed<bool> {
    let word = one_of_words(input, &["true", "false", "yes", "no"])?;
    Ok(matches!(word, "true" | "yes"))
}
