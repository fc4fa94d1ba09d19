//! Random jobs and faults for seeded histories.

use limpet_workflow::StepSpec;
use rand::RngExt;

use super::{Faults, Simulation, step};

/// The maximum duration of a load after a takeover, longer than a lease.
const MAX_LOAD_MS: u64 = 8_000;

/// Returns the queue and the steps of a random job.
pub fn random_steps(sim: &mut Simulation) -> (&'static str, Vec<StepSpec>) {
    let rng = &mut sim.rng;
    match rng.random_range(0..3) {
        0 => ("urgent", vec![step(rng.random_range(1..4), 1_400, 500)]),
        1 => {
            let count = rng.random_range(2..5);
            let gang = StepSpec { gang: true, ..step(count, 4_500, 1_200) };
            ("gang", vec![gang])
        }
        _ => {
            let first = StepSpec {
                checkpointing: rng.random_bool(0.8),
                max_per_worker: rng.random_range(0..3),
                ..step(rng.random_range(1..6), 900, 800)
            };
            let second = StepSpec { after: vec![0], ..step(2, 900, 400) };
            ("batch", vec![first, second])
        }
    }
}

/// Injects a random fault, or ends those of workers and of the store.
pub fn inject_fault(sim: &mut Simulation) {
    let number = sim.rng.random_range(0..sim.workers.len());
    match sim.rng.random_range(0..14) {
        0 => {
            let load_ms = sim.rng.random_range(0..MAX_LOAD_MS);
            sim.begin_takeover(load_ms);
        }
        // A worker that has crashed has a next life by itself.
        1 if sim.workers[number].has_crashed => {}
        1 => sim.restart_worker(number),
        2 => sim.workers[number].disconnected = true,
        3 => sim.workers[number].stalled = true,
        4 => sim.store_unavailable = true,
        12 => {
            let cores_milli = sim.rng.random_range(2..=16) * 1_000;
            sim.set_cores(number, cores_milli);
        }
        5..8 => {
            sim.store_unavailable = false;
            for worker in &mut sim.workers {
                worker.disconnected &= worker.has_crashed;
                worker.stalled = false;
            }
        }
        _ => {}
    }
}

impl Simulation {
    /// Ends all faults that last.
    pub fn heal(&mut self) {
        self.faults = Faults::default();
        self.store_unavailable = false;
        for number in 0..self.workers.len() {
            let worker = &mut self.workers[number];
            worker.stalled = false;
            // A worker that has crashed has a next life.
            worker.disconnected &= worker.has_crashed;
            self.set_cores(number, 16_000);
        }
    }
}
