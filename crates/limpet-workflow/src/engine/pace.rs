//! Workers that are slow, or on which tasks stand still.

use limpet_core::TimeMs;

use super::{
    Engine, Moment,
    job::{ClaimPhase, RunProgress},
};
use crate::{key::TaskKey, worker::WorkerSlot};

/// A run is judged once it was watched for so long.
const WATCH_MS: u64 = 500;
/// The weight of a report in a worker's pace.
const REPORT_WEIGHT: f64 = 0.35;
/// The weight of a report in the pace of all.
const USUAL_WEIGHT: f64 = 0.01;
/// Reports of a worker before it is judged.
const LEAST_SAMPLES: u32 = 2;
/// Below this part of the usual pace a worker counts as slow. Sound workers
/// differ by less than a factor of two, estimates by a little more.
const SLOW_RATIO: f64 = 0.3;
/// How long a slow worker gets nothing, before one task tries it.
const SLOW_PAUSE_MS: u64 = 3_000;
/// A run is moved if starting anew gains at least this.
const MOVE_GAIN_MS: f64 = 400.0;

impl Engine {
    /// Learns a worker's pace from its report, and moves work off a slow
    /// one.
    pub(super) fn judge_pace(&mut self, slot: WorkerSlot, now: Moment) {
        let ratios: Vec<f64> = self
            .claims_of(slot)
            .into_iter()
            .filter_map(|(task, _)| self.run_ratio(task, now.steady))
            .collect();
        if ratios.is_empty() {
            return;
        }
        let mean = ratios.iter().sum::<f64>() / ratios.len() as f64;
        self.usual_pace += (mean - self.usual_pace) * USUAL_WEIGHT;
        let pace = &mut self.workers[slot as usize].pace;
        if pace.samples == 0 {
            pace.ratio = mean;
        }
        pace.ratio += (mean - pace.ratio) * REPORT_WEIGHT;
        pace.samples += 1;
        if pace.samples < LEAST_SAMPLES {
            return;
        }
        let is_slow = pace.ratio < self.usual_pace * SLOW_RATIO;
        if !is_slow {
            pace.slow = false;
            return;
        }
        if !pace.slow {
            pace.slow = true;
            self.changed = true;
        }
        let ratio = pace.ratio;
        let worker = &mut self.workers[slot as usize];
        worker.quarantined_until = now.steady.plus_ms(SLOW_PAUSE_MS);
        for (task, _) in self.claims_of(slot) {
            if self.gains_by_move(task, ratio) {
                self.stop_task(task, now);
            }
        }
    }

    /// Returns a run's pace against its estimate. Members of a gang go at
    /// the pace of the slowest and prove nothing.
    fn run_ratio(&self, key: TaskKey, now: TimeMs) -> Option<f64> {
        let job = self.jobs.get(&key.step.job)?;
        let spec = job.step_spec(key.step.step);
        if spec.gang || spec.long_running || spec.estimate_ms == 0 {
            return None;
        }
        let claim = job.get_task(key)?.claim.as_ref()?;
        if claim.phase != ClaimPhase::Running {
            return None;
        }
        let RunProgress { first, percent, .. } = claim.progress;
        let (first_at, first_percent) = first?;
        let watched_ms = now.ms_since(first_at);
        if watched_ms < WATCH_MS {
            return None;
        }
        let done = (percent - first_percent).max(0.0) / 100.0;
        Some(done * spec.estimate_ms as f64 / watched_ms as f64)
    }

    /// Says whether a run on a slow worker ends sooner if it starts anew
    /// elsewhere.
    fn gains_by_move(&self, key: TaskKey, ratio: f64) -> bool {
        let Some(job) = self.jobs.get(&key.step.job) else { return false };
        let spec = job.step_spec(key.step.step);
        let Some(claim) =
            job.get_task(key).and_then(|task| task.claim.as_ref())
        else {
            return false;
        };
        if spec.long_running || claim.phase != ClaimPhase::Running {
            return false;
        }
        let estimate_ms = spec.estimate_ms as f64;
        let done = claim.progress.percent / 100.0;
        let here_ms = (1.0 - done) * estimate_ms / ratio.max(0.01);
        let saved = if spec.checkpointing { done } else { 0.0 };
        let there_ms = (1.0 - saved) * estimate_ms / self.usual_pace.max(0.1);
        here_ms > there_ms + MOVE_GAIN_MS
    }
}
