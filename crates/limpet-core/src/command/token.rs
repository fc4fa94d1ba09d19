use std::fmt;

use winnow::{
    LocatingSlice, ModalResult, Parser,
    ascii::multispace0,
    combinator::{alt, delimited, preceded, repeat, terminated},
    stream::Location,
    token::{any, none_of, one_of, take_while},
};

use super::SyntaxError;

type Input<'a> = LocatingSlice<&'a str>;

/// A token of a command: a word, a quoted text or a sign.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct Token {
    /// The kind and content of the token.
    pub(super) kind: TokenKind,
    /// The offset of its first byte in the command.
    pub(super) offset: usize,
}

/// The kind and content of a token.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum TokenKind {
    /// A word, name or number without quotes.
    Word(String),
    /// A text in double quotes, without the quotes and escapes.
    Quoted(String),
    /// A sign of one or two characters, such as `<=`.
    Sign(&'static str),
}

impl fmt::Display for Token {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.kind {
            TokenKind::Word(word) => f.write_str(word),
            TokenKind::Quoted(text) => write!(f, "\"{text}\""),
            TokenKind::Sign(sign) => f.write_str(sign),
        }
    }
}

/// Splits a command into tokens.
///
/// # Errors
///
/// Returns a [`SyntaxError`] at the first character that starts no token, or
/// at a quote that isn't closed.
pub(super) fn tokenize(text: &str) -> Result<Vec<Token>, SyntaxError> {
    let mut input = LocatingSlice::new(text);
    let tokens: ModalResult<Vec<Token>> =
        preceded(multispace0, repeat(0.., terminated(token, multispace0)))
            .parse_next(&mut input);
    let rest: &str = input.as_ref();
    match tokens {
        Ok(tokens) if rest.is_empty() => Ok(tokens),
        _ => Err(unexpected(text, input.current_token_start())),
    }
}

/// Returns the error for the text at a byte offset, where no token starts or
/// a quote isn't closed.
fn unexpected(text: &str, offset: usize) -> SyntaxError {
    let rest = text.get(offset..).unwrap_or_default();
    let expected = if rest.starts_with('"') {
        "a closing quote"
    } else {
        "a word, a number, a quoted text or a sign"
    };
    SyntaxError {
        column: column_of(text, offset),
        found: rest.chars().take_while(|c| !c.is_whitespace()).collect(),
        expected: vec![expected.to_owned()],
        suggestion: None,
    }
}

/// Returns the column of a byte offset, counted in characters from 1.
pub(super) fn column_of(text: &str, offset: usize) -> usize {
    text.get(..offset).map_or(text.len(), |start| start.chars().count()) + 1
}

fn token(input: &mut Input<'_>) -> ModalResult<Token> {
    let offset = input.current_token_start();
    let kind = alt((quoted, sign, word)).parse_next(input)?;
    Ok(Token { kind, offset })
}

fn word(input: &mut Input<'_>) -> ModalResult<TokenKind> {
    let allowed = |c: char| {
        c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.' | '/')
    };
    take_while(1.., allowed)
        .map(|word: &str| TokenKind::Word(word.to_owned()))
        .parse_next(input)
}

fn quoted(input: &mut Input<'_>) -> ModalResult<TokenKind> {
    let escaped = preceded('\\', any);
    let plain = none_of(['"', '\\']);
    delimited('"', repeat(0.., alt((plain, escaped))), '"')
        .map(TokenKind::Quoted)
        .parse_next(input)
}

fn sign(input: &mut Input<'_>) -> ModalResult<TokenKind> {
    let two = alt(("!=".value("!="), "<=".value("<="), ">=".value(">=")));
    let one = one_of(['=', '<', '>', '(', ')', ',']).map(|c| match c {
        '=' => "=",
        '<' => "<",
        '>' => ">",
        '(' => "(",
        ')' => ")",
        _ => ",",
    });
    alt((two, one)).map(TokenKind::Sign).parse_next(input)
}
