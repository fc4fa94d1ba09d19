//! What each role costs, by size, and at the size of letter 1's target.
//!
//! Every value is measured on a real daemon at three sizes. A straight line
//! through them gives the slope and the value at the target, which is held
//! against the budget. `docs/CAPACITY.md` argues what the lines mean.

mod instance;
mod owner;
mod sample;
mod slope;
mod target;

use self::slope::Slope;
use crate::{options::BenchOptions, record::Record};

/// The name of the bench in its records.
const BENCH: &str = "capacity";

/// Measures every role and extrapolates it.
///
/// # Errors
///
/// The daemon's binary is missing, doesn't start or refuses a call that the
/// bench needs.
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

/// Returns the records of one metric: each point, the slope, and the value
/// at the size of the target, with its budget where there is one.
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
    let slope = Slope::fit(points);
    let mut records: Vec<_> = points
        .iter()
        .map(|&(x, y)| record(metric, y, unit).along(x, x_unit))
        .collect();
    let per = format!("{unit} per {}", x_unit.trim_end_matches('s'));
    records.push(record(&format!("{metric}_slope"), slope.slope, &per));
    let name = format!("{metric}_at_{at}");
    let value = record(&name, slope.at(at), unit);
    records.push(match budget {
        Some(budget) => value.at_most(budget),
        None => value,
    });
    records
}
