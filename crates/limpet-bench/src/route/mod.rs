//! Requests to services: what the proxy adds, and how slots are shared.

mod added;
mod proxy;
mod sharing;

use crate::{BenchOptions, Record};

/// Measures both.
///
/// # Errors
///
/// The proxy or its runners can't be started.
pub fn run(options: &BenchOptions) -> eyre::Result<Vec<Record>> {
    let mut records = sharing::measure(options);
    records.extend(added::measure(options)?);
    Ok(records)
}
