use std::collections::BTreeMap;

use crate::{Record, workload::WorkClass};

/// The longest time that an urgent task may wait for its first start.
const MAX_URGENT_WAIT_S: f64 = 1.0;
/// The largest allowed difference between a team's fraction of the cell and
/// its fair fraction, in percentage points.
const MAX_SHARE_DEVIATION_POINTS: f64 = 5.0;
/// The smallest allowed mean percentage of the cell's most committed resource
/// while the tasks ask for more than the cell's capacity.
const MIN_PACKING_PERCENT: f64 = 90.0;

/// What a replay measured.
#[derive(Debug, Default)]
pub(super) struct Metrics {
    /// The time from each task's arrival to its first start, or to the end of
    /// the replay if it never started.
    pub(super) waits_s: BTreeMap<WorkClass, Vec<f64>>,
    /// The same for interactive tasks that arrived during the peak.
    pub(super) peak_waits_s: Vec<f64>,
    /// The difference between a team's fraction of the cell and its fair
    /// fraction, in percentage points, for each team with waiting tasks.
    /// Sampled once the cell has been full for a minute.
    pub(super) deviations_points: Vec<f64>,
    /// The committed percentage of the resource of the cell that is committed
    /// most. Sampled as above.
    pub(super) packing_percent: Vec<f64>,
    /// Work of runs that were stopped or lost with their worker, in seconds
    /// of one core.
    pub(super) lost_core_s: f64,
    /// Work of tasks that ran to their end, in seconds of one core.
    pub(super) done_core_s: f64,
    /// The number of task starts.
    pub(super) starts: u64,
    /// The violated invariants of the scheduler.
    pub(super) violations: Vec<String>,
}

impl Metrics {
    /// Returns the 99th percentile of the waits of interactive tasks that
    /// arrived during the peak.
    pub(super) fn peak_wait_s(&self) -> f64 {
        percentile(&self.peak_waits_s, 0.99)
    }

    /// Returns the records of a case, with the bounds of the targets if
    /// `bounded`.
    pub(super) fn records(&self, case: &str, bounded: bool) -> Vec<Record> {
        let record = |metric: &str, value: f64, unit: &str| {
            Record::new("policy", case, metric, value, unit)
        };
        let mut records = Vec::new();
        for class in WorkClass::ALL {
            let waits =
                self.waits_s.get(&class).map_or(&[][..], Vec::as_slice);
            let name = class.as_str();
            let p50 = percentile(waits, 0.5);
            let p99 = percentile(waits, 0.99);
            records.push(record(&format!("{name}_wait_p50"), p50, "s"));
            records.push(record(&format!("{name}_wait_p99"), p99, "s"));
        }
        let urgent = self.waits_s.get(&WorkClass::Urgent);
        let longest_s = percentile(urgent.map_or(&[], Vec::as_slice), 1.0);
        let urgent = record("urgent_wait_max", longest_s, "s");
        let largest_deviation = percentile(&self.deviations_points, 1.0);
        let deviation =
            record("share_deviation_max", largest_deviation, "points");
        let packing = record("packing_mean", mean(&self.packing_percent), "%");
        if bounded {
            records.push(urgent.at_most(MAX_URGENT_WAIT_S));
            records.push(deviation.at_most(MAX_SHARE_DEVIATION_POINTS));
            records.push(packing.at_least(MIN_PACKING_PERCENT));
        } else {
            records.extend([urgent, deviation, packing]);
        }
        let p99 = percentile(&self.deviations_points, 0.99);
        let mean_deviation = mean(&self.deviations_points);
        let violation_count = self.violations.len() as f64;
        records.extend([
            record("share_deviation_p99", p99, "points"),
            record("share_deviation_mean", mean_deviation, "points"),
            record("peak_wait_p99", self.peak_wait_s(), "s"),
            record("lost_work", self.lost_core_s, "core s"),
            record("done_work", self.done_core_s, "core s"),
            record("starts", self.starts as f64, "starts"),
            record("broken_promises", violation_count, "").at_most(0.0),
        ]);
        records
    }
}

/// Returns the smallest value that is at least as large as `fraction` of
/// the values, or 0 if there are none.
fn percentile(values: &[f64], fraction: f64) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    let rank = (sorted.len() as f64 * fraction).ceil() as usize;
    sorted.get(rank.saturating_sub(1)).copied().unwrap_or(0.0)
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}
