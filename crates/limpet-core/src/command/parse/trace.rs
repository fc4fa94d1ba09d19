use std::cell::{Cell, RefCell};

use super::super::{
    SyntaxError, suggest,
    token::{Token, TokenKind, column_of},
};

/// What the parsers tried, so that an error can say what would have fitted
/// at the furthest place that any of them reached.
///
/// The alternatives of a grammar each fail on their own; the one that came
/// furthest is the one that the writer meant.
#[derive(Debug, Default)]
pub(super) struct Trace {
    furthest: RefCell<Furthest>,
    /// How many parentheses and `not`s are open.
    pub(super) depth: Cell<u32>,
    /// How often any parser looked at a token.
    pub(super) looks: Cell<usize>,
}

#[derive(Debug, Default)]
struct Furthest {
    /// The tokens that were left, plus one; 0 where nothing failed yet.
    left: usize,
    expected: Vec<String>,
    words: Vec<&'static str>,
}

impl Furthest {
    /// Makes room for a failure with this many tokens left, and says whether
    /// it is worth recording.
    fn reach(&mut self, left: usize) -> bool {
        if self.left != 0 && left + 1 > self.left {
            return false;
        }
        if left + 1 != self.left {
            *self = Furthest { left: left + 1, ..Furthest::default() };
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
    /// Counts one look at a token.
    pub(super) fn look(&self) {
        self.looks.set(self.looks.get() + 1);
    }

    /// Records that something described would have fitted.
    pub(super) fn expect(&self, left: usize, expected: &str) {
        let mut furthest = self.furthest.borrow_mut();
        if furthest.reach(left) {
            furthest.expect(expected.to_owned());
        }
    }

    /// Records that a word of the language would have fitted.
    pub(super) fn expect_word(&self, left: usize, word: &'static str) {
        let mut furthest = self.furthest.borrow_mut();
        if furthest.reach(left) {
            furthest.expect(word.to_owned());
            furthest.words.push(word);
        }
    }

    /// Returns the error for a text that was parsed under this trace.
    pub(super) fn to_error(
        &self,
        text: &str,
        tokens: &[Token],
    ) -> SyntaxError {
        let furthest = self.furthest.borrow();
        let left = furthest.left.saturating_sub(1);
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

fn token_word(token: &Token) -> Option<&str> {
    match &token.kind {
        TokenKind::Word(word) | TokenKind::Quoted(word) => Some(word),
        TokenKind::Sign(_) => None,
    }
}
