//! The latency of operators' queries, and their effect on other work.

mod killed_owner;
mod language;
mod large_table;
mod table_parts;

use crate::{options::BenchOptions, record::Record};

/// The name of the bench in its records.
const BENCH: &str = "queries";

/// Runs every case.
///
/// # Errors
///
/// A daemon can't be started or stops answering.
pub fn run(options: &BenchOptions) -> eyre::Result<Vec<Record>> {
    let mut records = Vec::new();
    if options.includes(language::CASE) {
        records.extend(language::measure(options));
    }
    if options.includes(table_parts::CASE) {
        records.extend(table_parts::measure(options)?);
    }
    if options.includes(large_table::CASE) {
        let system = actix_rt::System::new();
        records.extend(system.block_on(large_table::measure(options))?);
    }
    if options.includes(killed_owner::CASE) {
        let system = actix_rt::System::new();
        records.extend(system.block_on(killed_owner::measure(options))?);
    }
    Ok(records)
}
