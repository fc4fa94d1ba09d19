//! The evidence that tasks of one image slow those of another, and the
//! decision whether they do.

use limpet_core::TimeMs;
use rustc_hash::FxHashSet;

use super::level::Spread;
use crate::{
    key::{JobKey, TaskKey},
    worker::WorkerSlot,
};

/// How long evidence is used. Images change with their releases.
pub(super) const EVIDENCE_KEPT_MS: u64 = 600_000;
/// The samples of a pair that are kept, the latest ones. By the standard error
/// below, 48 of them show a slowdown to 0.75 if each deviates by 0.35.
const MAX_SAMPLES: usize = 48;
/// The least weight of a new pace in a sample.
const MIN_PACE_WEIGHT: f64 = 1.0 / 8.0;

/// The samples that are needed to find a pair interfering.
const MIN_SAMPLES: usize = 8;
/// The workers and jobs that these have to come from: one slow worker or one
/// uneven job shows up in many runs.
const MIN_WORKERS: usize = 3;
const MIN_JOBS: usize = 3;
/// The paces without the other image that are needed.
const MIN_WITHOUT: u32 = 16;
/// Paces of one run resemble each other, so this many count as one sample.
const PACES_PER_SAMPLE: f64 = 4.0;
/// The slowdown that is worth keeping apart for.
const SLOW_PACE: f64 = 0.85;
/// The pace above which a pair doesn't interfere any more.
const RESTORED_PACE: f64 = 0.92;
/// How many standard errors the difference has to exceed. The table is looked
/// at some thousand times an hour; at 5.0 chance exceeds it once in 3 million.
const MIN_ERRORS: f64 = 5.0;
/// The standard deviation of a sample, at least: paces are measured from whole
/// percent.
const MIN_DEVIATION: f64 = 0.1;
/// The samples after which a pair that looks slow explains the paces beside
/// it, so that others are not blamed for them.
const MIN_EXPLAINING: usize = 4;
/// The latest samples that decide whether a pair still interferes.
const RECENT_SAMPLES: usize = 12;

/// What a pace is compared with besides its step.
#[derive(Clone, Copy, Debug)]
pub(super) enum Source {
    /// The usual pace of runs on this worker.
    Worker(WorkerSlot),
    /// The usual pace of this serving task.
    Run(TaskKey),
}

/// The mean pace of runs of one job beside tasks of another on a worker. Each
/// combination of them is independent of the others.
#[derive(Clone, Copy, Debug)]
struct Sample {
    worker: WorkerSlot,
    job: JobKey,
    beside: JobKey,
    count: u32,
    mean: f64,
    at: TimeMs,
}

/// The paces of one image's runs beside tasks of another image and without,
/// as logarithms.
#[derive(Clone, Debug, Default)]
pub(super) struct Pair {
    samples: Vec<Sample>,
    without: Spread,
    /// The mean of the samples.
    mean: f64,
    /// When it was found interfering, if it is.
    detected_at: Option<TimeMs>,
    /// When it was last seen.
    pub(super) seen_at: TimeMs,
}

/// What an evaluation of a pair has changed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Verdict {
    Unchanged,
    Detected,
    Restored,
}

impl Pair {
    pub(super) fn is_interfering(&self) -> bool {
        self.detected_at.is_some()
    }

    /// Returns the logarithm of the pace beside against that without.
    fn effect(&self) -> f64 {
        self.mean - self.without.mean
    }

    /// Returns the pace beside the other image, where 1.0 is that without.
    pub(super) fn pace(&self) -> f64 {
        self.effect().exp()
    }

    pub(super) fn sample_count(&self) -> usize {
        self.samples.len()
    }

    /// Returns whether what is known so far suggests a slowdown.
    pub(super) fn looks_slow(&self) -> bool {
        self.samples.len() >= MIN_EXPLAINING && self.pace() <= SLOW_PACE
    }

    /// Returns whether what is known so far shows no slowdown.
    pub(super) fn looks_unaffected(&self) -> bool {
        self.samples.len() >= MIN_SAMPLES
            && self.without.count >= MIN_WITHOUT
            && self.pace() > RESTORED_PACE
    }

    /// Adds a pace without the other image.
    pub(super) fn add_without(&mut self, value: f64) {
        self.without.add(value);
    }

    /// Adds a pace of a run of `job` beside a task of the job `beside`, and
    /// decides anew.
    pub(super) fn add_beside(
        &mut self,
        worker: WorkerSlot,
        job: JobKey,
        beside: JobKey,
        value: f64,
        now: TimeMs,
    ) -> Verdict {
        self.seen_at = now;
        let is_same = |sample: &&mut Sample| {
            (sample.worker, sample.job, sample.beside) == (worker, job, beside)
        };
        match self.samples.iter_mut().find(is_same) {
            Some(sample) => {
                sample.count = sample.count.saturating_add(1);
                let weight =
                    (1.0 / f64::from(sample.count)).max(MIN_PACE_WEIGHT);
                sample.mean += (value - sample.mean) * weight;
                sample.at = now;
            }
            None => self.samples.push(Sample {
                worker,
                job,
                beside,
                count: 1,
                mean: value,
                at: now,
            }),
        }
        self.samples.retain(|s| now.ms_since(s.at) < EVIDENCE_KEPT_MS);
        if self.samples.len() > MAX_SAMPLES {
            let oldest = (0..self.samples.len())
                .min_by_key(|index| self.samples[*index].at);
            self.samples.swap_remove(oldest.unwrap_or(0));
        }
        self.mean = mean(self.samples.iter());
        self.decide(now)
    }

    fn decide(&mut self, now: TimeMs) -> Verdict {
        match self.detected_at {
            None if self.is_clearly_slow() => {
                self.detected_at = Some(now);
                Verdict::Detected
            }
            Some(at) if self.is_restored_since(at) => {
                *self = Pair { seen_at: now, ..Pair::default() };
                Verdict::Restored
            }
            _ => Verdict::Unchanged,
        }
    }

    /// Returns whether enough independent samples show a clear slowdown.
    fn is_clearly_slow(&self) -> bool {
        if self.samples.len() < MIN_SAMPLES
            || self.without.count < MIN_WITHOUT
            || self.pace() > SLOW_PACE
        {
            return false;
        }
        let workers: FxHashSet<_> =
            self.samples.iter().map(|sample| sample.worker).collect();
        let jobs: FxHashSet<_> =
            self.samples.iter().map(|sample| sample.job).collect();
        let others: FxHashSet<_> =
            self.samples.iter().map(|sample| sample.beside).collect();
        if workers.len() < MIN_WORKERS
            || jobs.len().max(others.len()) < MIN_JOBS
        {
            return false;
        }
        let squares = self.samples.iter().map(|sample| {
            let difference = sample.mean - self.mean;
            difference * difference
        });
        let count = self.samples.len() as f64;
        // Few samples may be close to each other by chance: the noise of the
        // paces without the other image counts as well.
        let variance = (squares.sum::<f64>() / (count - 1.0))
            .max(self.without.variance)
            .max(MIN_DEVIATION * MIN_DEVIATION);
        let without = self.without.effective_count() / PACES_PER_SAMPLE;
        let error = (variance * (1.0 / count + 1.0 / without)).sqrt();
        -self.effect() > MIN_ERRORS * error
    }

    /// Returns whether the latest samples show no slowdown any more. Judged
    /// only by samples from after the pair was found interfering.
    fn is_restored_since(&self, detected_at: TimeMs) -> bool {
        let mut later: Vec<&Sample> = self
            .samples
            .iter()
            .filter(|sample| sample.at > detected_at)
            .collect();
        if later.len() < MIN_SAMPLES {
            return false;
        }
        later.sort_by_key(|sample| std::cmp::Reverse(sample.at));
        later.truncate(RECENT_SAMPLES);
        let effect = mean(later.into_iter()) - self.without.mean;
        effect.exp() > RESTORED_PACE
    }
}

fn mean<'a>(samples: impl ExactSizeIterator<Item = &'a Sample>) -> f64 {
    let count = samples.len().max(1) as f64;
    samples.map(|sample| sample.mean).sum::<f64>() / count
}
