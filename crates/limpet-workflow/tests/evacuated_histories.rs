//! Nothing is ordered in an evacuated data centre over random histories in
//! which evacuations come and go while orders are lost, late or doubled, the
//! owner changes, the store is away and workers restart.

mod simulation;

use limpet_core::Resources;
use limpet_workflow::{JobKey, JobPhase, StepKey, StepSpec};
use rand::RngExt;

use self::simulation::{Faults, Simulation, histories, record, step};

/// The number of simulated histories, one per seed.
const SEEDS: u64 = 300;
/// The number of jobs in each history.
const JOBS: u64 = 14;
/// The time between two jobs.
const PAUSE_MS: u64 = 600;
/// The data centres.
const CENTRES: [&str; 3] = ["z1", "z2", "z3"];
/// The number of tasks that last.
const LASTING: u32 = 4;
/// The maximum time until all jobs have ended after the last fault.
const RECOVERY_MS: u64 = 60_000;
/// The maximum time after the beginning of an evacuation at which an earlier
/// order starts a run: users grant 5 s.
const LATE_START_MS: u64 = 5_000;

/// Begins or ends an evacuation, or injects a fault. Workers are not cut off:
/// no stop reaches one that is.
fn act(sim: &mut Simulation) {
    let centre = CENTRES[sim.rng.random_range(0..CENTRES.len())];
    let number = sim.rng.random_range(0..sim.workers.len());
    match sim.rng.random_range(0..10) {
        0..4 => sim.evacuate(centre),
        4..6 => sim.end_evacuation(centre),
        6 => {
            let load_ms = sim.rng.random_range(0..2_000);
            sim.begin_takeover(load_ms);
        }
        7 => sim.restart_worker(number),
        8 => sim.store_unavailable = !sim.store_unavailable,
        _ => {
            let cores_milli = sim.rng.random_range(4..=16) * 1_000;
            sim.set_cores(number, cores_milli);
        }
    }
}

fn run_history(seed: u64) {
    let mut sim = Simulation::new(seed, 6);
    sim.config.teams[0].limit = Resources::UNLIMITED;
    sim.config.revision += 1;
    sim.history.limits.clear();
    sim.engine.set_config(std::sync::Arc::new(sim.config.clone()));
    sim.spread(&CENTRES);
    sim.faults = Faults { lost: 30, late: 30, duplicated: 30 };
    sim.run_ms(200);
    let service = StepSpec { long_running: true, ..step(LASTING, 2_000, 300) };
    let service = sim.submit(1_000, record("gang", vec![service]));
    let mut jobs = Vec::new();
    for number in 0..JOBS {
        let (queue, steps) = histories::random_steps(&mut sim);
        jobs.push(sim.submit(number + 1, record(queue, steps)));
        // Claims of the job are made, or orders under way, by then.
        let ahead_ms = sim.rng.random_range(0..100);
        sim.run_ms(ahead_ms);
        act(&mut sim);
        sim.run_ms(PAUSE_MS);
    }
    sim.heal();
    for centre in CENTRES {
        sim.end_evacuation(centre);
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
    // With all faults over, tasks that last leave a data centre. A lease of an
    // earlier owner ends after 9.3 s, and late orders arrive within 12 s.
    sim.run_ms(15_000);
    sim.evacuate("z3");
    sim.run_ms(5_000);
    assert_eq!(sim.runs_in("z3"), 0, "seed {seed}");
    let is_given_up = sim.phase(service) == JobPhase::Failed;
    for index in 0..LASTING {
        assert!(
            is_given_up || sim.is_running(lasting_task(service, index)),
            "seed {seed}: task {index} is away"
        );
    }
    let violations = std::mem::take(&mut sim.history.violations);
    assert_eq!(violations, Vec::<String>::new(), "seed {seed}");
    assert!(
        sim.longest_late_start_ms < LATE_START_MS,
        "seed {seed}: an order starts a run after {} ms",
        sim.longest_late_start_ms
    );
}

fn lasting_task(job: JobKey, index: u32) -> limpet_workflow::TaskKey {
    StepKey { job, occurrence: 0, step: 0 }.task(index)
}

/// Guards against orders in an evacuated data centre that only an interleaving
/// of several failures leads to.
#[test]
fn nothing_ordered() {
    for seed in 0..SEEDS {
        run_history(seed);
    }
}
