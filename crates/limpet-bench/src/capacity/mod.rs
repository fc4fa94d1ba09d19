//! The resources that an instance uses, as the owner of a shard and without
//! one, by the size of the cell and at the target size.
//!
//! Every value is measured on a real daemon at three sizes. A straight line
//! through them gives the slope and an estimate at the target size, which
//! must be within the budget. `docs/CAPACITY.md` discusses how far the
//! estimates hold.

mod instance;
mod owner;
mod sample;
mod slope;
mod target;

use self::slope::Line;
use crate::{options::BenchOptions, record::Record};

/// The name of the bench in its records.
const BENCH: &str = "capacity";

/// Measures both roles and estimates their cost at the target size.
///
/// # Errors
///
/// The daemon's binary is missing, the daemon doesn't start, or it refuses a
/// call that the benchmark needs.
pub fn run(options: &BenchOptions) -> eyre::Result<Vec<Record>> {
    actix_rt::System::new().block_on(async {
        let mut records = Vec::new();
        if options.includes(owner::CASE) {
            records.extend(owner::measure(options).await?);
        }
        if options.includes(instance::CASE) {
            records.extend(instance::measure(options).await?);
        }
        Ok(records)
    })
}

/// Returns the records of one metric: each point, the slope, and the
/// estimate at the target size with its budget. `points` holds pairs of size
/// and value, `target` the target size and the budget, if there is one.
fn metric_records(
    case: &str,
    metric: &str,
    unit: &str,
    x_unit: &str,
    points: &[(f64, f64)],
    target: (f64, Option<f64>),
) -> Vec<Record> {
    let (at, budget) = target;
    let record = |metric: &str, value, unit: &str| {
        Record::new(BENCH, case, metric, value, unit)
    };
    let line = Line::fit(points);
    let mut records: Vec<_> = points
        .iter()
        .map(|&(x, y)| record(metric, y, unit).along(x, x_unit))
        .collect();
    let slope_unit = format!("{unit} per {}", x_unit.trim_end_matches('s'));
    records.push(record(&format!("{metric}_slope"), line.slope, &slope_unit));
    let name = format!("{metric}_at_{at}");
    let estimate = record(&name, line.at(at), unit);
    records.push(match budget {
        Some(budget) => estimate.at_most(budget),
        None => estimate,
    });
    records
}
