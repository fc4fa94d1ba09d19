//! Interference: which images slow which others on one worker, learnt from
//! the paces of runs, and used by placement as a preference among workers
//! that are equal otherwise.
//!
//! The pace of a run is its rate of progress, or, for a serving task, its
//! target against its tail latency, relative to the runs of its step on other
//! workers. A worker's own speed is taken out of it. `docs/design/interference.md`
//! describes the design.

mod level;
mod pair;
mod table;

use limpet_core::TimeMs;
use rustc_hash::FxHashSet;

pub(super) use self::table::Interference;
use self::{
    pair::Source,
    table::{Neighbour, Window},
};
use super::{
    Engine,
    job::{Claim, ClaimPhase, Job, Step},
    step_context::StepContext,
};
use crate::{
    effect::Effect,
    key::TaskKey,
    spec::StepSpec,
    worker::{Worker, WorkerSlot},
};

/// The minimum time between two uses of a serving task's tail latency.
const LATENCY_WINDOW_MS: u64 = 400;

/// A pair of images of which one slows the other.
#[derive(Clone, Debug, PartialEq)]
pub struct InterferingPair {
    /// The image whose tasks are slowed.
    pub slowed: String,
    /// The image whose tasks slow them.
    pub by: String,
    /// The pace of the slowed tasks, where 1.0 is their pace without the
    /// others.
    pub pace: f64,
    /// The independent samples of it.
    pub samples: usize,
}

impl Engine {
    /// Returns the pairs of images that are kept apart, sorted.
    pub fn interfering_pairs(&self) -> Vec<InterferingPair> {
        self.interference.interfering_pairs()
    }

    /// Records the pace of a run between two reports, the earlier one at
    /// `since`.
    pub(super) fn observe_pace(
        &mut self,
        slot: WorkerSlot,
        key: TaskKey,
        since: TimeMs,
        now: TimeMs,
    ) {
        if !self.options.keep_apart {
            return;
        }
        let mut interference = std::mem::take(&mut self.interference);
        if let Some(window) = self.window(&interference, slot, key, since) {
            let changes = interference.record(&window, now);
            self.effects.extend(changes.into_iter().map(Effect::from));
        }
        self.interference = interference;
    }

    /// Records the tail latency that a worker reports of a serving task.
    pub(super) fn observe_latency(
        &mut self,
        slot: WorkerSlot,
        key: TaskKey,
        latency_ms: Option<f64>,
        now: TimeMs,
    ) {
        let Some(job) = self.jobs.get_mut(&key.step.job) else { return };
        let target_ms = job.step_spec(key.step.step).target_ms;
        let Some(latency_ms) = latency_ms else { return };
        if !self.options.keep_apart || target_ms == 0 || latency_ms <= 0.0 {
            return;
        }
        let Some(claim) =
            job.get_task_mut(key).and_then(|task| task.claim.as_mut())
        else {
            return;
        };
        let since = claim.progress.latency_at;
        if now.ms_since(since) < LATENCY_WINDOW_MS {
            return;
        }
        claim.progress.latency_at = now;
        claim.progress.latency_pace = Some(target_ms as f64 / latency_ms);
        if since != TimeMs::ZERO {
            self.observe_pace(slot, key, since, now);
        }
    }

    /// Forgets what was learnt of a run, and records that it has left its
    /// worker.
    pub(super) fn record_departure(&mut self, key: TaskKey, slot: WorkerSlot) {
        if !self.options.keep_apart {
            return;
        }
        let Some(job) = self.jobs.get(&key.step.job) else { return };
        let image = &job.step_spec(key.step.step).image;
        self.interference.record_departure(slot, key, image);
    }

    /// Drops pairs whose evidence is old.
    pub(super) fn expire_interference(&mut self, now: TimeMs) {
        if self.options.keep_apart {
            let changes = self.interference.expire(now);
            self.effects.extend(changes.into_iter().map(Effect::from));
        }
    }

    /// Returns what a run's pace between `since` and now says; `None` if it
    /// says nothing about its neighbours.
    fn window<'a>(
        &'a self,
        known: &Interference,
        slot: WorkerSlot,
        key: TaskKey,
        since: TimeMs,
    ) -> Option<Window<'a>> {
        let job = self.jobs.get(&key.step.job)?;
        let spec = job.step_spec(key.step.step);
        // Tasks that last without a target have no expected pace.
        let is_measured = !spec.long_running || spec.target_ms > 0;
        if spec.image.is_empty() || spec.gang || !is_measured {
            return None;
        }
        let step = job.step(key.step.occurrence, key.step.step);
        let claim = step.tasks[key.index].claim.as_ref()?;
        let own = log_pace(claim, spec)?;
        let elsewhere = mean_elsewhere(known, step, spec, slot);
        let source = match spec.target_ms {
            0 => Source::Worker(slot),
            _ => Source::Run(key),
        };
        // A serving task without siblings has its target to compare with.
        let reference = match source {
            Source::Worker(_) => elsewhere?,
            Source::Run(_) => elsewhere.unwrap_or(0.0),
        };
        let (beside, overlapping) = self.neighbours(known, slot, key, since);
        Some(Window {
            worker: slot,
            job: key.step.job,
            image: &spec.image,
            source,
            pace: own - reference,
            beside,
            overlapping,
        })
    }

    /// Returns the tasks that were beside a run from `since` until now, and
    /// the images of all that were beside it at any time since.
    fn neighbours<'a>(
        &'a self,
        known: &Interference,
        slot: WorkerSlot,
        key: TaskKey,
        since: TimeMs,
    ) -> (Vec<Neighbour<'a>>, Vec<String>) {
        let mut beside: Vec<Neighbour> = Vec::new();
        let mut overlapping = known.departed_since(slot, since);
        for other in self.workers[slot as usize].claims.keys() {
            let Some((job, spec, claim)) = self.claimed(*other) else {
                continue;
            };
            if *other == key || spec.image.is_empty() {
                continue;
            }
            let image = spec.image.as_str();
            if !overlapping.iter().any(|known| known == image) {
                overlapping.push(image.to_owned());
            }
            let is_whole = claim.progress.has_started()
                && claim.progress.started_at <= since;
            if is_whole && !beside.iter().any(|known| known.image == image) {
                beside.push(Neighbour { image, job: job.key });
            }
        }
        (beside, overlapping)
    }

    fn claimed(&self, key: TaskKey) -> Option<(&Job, &StepSpec, &Claim)> {
        let job = self.jobs.get(&key.step.job)?;
        let claim = job.get_task(key)?.claim.as_ref()?;
        Some((job, job.step_spec(key.step.step), claim))
    }

    /// Returns the images that tasks of a step are kept apart from.
    pub(super) fn images_to_avoid(
        &self,
        ctx: &StepContext,
    ) -> Option<&FxHashSet<Box<str>>> {
        self.interference.images_to_avoid(&ctx.spec().image)
    }

    /// Returns whether a worker hosts a task of one of these images.
    pub(super) fn hosts_any(
        &self,
        images: &FxHashSet<Box<str>>,
        worker: &Worker,
    ) -> bool {
        worker.claims.keys().any(|key| {
            self.jobs.get(&key.step.job).is_some_and(|job| {
                images.contains(job.step_spec(key.step.step).image.as_str())
            })
        })
    }
}

/// Returns the logarithm of a run's pace; `None` if it is unknown or the run
/// resumed from a checkpoint.
fn log_pace(claim: &Claim, spec: &StepSpec) -> Option<f64> {
    if claim.phase != ClaimPhase::Running || claim.progress.resumed {
        return None;
    }
    let pace = match spec.target_ms {
        0 => claim.progress.rate?,
        _ => claim.progress.latency_pace?,
    };
    // A run without any progress is as slow as can be measured.
    Some(pace.max(1e-9).ln())
}

/// Returns the mean of the logarithms of the paces of a step's runs on other
/// workers, each corrected by the speed of its worker; `None` if there are
/// none. The mean of logarithms weighs a run of half the pace like one of
/// twice the pace, so that noise leaves it in place.
fn mean_elsewhere(
    known: &Interference,
    step: &Step,
    spec: &StepSpec,
    slot: WorkerSlot,
) -> Option<f64> {
    let claims = step.tasks.iter().filter_map(|task| task.claim.as_ref());
    let paces: Vec<f64> = claims
        .filter(|claim| claim.worker != slot)
        .filter(|claim| {
            spec.target_ms != 0 || claim.progress.rate != Some(0.0)
        })
        .filter_map(|claim| {
            let speed = match spec.target_ms {
                0 => known.worker_speed(claim.worker),
                _ => 0.0,
            };
            Some(log_pace(claim, spec)? - speed)
        })
        .collect();
    let count = paces.len() as f64;
    (!paces.is_empty()).then(|| paces.iter().sum::<f64>() / count)
}
