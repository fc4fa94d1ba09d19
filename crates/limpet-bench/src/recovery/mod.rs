//! The time that a cell of seven instances takes to replace a killed owner
//! and to apply a change everywhere, and the traffic that it causes while
//! idle.

mod in_force;
mod takeover;
mod upkeep;

use eyre::Result;

use crate::{options::BenchOptions, record::Record};

/// The name of the bench in its records.
const BENCH: &str = "recovery";
/// The data centre of each of the seven instances.
const INSTANCE_DATA_CENTRES: [&str; 7] =
    ["athens", "patras", "volos", "athens", "patras", "volos", "athens"];

/// Runs every case.
///
/// # Errors
///
/// A daemon can't be started or stops answering, or a takeover or change
/// takes longer than its time limit.
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

/// Returns the records of a set of times: their number, the median, the 99th
/// percentile and the longest. Only the longest has a bound, `max_ms`.
/// Without times, the records are infinite and miss the bound.
fn summarize(case: &str, mut times_ms: Vec<f64>, max_ms: f64) -> Vec<Record> {
    times_ms.sort_by(f64::total_cmp);
    let count = times_ms.len();
    let quantile = |fraction: f64| {
        let rank = (fraction * count as f64).ceil() as usize;
        times_ms.get(rank.clamp(1, count.max(1)) - 1).copied()
    };
    let record = |metric, value| Record::new(BENCH, case, metric, value, "ms");
    let no_time = f64::INFINITY;
    vec![
        Record::new(BENCH, case, "samples", count as f64, "times"),
        record("p50", quantile(0.5).unwrap_or(no_time)),
        record("p99", quantile(0.99).unwrap_or(no_time)),
        record("worst", quantile(1.0).unwrap_or(no_time)).at_most(max_ms),
    ]
}
