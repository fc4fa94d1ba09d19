use std::collections::BTreeMap;

use crate::{Record, workload::WorkClass};

/// The longest that urgent work may wait.
const URGENT_WAIT_S: f64 = 1.0;
/// How far a team may be from its share, in points of the cell.
const SHARE_DEVIATION_POINTS: f64 = 5.0;
/// The part of the fractional bound that has to be committed.
const PACKING_PERCENT: f64 = 90.0;

/// What a replay observed.
#[derive(Debug, Default)]
pub(super) struct Metrics {
    /// Seconds until each task's first start, or until the replay's end.
    pub(super) waits_s: BTreeMap<WorkClass, Vec<f64>>,
    /// The same, of interactive work that arrived at the peak.
    pub(super) peak_waits_s: Vec<f64>,
    /// Points of the cell between each team with demand and its share, one
    /// minute after the cell filled and later.
    pub(super) deviations_points: Vec<f64>,
    /// Percent of the fractional bound that was committed.
    pub(super) packing_percent: Vec<f64>,
    pub(super) lost_core_s: f64,
    pub(super) done_core_s: f64,
    pub(super) starts: u64,
    pub(super) violations: Vec<String>,
}

impl Metrics {
    /// Returns the 99th percentile of interactive waits at the peak.
    pub(super) fn peak_wait_s(&self) -> f64 {
        percentile(&self.peak_waits_s, 0.99)
    }

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
        let longest = percentile(urgent.map_or(&[], Vec::as_slice), 1.0);
        let urgent = record("urgent_wait_max", longest, "s");
        let worst = percentile(&self.deviations_points, 1.0);
        let deviation = record("share_deviation_max", worst, "points");
        let packing = record("packing_mean", mean(&self.packing_percent), "%");
        if bounded {
            records.push(urgent.at_most(URGENT_WAIT_S));
            records.push(deviation.at_most(SHARE_DEVIATION_POINTS));
            records.push(packing.at_least(PACKING_PERCENT));
        } else {
            records.extend([urgent, deviation, packing]);
        }
        let p99 = percentile(&self.deviations_points, 0.99);
        let mean_deviation = mean(&self.deviations_points);
        let broken = self.violations.len() as f64;
        records.extend([
            record("share_deviation_p99", p99, "points"),
            record("share_deviation_mean", mean_deviation, "points"),
            record("peak_wait_p99", self.peak_wait_s(), "s"),
            record("lost_work", self.lost_core_s, "core s"),
            record("done_work", self.done_core_s, "core s"),
            record("starts", self.starts as f64, "starts"),
            record("broken_promises", broken, "").at_most(0.0),
        ]);
        records
    }
}

fn percentile(values: &[f64], part: f64) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    let rank = (sorted.len() as f64 * part).ceil() as usize;
    sorted.get(rank.saturating_sub(1)).copied().unwrap_or(0.0)
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}
