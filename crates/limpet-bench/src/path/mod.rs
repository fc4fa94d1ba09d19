//! The whole path through one real daemon on the embedded platform.

mod accept;
mod cell;
mod route;

use crate::{options::BenchOptions, record::Record};

/// The name of the bench in its records.
const BENCH: &str = "path";

/// Measures accepted jobs, started tasks and routed requests.
///
/// # Errors
///
/// The daemon's binary is missing or doesn't start, or refuses a call that
/// the bench needs.
pub fn run(options: &BenchOptions) -> eyre::Result<Vec<Record>> {
    actix_rt::System::new().block_on(async {
        let mut records = Vec::new();
        for case in accept::CASES {
            if options.includes(case.name) {
                records.extend(accept::measure(case, options).await?);
            }
        }
        if options.includes(route::CASE) {
            records.extend(route::measure(options).await?);
        }
        Ok(records)
    })
}
