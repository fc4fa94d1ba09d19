use std::{hint::black_box, time::Instant};

use limpet_core::command::Command;

use super::BENCH;
use crate::{options::BenchOptions, record::Record};

/// The name of the case.
pub(super) const CASE: &str = "parse a command";
/// The lengths of the commands, in bytes.
const LENGTHS_BYTES: [usize; 3] = [4 * 1024, 16 * 1024, 63 * 1024];
/// The number of times that each command is parsed. The shortest time counts.
const RUNS: u32 = 5;

/// Parses commands of increasing length and measures the time per byte, which
/// stays the same if parsing takes linear time.
pub(super) fn measure(options: &BenchOptions) -> Vec<Record> {
    let lengths = LENGTHS_BYTES.iter();
    lengths
        .filter(|_| options.size > 0.0)
        .map(|&length_bytes| {
            let text = long_command(length_bytes);
            let time_ns = shortest_ns(&text) / text.len() as f64;
            Record::new(BENCH, CASE, "time_per_byte", time_ns, "ns")
                .along(length_bytes as f64, "bytes")
        })
        .collect()
}

/// Returns a valid command of about this length.
fn long_command(length_bytes: usize) -> String {
    let mut text = "show jobs where job = 1".to_owned();
    while text.len() + 20 < length_bytes {
        text.push_str(" or team = \"rosters\"");
    }
    text
}

/// Returns the shortest time of several runs of the parser.
fn shortest_ns(text: &str) -> f64 {
    let run = |_| {
        let start = Instant::now();
        black_box(text.parse::<Command>().is_ok());
        start.elapsed().as_nanos() as f64
    };
    (0..RUNS).map(run).fold(f64::INFINITY, f64::min)
}
