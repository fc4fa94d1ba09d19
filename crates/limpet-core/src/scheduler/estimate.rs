use rustc_hash::FxHashMap;

use super::slot::TeamSlot;
use crate::QueueName;

/// The number of buckets of a histogram. Each is a factor of the square root
/// of 2 wide; they cover 1/16 to 16 times the declared value.
const BUCKET_COUNT: usize = 17;
/// The bucket of values equal to the declared one.
const DECLARED_BUCKET: usize = BUCKET_COUNT / 2;
/// The weight, in observations, of the prior that declarations are right.
const PRIOR_WEIGHT: u32 = 4;
/// The total count beyond which all counts are halved, so that older
/// observations lose weight.
const HALVE_AFTER: u32 = 256;

/// The ratios of observed to declared values for one team and queue.
///
/// Estimates are quantiles over a few coarse buckets, not means, because the
/// declared run time of a single task may be wrong by a factor of ten and
/// must not move the estimate. Estimates only rank work and select backfill;
/// they never change the resources that a task is given.
#[derive(Clone, Debug)]
struct Histogram {
    counts: [u32; BUCKET_COUNT],
}

impl Default for Histogram {
    fn default() -> Histogram {
        let mut counts = [0; BUCKET_COUNT];
        counts[DECLARED_BUCKET] = PRIOR_WEIGHT;
        Histogram { counts }
    }
}

impl Histogram {
    /// Counts an observed ratio.
    fn add(&mut self, ratio: f64) {
        let bucket =
            (ratio.max(1.0e-6).log2() * 2.0).round() + DECLARED_BUCKET as f64;
        let bucket = bucket.clamp(0.0, (BUCKET_COUNT - 1) as f64) as usize;
        self.counts[bucket] += 1;
        if self.counts.iter().sum::<u32>() > HALVE_AFTER {
            self.counts.iter_mut().for_each(|count| *count /= 2);
        }
    }

    /// Returns the ratio that a fraction `quantile` of the observations does
    /// not exceed, to the precision of a bucket.
    fn quantile(&self, quantile: f64) -> f64 {
        let total = self.counts.iter().sum::<u32>();
        let rank = (f64::from(total) * quantile).ceil().max(1.0) as u32;
        let mut seen = 0;
        let bucket = self.counts.iter().position(|count| {
            seen += count;
            seen >= rank
        });
        let steps =
            bucket.unwrap_or(DECLARED_BUCKET) as f64 - DECLARED_BUCKET as f64;
        (steps / 2.0).exp2()
    }
}

/// Estimates of run times and resource use, learned from past tasks of the
/// same team and queue.
#[derive(Clone, Debug, Default)]
pub(super) struct Estimates {
    /// The ratios of observed to declared run time.
    run_time_ratios: FxHashMap<(TeamSlot, QueueName), Histogram>,
    /// The ratios of reported use to declared size.
    usage_ratios: FxHashMap<(TeamSlot, QueueName), Histogram>,
}

impl Estimates {
    /// Records how long a task with a declared run time ran.
    pub(super) fn observe_run_time(
        &mut self,
        team: TeamSlot,
        queue: &QueueName,
        declared_ms: u64,
        ran_ms: u64,
    ) {
        let ratio = ran_ms as f64 / declared_ms.max(1) as f64;
        self.run_time_ratios
            .entry((team, queue.clone()))
            .or_default()
            .add(ratio);
    }

    /// Returns the run time that a fraction `quantile` of the tasks with this
    /// declared run time does not exceed, in milliseconds.
    pub(super) fn estimate_ms(
        &self,
        team: TeamSlot,
        queue: &QueueName,
        declared_ms: u64,
        quantile: f64,
    ) -> u64 {
        let ratio = self
            .run_time_ratios
            .get(&(team, queue.clone()))
            .map_or(1.0, |histogram| histogram.quantile(quantile));
        (declared_ms as f64 * ratio) as u64
    }

    /// Records the ratio of a task's use to its declared size.
    pub(super) fn observe_usage(
        &mut self,
        team: TeamSlot,
        queue: &QueueName,
        ratio: f64,
    ) {
        self.usage_ratios.entry((team, queue.clone())).or_default().add(ratio);
    }

    /// Returns the 90th percentile of the ratio of use to declared size, or
    /// `None` if no use was reported.
    pub(super) fn usage_ratio_p90(
        &self,
        team: TeamSlot,
        queue: &QueueName,
    ) -> Option<f64> {
        let histogram = self.usage_ratios.get(&(team, queue.clone()))?;
        Some(histogram.quantile(0.9))
    }
}
