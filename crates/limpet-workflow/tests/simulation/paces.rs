//! The paces of runs: workers that are slow, images that slow each other, and
//! noise.

use std::hash::{Hash, Hasher};

use limpet_workflow::TaskKey;

use super::{Simulation, TICK_MS, worker::FakeWorker};

/// How long a run keeps its noise.
const NOISE_PERIOD_MS: u64 = 400;

/// What the pace of runs depends on; 1.0 is the usual pace.
#[derive(Clone, Debug, Default)]
pub struct Paces {
    /// The pace of runs of the first image beside one of the second.
    pub interference: Vec<(String, String, f64)>,
    /// Whether that holds only for runs that resumed from a checkpoint.
    pub only_resumed: bool,
    /// The pace of all runs on some workers, by number.
    pub workers: Vec<(usize, f64)>,
    /// The pace of all runs of some images.
    pub images: Vec<(String, f64)>,
    /// The largest relative deviation of single paces.
    pub noise: f64,
    /// The largest relative deviation of the pace of whole tasks.
    pub unevenness: f64,
    /// The largest relative deviation of the pace of whole jobs from their
    /// estimates.
    pub estimate_error: f64,
}

impl Paces {
    fn of(
        &self,
        number: usize,
        worker: &FakeWorker,
        task: TaskKey,
        now_ms: u64,
    ) -> f64 {
        let run = &worker.runs[&task];
        let mut pace = 1.0;
        for (slow, factor) in &self.workers {
            pace *= if *slow == number { *factor } else { 1.0 };
        }
        for (image, factor) in &self.images {
            pace *= if *image == run.image { *factor } else { 1.0 };
        }
        for (slowed, by, factor) in &self.interference {
            let is_beside = || {
                worker
                    .runs
                    .iter()
                    .any(|(other, run)| *other != task && run.image == *by)
            };
            let applies = run.resumed || !self.only_resumed;
            if applies && *slowed == run.image && is_beside() {
                pace *= factor;
            }
        }
        let period = now_ms / NOISE_PERIOD_MS;
        pace *= 1.0 + self.noise * deviation((task, period));
        pace *= 1.0 + self.estimate_error * deviation(task.step.job);
        pace * (1.0 + self.unevenness * deviation(task))
    }
}

/// Returns a number from -1 to 1 that only depends on the key.
fn deviation(key: impl Hash) -> f64 {
    let mut hasher = std::hash::DefaultHasher::new();
    key.hash(&mut hasher);
    (hasher.finish() % 2_001) as f64 / 1_000.0 - 1.0
}

impl Simulation {
    /// Lets all runs work for a tick, each at its pace.
    pub(super) fn apply_paces(&mut self) {
        for (number, worker) in self.workers.iter_mut().enumerate() {
            let tasks: Vec<TaskKey> = worker.runs.keys().copied().collect();
            for task in tasks {
                let pace = self.paces.of(number, worker, task, self.now_ms);
                let run =
                    worker.runs.get_mut(&task).expect("the run is on it");
                run.pace = pace;
                run.lost_ms += TICK_MS as f64 * (1.0 - pace);
            }
        }
    }
}
