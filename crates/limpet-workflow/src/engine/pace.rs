//! Workers that are slow, or on which tasks stand still.
//!
//! Estimates are far off, so a run is compared with the other runs of its
//! step on other workers, and only where there are none with its estimate. A
//! worker is slow if even the fastest of its runs is.

use limpet_core::TimeMs;

use super::{
    Engine, Moment,
    job::{ClaimPhase, RunProgress, Step},
};
use crate::{
    effect::{Effect, Suspicion},
    key::TaskKey,
    spec::StepSpec,
    worker::WorkerSlot,
};

/// A run's pace is measured over at least so long.
const WATCH_MS: u64 = 400;
/// Reports closer than this count as one.
const JUDGE_PERIOD_MS: u64 = 200;
/// Reports in a row that find a worker slow.
const SLOW_REPORTS: u32 = 2;
/// Below this pace a worker is slow, if runs of several jobs say so. Sound
/// workers differ by less than a factor of two.
const SLOW_PACE: f64 = 0.35;
/// Below this pace a single job's runs are enough: they stand still. A wrong
/// estimate alone can't bring a run there.
const STILL_PACE: f64 = 0.001;
/// How long a slow worker gets nothing, before one task tries it.
const SLOW_PAUSE_MS: u64 = 3_000;
/// How often a task is moved at most: one that stands still everywhere is
/// not its workers' fault.
const MAX_MOVES: u32 = 2;
/// A run is moved if starting anew gains at least this.
const MOVE_GAIN_MS: f64 = 400.0;

impl Engine {
    /// Learns a worker's pace from its report, and moves work off a slow
    /// one.
    pub(super) fn judge_pace(&mut self, slot: WorkerSlot, now: Moment) {
        let judged_at = self.workers[slot as usize].pace.judged_at;
        if now.steady.ms_since(judged_at) < JUDGE_PERIOD_MS {
            return;
        }
        let Some(pace) = self.best_pace(slot) else { return };
        let known = &mut self.workers[slot as usize].pace;
        known.judged_at = now.steady;
        if pace.ratio >= pace.threshold() {
            known.slow_reports = 0;
            known.slow = false;
            return;
        }
        known.slow_reports += 1;
        if known.slow_reports < SLOW_REPORTS {
            return;
        }
        if !known.slow {
            known.slow = true;
            let reason = Suspicion::Pace(pace.ratio);
            self.effects.push(Effect::Suspect { worker: slot, reason });
        }
        let worker = &mut self.workers[slot as usize];
        worker.quarantined_until = now.steady.plus_ms(SLOW_PAUSE_MS);
        for (task, _) in self.claims_of(slot) {
            if self.gains_by_move(task, pace.ratio) {
                self.move_task(task, now);
            }
        }
    }

    fn move_task(&mut self, key: TaskKey, now: Moment) {
        if let Some(task) = self
            .jobs
            .get_mut(&key.step.job)
            .and_then(|job| job.get_task_mut(key))
        {
            task.moves += 1;
        }
        self.stop_task(key, now);
    }

    /// Returns the pace of the fastest run on a worker that can be judged.
    fn best_pace(&self, slot: WorkerSlot) -> Option<BestPace> {
        let mut best: Option<BestPace> = None;
        let mut jobs = Vec::new();
        for (task, _) in self.claims_of(slot) {
            let Some(ratio) = self.relative_pace(task, slot) else {
                continue;
            };
            if !jobs.contains(&task.step.job) {
                jobs.push(task.step.job);
            }
            let fastest = best.map_or(ratio, |best| best.ratio.max(ratio));
            best = Some(BestPace { ratio: fastest, jobs: jobs.len() });
        }
        best
    }

    /// Returns a run's pace against the runs of its step elsewhere, or
    /// against its estimate. Members of a gang go at the pace of the slowest
    /// and prove nothing.
    fn relative_pace(&self, key: TaskKey, slot: WorkerSlot) -> Option<f64> {
        let job = self.jobs.get(&key.step.job)?;
        let spec = job.step_spec(key.step.step);
        if spec.gang || spec.long_running || spec.estimate_ms == 0 {
            return None;
        }
        let step = job.step(key.step.occurrence, key.step.step);
        let own = pace_of(step, key.index as usize, spec)?;
        let others: Vec<f64> = (0..step.tasks.len())
            .filter(|index| {
                let claim = step.tasks[*index].claim.as_ref();
                claim.is_some_and(|claim| claim.worker != slot)
            })
            .filter_map(|index| pace_of(step, index, spec))
            .collect();
        if others.is_empty() {
            return Some(own);
        }
        let mean = others.iter().sum::<f64>() / others.len() as f64;
        Some(own / mean.max(0.05))
    }

    /// Says whether a run on a slow worker ends sooner if it starts anew
    /// elsewhere.
    fn gains_by_move(&self, key: TaskKey, ratio: f64) -> bool {
        let Some(job) = self.jobs.get(&key.step.job) else { return false };
        let spec = job.step_spec(key.step.step);
        let Some(task) = job.get_task(key) else { return false };
        let Some(claim) = &task.claim else { return false };
        if task.moves >= MAX_MOVES
            || spec.long_running
            || claim.phase != ClaimPhase::Running
        {
            return false;
        }
        let estimate_ms = spec.estimate_ms as f64;
        let done = claim.progress.percent / 100.0;
        let here_ms = (1.0 - done) * estimate_ms / ratio.max(0.01);
        let saved = if spec.checkpointing { done } else { 0.0 };
        let there_ms = (1.0 - saved) * estimate_ms;
        here_ms > there_ms + MOVE_GAIN_MS
    }
}

/// The pace of the fastest run of a worker.
#[derive(Clone, Copy, Debug)]
struct BestPace {
    ratio: f64,
    /// The jobs whose runs were judged.
    jobs: usize,
}

impl BestPace {
    fn threshold(&self) -> f64 {
        if self.jobs > 1 { SLOW_PACE } else { STILL_PACE }
    }
}

/// Returns the pace of a task's run against its estimate, once it was
/// watched for long enough.
fn pace_of(step: &Step, index: usize, spec: &StepSpec) -> Option<f64> {
    let claim = step.tasks[index].claim.as_ref()?;
    if claim.phase != ClaimPhase::Running {
        return None;
    }
    let percent_a_ms = claim.progress.rate?;
    Some(percent_a_ms / 100.0 * spec.estimate_ms as f64)
}

impl RunProgress {
    /// Takes in a report of how much is done.
    pub(super) fn note(&mut self, percent: f64, now: TimeMs) {
        self.percent = percent;
        let (base_at, base_percent) = *self.base.get_or_insert((now, percent));
        let watched_ms = now.ms_since(base_at);
        if watched_ms >= WATCH_MS {
            let done = (percent - base_percent).max(0.0);
            self.rate = Some(done / watched_ms as f64);
            self.base = Some((now, percent));
        }
    }
}
