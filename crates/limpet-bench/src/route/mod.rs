//! Requests to services: the latency that the proxy adds, and variants of
//! sharing runners' slots among instances.

mod added;
mod proxy;
mod sharing;

use crate::{BenchOptions, Record};

/// Replays the variants of slot sharing, then measures the latency that the
/// proxy adds.
///
/// # Errors
///
/// The proxy or its runners can't be started.
pub fn run(options: &BenchOptions) -> eyre::Result<Vec<Record>> {
    let mut records = sharing::measure(options);
    records.extend(added::measure(options)?);
    Ok(records)
}
