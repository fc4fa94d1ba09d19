//! How long a cell takes to recover, and to bring a change in force.

mod in_force;
mod takeover;
mod upkeep;

use eyre::Result;

use crate::{options::BenchOptions, record::Record};

/// The name of the bench.
const BENCH: &str = "recovery";
/// The data centres of the seven instances.
const SEVEN: [&str; 7] =
    ["athens", "patras", "volos", "athens", "patras", "volos", "athens"];

/// Runs every case.
///
/// # Errors
///
/// A daemon could not be started or broke off.
pub fn run(options: &BenchOptions) -> Result<Vec<Record>> {
    let system = actix_rt::System::new();
    let mut records = Vec::new();
    if options.includes(upkeep::CASE) {
        records.extend(system.block_on(upkeep::measure(options))?);
    }
    for case in in_force::CASES {
        if options.includes(case.name) {
            let measured = in_force::measure(options, case);
            records.extend(system.block_on(measured)?);
        }
    }
    if options.includes(takeover::CASE) {
        records.extend(system.block_on(takeover::measure(options))?);
    }
    Ok(records)
}

/// Returns the records of a set of times: the median, the 99th percentile
/// and the longest, which alone has a bound.
fn summarize(case: &str, mut times_ms: Vec<f64>, most_ms: f64) -> Vec<Record> {
    times_ms.sort_by(f64::total_cmp);
    let count = times_ms.len();
    let at = |part: f64| {
        let index = (part * count as f64).ceil() as usize;
        times_ms.get(index.clamp(1, count.max(1)) - 1).copied()
    };
    let record = |metric, value| Record::new(BENCH, case, metric, value, "ms");
    let nothing = f64::INFINITY;
    vec![
        Record::new(BENCH, case, "samples", count as f64, "times"),
        record("p50", at(0.5).unwrap_or(nothing)),
        record("p99", at(0.99).unwrap_or(nothing)),
        record("worst", at(1.0).unwrap_or(nothing)).at_most(most_ms),
    ]
}
