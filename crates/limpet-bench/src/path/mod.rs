//! The complete path of jobs and requests through one real daemon.

mod accept;
mod cell;
mod route;

use crate::{options::BenchOptions, record::Record};

/// The name of the bench in its records.
const BENCH: &str = "path";

/// Measures the acceptance of jobs, the start of tasks and the routing of
/// requests.
///
/// # Errors
///
/// The daemon's binary is missing, the daemon doesn't start, or it refuses a
/// call that the benchmark needs.
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
