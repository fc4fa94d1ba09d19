//! The scheduler's placement policy compared with first-fit placement and
//! with variants of itself that lack one mechanism, by replaying generated
//! workloads on a virtual clock.

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
/// Never fails. Violated invariants of the scheduler are counted in a record
/// that misses its bound.
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

/// Replays one workload with every variant. The bounds apply only to the
/// complete policy, which is the first variant.
fn compare(workload: &Workload) -> Vec<Record> {
    let mut records = Vec::new();
    let mut waits_s = Vec::new();
    for (index, variant) in VARIANTS.iter().enumerate() {
        let decide = (variant.decide)();
        let metrics = Replay::new(workload, decide).run();
        waits_s.push(metrics.peak_wait_s());
        let case = format!("{}.{}", workload.name, variant.name);
        records.extend(metrics.records(&case, index == 0));
    }
    if let (Some(policy), Some(first_fit)) = (waits_s.first(), waits_s.last())
    {
        let case = format!("{}.policy", workload.name);
        let ratio = policy / first_fit.max(0.001);
        let record = Record::new(
            "policy",
            &case,
            "peak_wait_over_first_fit",
            ratio,
            "",
        );
        records.push(record.at_most(0.5));
    }
    records
}
