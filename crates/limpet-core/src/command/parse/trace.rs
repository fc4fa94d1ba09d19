use std::cell::{Cell, RefCell};

use super::super::{
    SyntaxError, suggest,
    token::{Token, TokenKind, column_of},
};

/// A record of the failures of parsers, from which a syntax error is made.
///
/// Each alternative of the grammar fails at some position. The error reports
/// what was expected at the furthest of them, because the alternative that
/// matched most of the text is probably the intended one.
#[derive(Debug, Default)]
pub(super) struct Trace {
    furthest: RefCell<FurthestFailure>,
    /// The current nesting depth of parentheses and `not`s.
    pub(super) depth: Cell<u32>,
    /// How often a parser has read a token.
    pub(super) reads: Cell<usize>,
}

/// The failures at the furthest position that any parser has reached.
#[derive(Debug, Default)]
struct FurthestFailure {
    /// The number of tokens left at this position, plus one; 0 before the
    /// first failure.
    left_plus_one: usize,
    /// What was expected here, without duplicates.
    expected: Vec<String>,
    /// The words of the language among what was expected.
    words: Vec<&'static str>,
}

impl FurthestFailure {
    /// Returns whether a failure with this many tokens left is at the furthest
    /// position so far, after dropping the failures before it.
    fn advance_to(&mut self, left: usize) -> bool {
        if self.left_plus_one != 0 && left + 1 > self.left_plus_one {
            return false;
        }
        if left + 1 != self.left_plus_one {
            *self = FurthestFailure {
                left_plus_one: left + 1,
                ..FurthestFailure::default()
            };
        }
        true
    }

    fn expect(&mut self, expected: String) {
        if !self.expected.contains(&expected) {
            self.expected.push(expected);
        }
    }
}

impl Trace {
    /// Counts one read of a token.
    pub(super) fn count_read(&self) {
        self.reads.set(self.reads.get() + 1);
    }

    /// Records a failure with `left` tokens left, where what `expected`
    /// describes would have matched.
    pub(super) fn expect(&self, left: usize, expected: &str) {
        let mut furthest = self.furthest.borrow_mut();
        if furthest.advance_to(left) {
            furthest.expect(expected.to_owned());
        }
    }

    /// Records a failure with `left` tokens left, where a word of the language
    /// would have matched.
    pub(super) fn expect_word(&self, left: usize, word: &'static str) {
        let mut furthest = self.furthest.borrow_mut();
        if furthest.advance_to(left) {
            furthest.expect(word.to_owned());
            furthest.words.push(word);
        }
    }

    /// Returns the syntax error for a text whose parse recorded this trace.
    pub(super) fn to_error(
        &self,
        text: &str,
        tokens: &[Token],
    ) -> SyntaxError {
        let furthest = self.furthest.borrow();
        let left = furthest.left_plus_one.saturating_sub(1);
        let found = tokens.len().checked_sub(left).and_then(|i| tokens.get(i));
        SyntaxError {
            column: column_of(
                text,
                found.map_or(text.trim_end().len(), |token| token.offset),
            ),
            found: found.map(Token::to_string).unwrap_or_default(),
            expected: furthest.expected.clone(),
            suggestion: found
                .and_then(|token| token_word(token))
                .and_then(|word| suggest(word, furthest.words.iter().copied()))
                .map(str::to_owned),
        }
    }
}

/// Returns the word of a token; `None` for a quoted text or a sign.
fn token_word(token: &Token) -> Option<&str> {
    match &token.kind {
        TokenKind::Word(word) | TokenKind::Quoted(word) => Some(word),
        TokenKind::Sign(_) => None,
    }
}
