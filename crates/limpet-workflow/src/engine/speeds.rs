//! The speed of workers, learnt from the runs of their tasks.
//!
//! The tasks of a step do the same work, so the durations of their runs on
//! different workers show how fast those workers are. Durations are compared
//! within a step only, as estimates are unreliable.
//! `docs/design/worker-speed.md` tells what was weighed.

use std::collections::BTreeMap;

use limpet_core::{Resources, TimeMs};
use rustc_hash::FxHashMap;

use super::{
    Engine, Moment,
    job::{Claim, Step},
    step_context::StepContext,
};
use crate::{
    key::{StepKey, TaskKey},
    worker::{Worker, WorkerSlot},
};

/// The ratio of the speeds of two neighbouring bands. Durations vary by some
/// 10% between equal workers, which leaves them in one band.
const BAND_RATIO: f64 = 1.25;
/// The fewest samples from which a worker gets a band.
const MIN_SAMPLES: u32 = 2;
/// The number of samples over which the average extends. It follows a worker
/// whose speed changes within as many runs.
const AVERAGED_SAMPLES: u32 = 24;
/// Speeds matter only if at least this share of the workers differs from the
/// median by [`MIN_DIFFERENCE`].
const DIFFERING_SHARE: f64 = 0.1;
/// The logarithm of the smallest ratio of speeds that counts as a difference.
const MIN_DIFFERENCE: f64 = 0.18;
/// The logarithm of the largest ratio between a sample and the average:
/// single runs take several times as long as their siblings.
const MAX_SURPRISE: f64 = 0.7;
/// The share of the cores of fast workers that is left free for the most
/// urgent steps.
const FAST_HEADROOM_SHARE: f64 = 0.15;
/// The least urgent queues that this share is left free for.
pub(super) const MAX_FAST_PRIORITY: u32 = 1;
/// The time between two updates of the bands.
const BAND_PERIOD_MS: u64 = 500;

/// The learnt speed of a worker.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Speed {
    /// The natural logarithm of the speed relative to a common unit.
    pub(super) ln: f64,
    /// The number of samples, up to [`AVERAGED_SAMPLES`].
    pub(super) samples: u32,
}

/// The learnt speed of a machine, as it is stored.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct MachineSpeed {
    /// The machine, or the id of the worker if its machine is unknown.
    pub machine: String,
    /// The natural logarithm of the speed, in thousandths.
    pub ln_milli: i32,
    /// The number of samples.
    pub samples: u32,
}

/// The first run of a task, from the confirmation of its start to its end.
#[derive(Clone, Copy, Debug)]
pub(super) struct TimedRun {
    worker: WorkerSlot,
    duration_ms: u64,
}

/// The speed that a step should run at, as far as there is a choice.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) enum SpeedPreference {
    /// Slow workers, so that the fast ones stay free for others.
    #[default]
    Slow,
    /// Fast workers.
    Fast,
}

impl SpeedPreference {
    /// Returns the sort key of a band: preferred bands come first.
    pub(super) fn key(self, band: i32) -> i32 {
        match self {
            SpeedPreference::Slow => band,
            SpeedPreference::Fast => -band,
        }
    }

    /// Returns the preference of a step. Urgent steps have little time, and a
    /// gang keeps all of its workers for as long as the slowest needs. Others
    /// are in time on a slow worker unless they have to start soon.
    pub(super) fn of(ctx: &StepContext) -> SpeedPreference {
        match ctx.priority == 0 || ctx.spec().gang || ctx.has_little_time {
            true => SpeedPreference::Fast,
            false => SpeedPreference::Slow,
        }
    }
}

impl Speed {
    /// Adds the mean of `runs` samples to the average.
    fn record(&mut self, sample: f64, runs: u32) {
        self.samples = (self.samples + runs).min(AVERAGED_SAMPLES);
        let surprise = (sample - self.ln).clamp(-MAX_SURPRISE, MAX_SURPRISE);
        let weight = f64::from(runs.min(self.samples));
        self.ln += surprise * weight / f64::from(self.samples);
    }
}

impl Claim {
    /// Returns the duration of a run that ends now; `None` if it is unknown
    /// when the run started, or if it resumed from a checkpoint.
    pub(super) fn timed_run(&self, now: TimeMs) -> Option<TimedRun> {
        let is_inherited = self.version == 0;
        let is_measured = self.run == 1
            && !is_inherited
            && self.unanswered == 0
            && self.progress.has_started();
        let duration_ms = now.ms_since(self.progress.started_at);
        (is_measured && duration_ms > 0)
            .then_some(TimedRun { worker: self.worker, duration_ms })
    }
}

impl Engine {
    /// Records the duration of a run that was done, before its claim is
    /// released.
    pub(super) fn time_run(&mut self, key: TaskKey, now: Moment) {
        if !self.options.worker_speeds {
            return;
        }
        let Some(job) = self.jobs.get_mut(&key.step.job) else { return };
        let spec = job.step_spec(key.step.step);
        if spec.gang || spec.long_running || spec.count < 2 {
            return;
        }
        let Some(task) = job.get_task_mut(key) else { return };
        task.timed_run =
            task.claim.as_ref().and_then(|claim| claim.timed_run(now.steady));
    }

    /// Learns the speed of workers from the runs of a step, once all of its
    /// tasks are done: those that end first are a biased choice.
    pub(super) fn learn_speeds(&mut self, key: StepKey) {
        let Some(job) = self.jobs.get_mut(&key.job) else { return };
        let step = job.step_mut(key.occurrence, key.step);
        if step.remaining > 0 {
            return;
        }
        let durations = mean_ln_durations(take_timed_runs(step));
        if durations.len() < 2 {
            return;
        }
        let mut works: Vec<f64> = durations
            .iter()
            .map(|(slot, (ln, _))| ln + self.workers[*slot as usize].speed.ln)
            .collect();
        let usual = median(&mut works);
        for (slot, (ln, runs)) in durations {
            self.workers[slot as usize].speed.record(usual - ln, runs);
        }
    }

    /// Updates the speed bands of the workers. All of a service are in band 0
    /// while their speeds don't differ. Speeds of different services are not
    /// comparable: no step has run in both.
    pub(super) fn update_bands(&mut self, now: TimeMs) {
        if !self.options.worker_speeds
            || now.ms_since(self.bands_updated_at) < BAND_PERIOD_MS
        {
            return;
        }
        self.bands_updated_at = now;
        self.count_examined(self.workers.len());
        let mut known: FxHashMap<&str, Vec<f64>> = FxHashMap::default();
        for worker in &self.workers {
            if worker.listed && worker.speed.samples >= MIN_SAMPLES {
                let speeds = known.entry(&worker.listing.service).or_default();
                speeds.push(worker.speed.ln);
            }
        }
        let middles: FxHashMap<String, f64> = known
            .into_iter()
            .filter_map(|(service, mut speeds)| {
                let middle = uneven_median(&mut speeds)?;
                Some((service.to_owned(), middle))
            })
            .collect();
        for worker in &mut self.workers {
            let is_known = worker.speed.samples >= MIN_SAMPLES;
            let middle = middles.get(&worker.listing.service);
            worker.speed_band = match middle.filter(|_| is_known) {
                Some(middle) => {
                    let ratio = (worker.speed.ln - middle) / BAND_RATIO.ln();
                    ratio.round() as i32
                }
                None => 0,
            };
        }
    }

    /// Returns the resources of a fast worker that a less urgent step leaves
    /// free for the most urgent ones, which have no time for a slow worker.
    /// Gangs gather room without them, and so use all; so do tasks that would
    /// fit on no such worker.
    pub(super) fn urgent_headroom(
        &self,
        ctx: &StepContext,
        worker: &Worker,
    ) -> Resources {
        let is_exempt = ctx.priority <= MAX_FAST_PRIORITY || ctx.spec().gang;
        if is_exempt
            || worker.speed_band <= 0
            || !self.room_of(ctx).has_fast_queue
        {
            return Resources::ZERO;
        }
        let capacity = worker.listing.capacity;
        let kept_milli = capacity.cores_milli as f64 * FAST_HEADROOM_SHARE;
        let headroom =
            Resources { cores_milli: kept_milli as u64, ..Resources::ZERO };
        match ctx.counted.fits_in(&capacity.minus(&headroom)) {
            true => headroom,
            false => Resources::ZERO,
        }
    }

    /// Returns the number of listed workers in each speed band, slowest first.
    pub fn speed_bands(&self) -> Vec<(i32, usize)> {
        let mut bands = BTreeMap::new();
        for worker in self.workers.iter().filter(|worker| worker.listed) {
            *bands.entry(worker.speed_band).or_default() += 1;
        }
        bands.into_iter().collect()
    }

    /// Returns the learnt speeds, to store them for later owners.
    pub fn machine_speeds(&self) -> Vec<MachineSpeed> {
        self.workers
            .iter()
            .filter(|worker| worker.listed && worker.speed.samples > 0)
            .map(|worker| MachineSpeed {
                machine: worker.speed_key().to_owned(),
                ln_milli: (worker.speed.ln * 1_000.0).round() as i32,
                samples: worker.speed.samples,
            })
            .collect()
    }

    /// Applies the speeds that an earlier owner learnt to the workers about
    /// which nothing is known yet.
    pub fn restore_speeds(&mut self, speeds: &[MachineSpeed]) {
        for stored in speeds {
            let slot = self
                .machines
                .get(&stored.machine)
                .or_else(|| self.slots.get(&stored.machine));
            let Some(slot) = slot else { continue };
            let speed = &mut self.workers[*slot as usize].speed;
            if speed.samples == 0 {
                *speed = Speed {
                    ln: f64::from(stored.ln_milli) / 1_000.0,
                    samples: stored.samples.min(AVERAGED_SAMPLES),
                };
            }
        }
    }
}

fn take_timed_runs(step: &mut Step) -> Vec<TimedRun> {
    step.tasks.iter_mut().filter_map(|task| task.timed_run.take()).collect()
}

/// Returns the mean logarithm of the durations on each worker, and the number
/// of runs there. Most runs of a step may be on one worker, whose speed would
/// be taken for the usual one if each of them counted.
fn mean_ln_durations(runs: Vec<TimedRun>) -> BTreeMap<WorkerSlot, (f64, u32)> {
    let mut means: BTreeMap<WorkerSlot, (f64, u32)> = BTreeMap::new();
    for run in runs {
        let (mean, count) = means.entry(run.worker).or_default();
        *count += 1;
        *mean += ((run.duration_ms as f64).ln() - *mean) / f64::from(*count);
    }
    means
}

/// Returns the median of speeds of which enough differ from it. Reorders the
/// values.
fn uneven_median(speeds: &mut [f64]) -> Option<f64> {
    let middle = median(speeds);
    let differing = speeds
        .iter()
        .filter(|ln| (*ln - middle).abs() >= MIN_DIFFERENCE)
        .count();
    let is_uneven = differing as f64 > speeds.len() as f64 * DIFFERING_SHARE;
    is_uneven.then_some(middle)
}

/// Returns the median, or 0 of nothing. Reorders the values.
fn median(values: &mut [f64]) -> f64 {
    values.sort_by(f64::total_cmp);
    match values.len() {
        0 => 0.0,
        len if len % 2 == 1 => values[len / 2],
        len => (values[len / 2 - 1] + values[len / 2]) / 2.0,
    }
}
