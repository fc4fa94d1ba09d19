//! Leases of workers that no owner reaches, when the ownership was released:
//! the next owner waits for what is left of them, and not anew.

mod simulation;

use limpet_workflow::{JobPhase, StepKey, StepSpec, TaskKey};
use rand::RngExt;

use self::simulation::{
    Faults, Simulation,
    histories::{inject_fault, random_steps},
    record, step,
};

/// The number of simulated histories, one per seed.
const SEEDS: u64 = 100;
/// The number of jobs in each history.
const JOBS: u64 = 14;
/// How long faults are injected.
const FAULTS_MS: u64 = 12_000;
/// The maximum time until all jobs have ended after the last fault.
const RECOVERY_MS: u64 = 60_000;
/// The longest time that a load takes.
const MAX_LOAD_MS: u64 = 2_000;

fn task(job: limpet_workflow::JobKey) -> TaskKey {
    StepKey { job, occurrence: 0, step: 0 }.task(0)
}

/// Returns when a task started again, in milliseconds after its worker fell
/// silent, with a handover each `gap_ms` from then on.
fn away_ms(gap_ms: u64) -> u64 {
    let mut sim = Simulation::new(1, 2);
    sim.run_ms(12_000);
    let lasting = StepSpec { long_running: true, ..step(1, 1_000, 0) };
    let job = sim.submit(1, record("urgent", vec![lasting]));
    sim.run_ms(500);
    assert_eq!(sim.starts_of(task(job)), 1);
    let silent = (0..2).find(|number| {
        sim.engine.claims_of(*number as u32).contains(&(task(job), 1))
    });
    sim.workers[silent.expect("a worker")].disconnected = true;
    let mut passed_ms = 0;
    while sim.starts_of(task(job)) == 1 && passed_ms < RECOVERY_MS {
        if passed_ms % gap_ms == 0 && passed_ms > 0 {
            sim.hand_over(0);
        }
        sim.run_ms(50);
        passed_ms += 50;
    }
    sim.assert_invariants();
    passed_ms
}

/// Guards against a wait that each handover begins anew.
#[test]
fn one_wait() {
    let undisturbed_ms = away_ms(RECOVERY_MS);
    for gap_ms in [1_000, 2_500, 500] {
        let with_handovers_ms = away_ms(gap_ms);
        assert!(
            with_handovers_ms <= undisturbed_ms + 500,
            "{with_handovers_ms} ms in place of {undisturbed_ms} ms, with a \
             handover each {gap_ms} ms"
        );
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
        if sim.rng.random_bool(0.5) {
            let load_ms = sim.rng.random_range(0..MAX_LOAD_MS);
            sim.hand_over(load_ms);
        }
    }
    sim.heal();
    let mut waited_ms = 0;
    let open =
        |sim: &Simulation| jobs.iter().any(|job| !sim.phase(*job).has_ended());
    while (sim.is_loading() || open(&sim)) && waited_ms < RECOVERY_MS {
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
    sim.assert_invariants();
}

/// Guards against a task that starts again while its first run still holds a
/// lease, over random histories of handovers and faults.
#[test]
fn no_early_expiry() {
    for seed in 0..SEEDS {
        run_history(seed);
    }
}
