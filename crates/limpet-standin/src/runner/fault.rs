use std::{fmt, str::FromStr};

use eyre::{Report, eyre};

/// What a stand-in runner does wrong.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub enum RunnerFault {
    /// Nothing.
    #[default]
    None,
    /// Answers, but only after so many milliseconds.
    Late(u64),
    /// Holds one request until the next one comes, and gives each the
    /// other's answer.
    OutOfOrder,
    /// Sends each answer twice.
    Twice,
    /// Closes the connection in the middle of an answer with a length.
    CutShort,
    /// Closes the connection between two chunks of an answer.
    CutAtChunk,
    /// Names a length longer than the answer and keeps the connection.
    WrongLength,
    /// Sends a byte at a time with a pause between.
    Trickle,
    /// Refuses everything and says that it did not run.
    Refuse,
    /// Takes requests and never answers.
    Hang,
    /// Takes ten times as long.
    Slow,
    /// Answers with a fault of its own, at once.
    Fail,
    /// Finishes what it has, refuses the rest and says that it leaves.
    Leaving,
}

const WORDS: &[(&str, RunnerFault)] = &[
    ("none", RunnerFault::None),
    ("late", RunnerFault::Late(1_000)),
    ("out_of_order", RunnerFault::OutOfOrder),
    ("twice", RunnerFault::Twice),
    ("cut_short", RunnerFault::CutShort),
    ("cut_at_chunk", RunnerFault::CutAtChunk),
    ("wrong_length", RunnerFault::WrongLength),
    ("trickle", RunnerFault::Trickle),
    ("refuse", RunnerFault::Refuse),
    ("hang", RunnerFault::Hang),
    ("slow", RunnerFault::Slow),
    ("fail", RunnerFault::Fail),
    ("leaving", RunnerFault::Leaving),
];

impl fmt::Display for RunnerFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let same = |fault: &RunnerFault| {
            std::mem::discriminant(fault) == std::mem::discriminant(self)
        };
        let word = WORDS.iter().find(|(_, fault)| same(fault));
        f.write_str(word.map_or("none", |(word, _)| word))
    }
}

impl FromStr for RunnerFault {
    type Err = Report;

    fn from_str(text: &str) -> Result<RunnerFault, Report> {
        let found = WORDS.iter().find(|(word, _)| *word == text.trim());
        found.map(|(_, fault)| *fault).ok_or_else(|| {
            let words: Vec<&str> =
                WORDS.iter().map(|(word, _)| *word).collect();
            eyre!("fault `{text}` is none of {}", words.join(", "))
        })
    }
}
