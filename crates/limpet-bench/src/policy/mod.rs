//! What the placement policy is worth, replayed on a virtual clock beside
//! first-fit and beside itself with parts switched off.

mod metrics;
mod replay;
mod variant;

use self::{replay::Replay, variant::VARIANTS};
use crate::{
    BenchOptions, Record,
    workload::{Workload, association, koinonia, target},
};

/// Replays each workload with each variant of the policy.
///
/// # Errors
///
/// None at present; a broken promise is a record beyond its bound.
pub fn run(options: &BenchOptions) -> eyre::Result<Vec<Record>> {
    let mut records = Vec::new();
    for workload in [koinonia, association, target] {
        let workload = workload(options.seed);
        if options.includes(workload.name) {
            records.extend(compare(&workload));
        }
    }
    Ok(records)
}

/// Replays one workload with every variant. Bounds apply to the whole
/// policy only, which is the first.
fn compare(workload: &Workload) -> Vec<Record> {
    let mut records = Vec::new();
    let mut waits = Vec::new();
    for (index, variant) in VARIANTS.iter().enumerate() {
        let decide = (variant.decide)();
        let metrics = Replay::new(workload, decide).run();
        waits.push(metrics.peak_wait_s());
        let case = format!("{}.{}", workload.name, variant.name);
        records.extend(metrics.records(&case, index == 0));
    }
    if let (Some(ours), Some(first_fit)) = (waits.first(), waits.last()) {
        let case = format!("{}.policy", workload.name);
        let part = ours / first_fit.max(0.001);
        let record =
            Record::new("policy", &case, "peak_wait_over_first_fit", part, "");
        records.push(record.at_most(0.5));
    }
    records
}
