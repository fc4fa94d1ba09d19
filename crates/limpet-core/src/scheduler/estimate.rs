use rustc_hash::FxHashMap;

use super::slot::TeamSlot;
use crate::QueueName;

/// The buckets of a histogram, each a factor of the square root of 2 wide,
/// from 1/16 to 16 times what was declared.
const BUCKETS: usize = 17;
/// The bucket of what is as declared.
const DECLARED: usize = BUCKETS / 2;
/// How many observations the prior weighs: that declarations are right.
const PRIOR_WEIGHT: u32 = 4;
/// The observations after which older ones are halved.
const HALVE_AFTER: u32 = 256;

/// How far off the declarations of a team are in one queue.
///
/// A quantile over a few coarse buckets is used, not a mean: single run
/// times are wrong by up to ten times, and one of them must not move the
/// estimate. The estimate orders work and chooses what may fill a gap; it
/// never changes what a task is promised.
#[derive(Clone, Debug)]
struct Histogram {
    counts: [u32; BUCKETS],
}

impl Default for Histogram {
    fn default() -> Histogram {
        let mut counts = [0; BUCKETS];
        counts[DECLARED] = PRIOR_WEIGHT;
        Histogram { counts }
    }
}

impl Histogram {
    fn add(&mut self, ratio: f64) {
        let bucket =
            (ratio.max(1.0e-6).log2() * 2.0).round() + DECLARED as f64;
        let bucket = bucket.clamp(0.0, (BUCKETS - 1) as f64) as usize;
        self.counts[bucket] += 1;
        if self.counts.iter().sum::<u32>() > HALVE_AFTER {
            self.counts.iter_mut().for_each(|count| *count /= 2);
        }
    }

    fn quantile(&self, part: f64) -> f64 {
        let total = self.counts.iter().sum::<u32>();
        let wanted = (f64::from(total) * part).ceil().max(1.0) as u32;
        let mut seen = 0;
        let bucket = self.counts.iter().position(|count| {
            seen += count;
            seen >= wanted
        });
        let steps = bucket.unwrap_or(DECLARED) as f64 - DECLARED as f64;
        (steps / 2.0).exp2()
    }
}

/// Learns from ended tasks how long the next ones of a kind will run.
#[derive(Clone, Debug, Default)]
pub(super) struct RunTimeEstimates {
    by_kind: FxHashMap<(TeamSlot, QueueName), Histogram>,
    peak_use: FxHashMap<(TeamSlot, QueueName), Histogram>,
}

impl RunTimeEstimates {
    /// Takes in how long a task with a declared run time ran.
    pub(super) fn observe(
        &mut self,
        team: TeamSlot,
        queue: &QueueName,
        declared_ms: u64,
        ran_ms: u64,
    ) {
        let ratio = ran_ms as f64 / declared_ms.max(1) as f64;
        self.by_kind.entry((team, queue.clone())).or_default().add(ratio);
    }

    /// Returns the run time that this part of the tasks stays below.
    pub(super) fn estimate_ms(
        &self,
        team: TeamSlot,
        queue: &QueueName,
        declared_ms: u64,
        part: f64,
    ) -> u64 {
        let ratio = self
            .by_kind
            .get(&(team, queue.clone()))
            .map_or(1.0, |histogram| histogram.quantile(part));
        (declared_ms as f64 * ratio) as u64
    }

    /// Takes in which part of its declared size a task was seen to use.
    pub(super) fn observe_use(
        &mut self,
        team: TeamSlot,
        queue: &QueueName,
        part: f64,
    ) {
        self.peak_use.entry((team, queue.clone())).or_default().add(part);
    }

    /// Returns the part of the declared size that nine of ten tasks stay
    /// below, where any use was reported.
    pub(super) fn use_part(
        &self,
        team: TeamSlot,
        queue: &QueueName,
    ) -> Option<f64> {
        let histogram = self.peak_use.get(&(team, queue.clone()))?;
        Some(histogram.quantile(0.9))
    }
}
