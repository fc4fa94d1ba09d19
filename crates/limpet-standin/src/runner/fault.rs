use std::{fmt, str::FromStr};

use eyre::{Report, eyre};

/// How a stand-in runner misbehaves.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub enum RunnerFault {
    /// Answers correctly and in time.
    #[default]
    None,
    /// Answers this many milliseconds late.
    Late(u64),
    /// Holds a request until the next one arrives, and sends each the other's
    /// answer.
    OutOfOrder,
    /// Sends each answer twice.
    Twice,
    /// Closes the connection before the end of an answer with a content
    /// length.
    CutShort,
    /// Closes the connection after a chunk of an answer in chunks.
    CutAtChunk,
    /// Sends a content length beyond the answer's end and keeps the connection
    /// open.
    WrongLength,
    /// Sends the answer a byte at a time, with pauses.
    Trickle,
    /// Refuses every request with an answer that tells it did not run.
    Refuse,
    /// Runs requests and never answers.
    Hang,
    /// Runs each request for ten times as long.
    Slow,
    /// Answers with status 500 after the run time.
    Fail,
    /// Finishes the requests in flight, refuses new ones, and tells in its
    /// answers that it is leaving.
    Leaving,
}

/// The names of the faults on the command line and over HTTP. Each name of a
/// fault with a value stands for the value given here.
const NAMES: &[(&str, RunnerFault)] = &[
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
        let name = NAMES.iter().find(|(_, fault)| same(fault));
        f.write_str(name.map_or("none", |(name, _)| name))
    }
}

impl FromStr for RunnerFault {
    type Err = Report;

    fn from_str(text: &str) -> Result<RunnerFault, Report> {
        let found = NAMES.iter().find(|(name, _)| *name == text.trim());
        found.map(|(_, fault)| *fault).ok_or_else(|| {
            let names: Vec<&str> =
                NAMES.iter().map(|(name, _)| *name).collect();
            eyre!("fault `{text}` is unknown: expected {}", names.join(", "))
        })
    }
}
