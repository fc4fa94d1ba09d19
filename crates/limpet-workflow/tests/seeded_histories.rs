//! The invariants hold over random histories with late, lost and duplicated
//! orders, takeovers, store outages, and workers that disconnect, stall,
//! restart, or shrink and grow.

mod simulation;

use limpet_workflow::{JobPhase, StepSpec};
use rand::RngExt;

use self::simulation::{Faults, Simulation, record, step};

/// The number of simulated histories, one per seed.
const SEEDS: u64 = 1_000;
/// The number of jobs in each history.
const JOBS: u64 = 14;
/// How long faults are injected.
const FAULTS_MS: u64 = 8_000;
/// The maximum duration of a load after a takeover, longer than a lease.
const MAX_LOAD_MS: u64 = 8_000;
/// The maximum time until all jobs have ended after the last fault. A lease
/// expires within about 8 s, and late orders arrive up to 12 s after they
/// were sent.
const RECOVERY_MS: u64 = 60_000;

fn random_steps(sim: &mut Simulation) -> (&'static str, Vec<StepSpec>) {
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

fn inject_fault(sim: &mut Simulation) {
    let number = sim.rng.random_range(0..sim.workers.len());
    match sim.rng.random_range(0..14) {
        0 => {
            let load_ms = sim.rng.random_range(0..MAX_LOAD_MS);
            sim.begin_takeover(load_ms);
        }
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
                worker.disconnected = false;
                worker.stalled = false;
            }
        }
        _ => {}
    }
}

fn run_history(seed: u64) {
    let mut sim = Simulation::new(seed, 5);
    sim.faults = Faults { lost: 20, late: 30, duplicated: 30 };
    sim.run_ms(200);
    let mut jobs = Vec::new();
    for number in 0..JOBS {
        let (queue, steps) = random_steps(&mut sim);
        jobs.push(sim.submit(number + 1, record(queue, steps)));
        sim.run_ms(FAULTS_MS / JOBS);
        inject_fault(&mut sim);
    }
    sim.faults = Faults::default();
    sim.store_unavailable = false;
    for number in 0..sim.workers.len() {
        sim.workers[number].disconnected = false;
        sim.workers[number].stalled = false;
        sim.set_cores(number, 16_000);
    }
    while sim.is_loading() {
        sim.run_ms(500);
    }
    let mut waited_ms = 0;
    let open =
        |sim: &Simulation| jobs.iter().any(|job| !sim.phase(*job).has_ended());
    while open(&sim) && waited_ms < RECOVERY_MS {
        sim.run_ms(500);
        waited_ms += 500;
    }
    for job in &jobs {
        let phase = sim.phase(*job);
        assert!(
            matches!(phase, JobPhase::Completed | JobPhase::Failed),
            "seed {seed}: {job} is {phase:?}"
        );
    }
    let violations = std::mem::take(&mut sim.history.violations);
    assert_eq!(violations, Vec::<String>::new(), "seed {seed}");
    sim.assert_invariants();
}

#[test]
fn invariants_hold() {
    for seed in 0..SEEDS {
        run_history(seed);
    }
}
