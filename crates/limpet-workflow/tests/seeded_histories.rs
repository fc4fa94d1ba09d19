//! The invariants hold over random histories with late, lost and duplicated
//! orders, takeovers, store outages, and workers that disconnect, stall,
//! restart, or shrink and grow.

mod simulation;

use limpet_workflow::JobPhase;

use self::simulation::{
    Faults, Simulation,
    histories::{inject_fault, random_steps},
    record,
};

/// The number of simulated histories, one per seed.
const SEEDS: u64 = 1_000;
/// The number of jobs in each history.
const JOBS: u64 = 14;
/// How long faults are injected.
const FAULTS_MS: u64 = 8_000;
/// The maximum time until all jobs have ended after the last fault. A lease
/// expires within about 8 s, and late orders arrive up to 12 s after they
/// were sent.
const RECOVERY_MS: u64 = 60_000;

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
