//! Jobs that crash their workers end over random histories with late, lost and
//! duplicated orders, takeovers, store outages, and workers that disconnect,
//! stall, restart, or shrink and grow.

mod simulation;

use limpet_workflow::{JobKey, JobPhase};
use rand::RngExt;

use self::simulation::{
    Faults, Simulation,
    histories::{inject_fault, random_steps},
    record,
};

/// The number of simulated histories, one per seed.
const SEEDS: u64 = 200;
/// The number of jobs in each history.
const JOBS: u64 = 14;
/// The jobs whose tasks crash their workers.
const DEADLY: [u64; 2] = [3, 9];
/// How long faults are injected.
const FAULTS_MS: u64 = 8_000;
/// The maximum time until all jobs have ended after the last fault: four
/// crashes, each with a lease and a wait for a worker to itself, and a lease
/// of an earlier owner.
const RECOVERY_MS: u64 = 120_000;

fn run_history(seed: u64) {
    let mut sim = Simulation::new(seed, 8);
    sim.deadly.jobs.extend(DEADLY.map(JobKey));
    sim.deadly.keeps_id = sim.rng.random_bool(0.5);
    sim.deadly.silent = sim.rng.random_bool(0.5);
    sim.deadly.after_ms = sim.rng.random_range(0..500);
    sim.faults = Faults { lost: 20, late: 30, duplicated: 30 };
    sim.run_ms(200);
    let mut jobs = Vec::new();
    for number in 0..JOBS {
        let (queue, steps) = random_steps(&mut sim);
        jobs.push(sim.submit(number + 1, record(queue, steps)));
        sim.run_ms(FAULTS_MS / JOBS);
        inject_fault(&mut sim);
    }
    sim.heal();
    let mut waited_ms = 0;
    let open = |sim: &Simulation| {
        sim.is_loading() || jobs.iter().any(|job| !sim.phase(*job).has_ended())
    };
    while open(&sim) && waited_ms < RECOVERY_MS {
        sim.run_ms(500);
        waited_ms += 500;
    }
    for job in &jobs {
        let phase = sim.phase(*job);
        assert!(phase.has_ended(), "seed {seed}: {job} is {phase:?}");
        let is_deadly = sim.deadly.jobs.contains(job);
        if is_deadly {
            assert_eq!(phase, JobPhase::Failed, "seed {seed}: {job}");
        }
    }
    sim.assert_invariants();
}

/// Guards against tasks that go on crashing workers under faults that nobody
/// thought of together.
#[test]
fn deadly_jobs_end() {
    for seed in 0..SEEDS {
        run_history(seed);
    }
}
