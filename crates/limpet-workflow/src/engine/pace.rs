//! Detection of workers that are slow or on which tasks make no progress.
//!
//! Estimates of durations are unreliable. A run is therefore compared with
//! the runs of the same step on other workers, and with its estimate only if
//! there are none. A worker is slow if even its fastest run is slow.

use limpet_core::TimeMs;

use super::{
    Engine, Moment,
    job::{ClaimPhase, RunProgress, Task},
};
use crate::{
    effect::{Effect, StopReason, Suspicion},
    key::TaskKey,
    spec::StepSpec,
    worker::WorkerSlot,
};

/// The minimum time over which the pace of a run is measured.
const PACE_WINDOW_MS: u64 = 400;
/// The minimum part of a run, by its estimate, over which its pace is
/// measured: workers report progress in whole percent.
const PACE_WINDOW_PERCENT: u64 = 4;
/// The minimum time between two evaluations of a worker's reports.
const PACE_PERIOD_MS: u64 = 200;
/// The number of consecutive slow reports after which a worker is slow.
const SLOW_REPORTS: u32 = 2;
/// The relative pace below which a worker is slow, judged by runs of several
/// jobs. Healthy workers differ by less than a factor of two.
const SLOW_PACE: f64 = 0.35;
/// The relative pace below which the runs of a single job make a worker slow:
/// they make no progress, which a wrong estimate alone can't explain.
const STALLED_PACE: f64 = 0.001;
/// How long a slow worker gets no tasks before it gets one as a trial.
const SLOW_QUARANTINE_MS: u64 = 3_000;
/// The maximum number of times that a task is moved. A task without progress
/// on several workers is probably itself the cause.
const MAX_MOVES: u32 = 2;
/// The minimum time that a move has to save.
const MOVE_GAIN_MS: f64 = 400.0;

impl Engine {
    /// Updates a worker's pace from its latest report. Quarantines a slow
    /// worker, and moves the tasks that finish earlier elsewhere.
    pub(super) fn update_pace(&mut self, slot: WorkerSlot, now: Moment) {
        let updated_at = self.workers[slot as usize].pace.updated_at;
        if now.steady.ms_since(updated_at) < PACE_PERIOD_MS {
            return;
        }
        let Some(pace) = self.best_pace(slot) else { return };
        let known = &mut self.workers[slot as usize].pace;
        known.updated_at = now.steady;
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
        worker.quarantined_until = now.steady.plus_ms(SLOW_QUARANTINE_MS);
        for (task, _) in self.claims_of(slot) {
            if self.gains_by_move(task, pace.ratio) {
                self.move_task(task, now);
            }
        }
    }

    /// Stops a task so that it is placed on another worker.
    fn move_task(&mut self, key: TaskKey, now: Moment) {
        if let Some(task) = self
            .jobs
            .get_mut(&key.step.job)
            .and_then(|job| job.get_task_mut(key))
        {
            task.moves += 1;
        }
        self.stop_task(key, StopReason::SlowWorker, now);
    }

    /// Returns the relative pace of the fastest run on a worker, or `None` if
    /// there is no run to compare.
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

    /// Returns a run's pace relative to the runs of its step on other workers,
    /// or to its estimate if there are none. Returns `None` if the pace is not
    /// measured yet or says nothing about the worker: long-running tasks and
    /// those without an estimate have no expected pace, and all members of a
    /// gang run at the pace of the slowest.
    fn relative_pace(&self, key: TaskKey, slot: WorkerSlot) -> Option<f64> {
        let job = self.jobs.get(&key.step.job)?;
        let spec = job.step_spec(key.step.step);
        if spec.gang || spec.long_running || spec.estimate_ms == 0 {
            return None;
        }
        let step = job.step(key.step.occurrence, key.step.step);
        let own = pace_of(&step.tasks[key.index], spec)?;
        let others: Vec<f64> = step
            .tasks
            .iter()
            .filter(|task| {
                let claim = task.claim.as_ref();
                claim.is_some_and(|claim| claim.worker != slot)
            })
            .filter_map(|task| pace_of(task, spec))
            .collect();
        if others.is_empty() {
            return Some(own);
        }
        let mean = others.iter().sum::<f64>() / others.len() as f64;
        Some(own / mean.max(0.05))
    }

    /// Returns whether a run on a worker of pace `ratio` would end earlier by
    /// [`MOVE_GAIN_MS`] if it was moved to another worker. A task without
    /// checkpoints starts from the beginning there.
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

/// The relative pace of a worker's fastest run.
#[derive(Clone, Copy, Debug)]
struct BestPace {
    /// The pace, where 1.0 is that of the same step on other workers, or of
    /// its estimate.
    ratio: f64,
    /// The number of jobs whose runs were compared.
    jobs: usize,
}

impl BestPace {
    /// Returns the pace below which the worker is slow.
    fn threshold(&self) -> f64 {
        if self.jobs > 1 { SLOW_PACE } else { STALLED_PACE }
    }
}

/// Returns the pace of a task's run relative to its estimate, where 1.0 is
/// the estimated pace; `None` until it has been measured.
fn pace_of(task: &Task, spec: &StepSpec) -> Option<f64> {
    let claim = task.claim.as_ref()?;
    if claim.phase != ClaimPhase::Running {
        return None;
    }
    let percent_per_ms = claim.progress.rate?;
    Some(percent_per_ms / 100.0 * spec.estimate_ms as f64)
}

impl RunProgress {
    /// Records a report of the percentage done, and updates the rate if the
    /// base report is old enough for a run with this estimate. Returns the time
    /// of that base report if the rate was updated.
    pub(super) fn record(
        &mut self,
        percent: f64,
        estimate_ms: u64,
        now: TimeMs,
    ) -> Option<TimeMs> {
        self.percent = percent;
        let (base_at, base_percent) = *self.base.get_or_insert((now, percent));
        let measured_ms = now.ms_since(base_at);
        let window_ms =
            PACE_WINDOW_MS.max(estimate_ms * PACE_WINDOW_PERCENT / 100);
        if measured_ms < window_ms {
            return None;
        }
        let done = (percent - base_percent).max(0.0);
        self.rate = Some(done / measured_ms as f64);
        self.base = Some((now, percent));
        Some(base_at)
    }
}
