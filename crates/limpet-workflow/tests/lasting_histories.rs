//! Tasks that last run again after random faults, on a cell that batch work
//! fills.

mod simulation;

use limpet_core::Resources;
use limpet_workflow::{JobKey, StepKey, StepSpec};
use rand::RngExt;

use self::simulation::{Faults, Simulation, record, step};

/// The number of simulated histories, one per seed.
const SEEDS: u64 = 150;
/// The number of rounds of faults in each history.
const ROUNDS: u64 = 3;
/// The number of faults in a round, one every 500 ms.
const FAULTS: u64 = 8;
/// The number of tasks that last.
const TASKS: u32 = 6;
/// The most lives of workers that end in a history.
const MAX_LIVES: u32 = 2;
/// Once faults are over, tasks that last run within this time: the lease of a
/// worker that an earlier owner has renewed expires after 9.3 s, and late
/// orders arrive up to 12 s after they were sent.
const AWAY_MS: u64 = 15_000;

/// Injects a fault. `lives` is the number of lives of workers that may end: a
/// job under which more of them do may be given up.
fn inject_fault(sim: &mut Simulation, lives: &mut u32) {
    let number = sim.rng.random_range(0..sim.workers.len());
    match sim.rng.random_range(0..9) {
        0 => sim.begin_takeover(1_000),
        1 | 5 if *lives == 0 => {}
        1 => {
            *lives -= 1;
            sim.restart_worker(number);
        }
        2 => sim.workers[number].disconnected = true,
        3 => sim.workers[number].stalled = true,
        4 => sim.store_unavailable = true,
        5 => {
            *lives -= 1;
            sim.crash_worker(number);
        }
        6 => {
            let cores_milli = sim.rng.random_range(2..=16) * 1_000;
            sim.set_cores(number, cores_milli);
        }
        _ => {
            let task = service_task(sim.rng.random_range(0..TASKS));
            sim.fail_run(task);
        }
    }
}

fn service_task(index: u32) -> limpet_workflow::TaskKey {
    StepKey { job: JobKey(1), occurrence: 0, step: 0 }.task(index)
}

fn run_history(seed: u64) {
    let mut sim = Simulation::new(seed, 6);
    sim.config.teams[0].limit = Resources::UNLIMITED;
    sim.config.revision += 1;
    sim.history.limits.clear();
    sim.engine.set_config(std::sync::Arc::new(sim.config.clone()));
    // Tasks that last have no limit of failed runs.
    sim.history.max_attempts = u32::MAX;
    sim.deadly.keeps_id = true;
    sim.run_ms(200);
    let service = StepSpec { long_running: true, ..step(TASKS, 4_000, 300) };
    sim.submit(1, record("gang", vec![service]));
    let mut next_key = 1;
    let mut lives = MAX_LIVES;
    for round in 0..ROUNDS {
        sim.faults = Faults { lost: 20, late: 30, duplicated: 30 };
        for _ in 0..FAULTS {
            next_key += 1;
            let batch = vec![step(8, 2_000, 1_000)];
            sim.submit(next_key, record("batch", batch));
            inject_fault(&mut sim, &mut lives);
            sim.run_ms(500);
        }
        sim.heal();
        let mut waited_ms = 0;
        let away = |sim: &Simulation| {
            let tasks = (0..TASKS).map(service_task);
            tasks.filter(|task| !sim.is_running(*task)).collect::<Vec<_>>()
        };
        while !away(&sim).is_empty() && waited_ms < AWAY_MS {
            if waited_ms.is_multiple_of(500) {
                next_key += 1;
                let batch = vec![step(8, 2_000, 1_000)];
                sim.submit(next_key, record("batch", batch));
            }
            sim.run_ms(100);
            waited_ms += 100;
        }
        let away = away(&sim);
        assert_eq!(away, [], "seed {seed}, round {round}");
    }
    let violations = std::mem::take(&mut sim.history.violations);
    assert_eq!(violations, Vec::<String>::new(), "seed {seed}");
}

/// Guards against tasks that last and stay away although a worker that can be
/// reached has room for them.
#[test]
fn run_again() {
    for seed in 0..SEEDS {
        run_history(seed);
    }
}
