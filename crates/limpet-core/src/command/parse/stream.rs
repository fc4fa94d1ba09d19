use std::str::FromStr;

use winnow::{
    Parser, Result, combinator::eof, error::EmptyError, stream::Stateful,
    token::any,
};

use super::{
    super::token::{Token, TokenKind},
    trace::Trace,
};

/// The tokens that are left, and the trace of what was tried.
pub(super) type Tokens<'t> = Stateful<&'t [Token], &'t Trace>;

/// The result of one parser; the reason of a failure stands in the trace.
pub(super) type Parsed<T> = Result<T, EmptyError>;

/// Fails here because something else was expected.
pub(super) fn refuse<T>(input: &Tokens<'_>, expected: &str) -> Parsed<T> {
    input.state.expect(input.input.len(), expected);
    Err(EmptyError)
}

/// Succeeds at the end of the command.
pub(super) fn end(input: &mut Tokens<'_>) -> Parsed<()> {
    eof.void().parse_next(input)
}

/// Takes a token that `read` makes something of.
pub(super) fn take<T>(
    input: &mut Tokens<'_>,
    expected: &str,
    read: impl Fn(&TokenKind) -> Option<T>,
) -> Parsed<T> {
    let left = input.input.len();
    input.state.look();
    let found = any.verify_map(|token: Token| read(&token.kind));
    let result: Parsed<T> = { found }.parse_next(input);
    if result.is_err() {
        input.state.expect(left, expected);
    }
    result
}

/// Takes this word of the language.
pub(super) fn keyword<'t>(
    word: &'static str,
) -> impl FnMut(&mut Tokens<'t>) -> Parsed<()> {
    move |input| one_of_words(input, &[word]).map(|_| ())
}

/// Takes one of these words of the language.
pub(super) fn one_of_words(
    input: &mut Tokens<'_>,
    words: &[&'static str],
) -> Parsed<&'static str> {
    known_word(input, words, |kind| match kind {
        TokenKind::Word(found) => Some(found),
        TokenKind::Quoted(_) | TokenKind::Sign(_) => None,
    })
}

/// Takes one of these values, with quotes or without.
pub(super) fn one_of_values(
    input: &mut Tokens<'_>,
    words: &[&'static str],
) -> Parsed<&'static str> {
    known_word(input, words, |kind| match kind {
        TokenKind::Word(found) | TokenKind::Quoted(found) => Some(found),
        TokenKind::Sign(_) => None,
    })
}

fn known_word(
    input: &mut Tokens<'_>,
    words: &[&'static str],
    read: fn(&TokenKind) -> Option<&String>,
) -> Parsed<&'static str> {
    let left = input.input.len();
    input.state.look();
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

/// Takes this sign.
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

/// Takes a text, with quotes or as one word.
pub(super) fn text(input: &mut Tokens<'_>, expected: &str) -> Parsed<String> {
    take(input, expected, |kind| match kind {
        TokenKind::Word(text) | TokenKind::Quoted(text) => Some(text.clone()),
        TokenKind::Sign(_) => None,
    })
}

/// Takes a name or number that reads as a `T`.
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

/// Takes `true` or `false`, or the everyday words for them.
pub(super) fn flag(input: &mut Tokens<'_>) -> Parsed<bool> {
    let word = one_of_words(input, &["true", "false", "yes", "no"])?;
    Ok(matches!(word, "true" | "yes"))
}
