//! Reports that have no place for all ends: what they don't list is not lost.

mod simulation;

use limpet_workflow::{JobKey, JobPhase};
use rand::RngExt;

use self::simulation::{Simulation, record, step};

const JOB: JobKey = JobKey(1);
/// The most ends that a report lists here.
const AT_ONCE: usize = 3;
/// A seed with which no run fails.
const SEED: u64 = 3;
/// The number of simulated histories, one per seed.
const SEEDS: u64 = 60;

/// Returns a cell whose workers list [`AT_ONCE`] ends at a time.
fn cell(seed: u64, workers: usize) -> Simulation {
    let mut sim = Simulation::new(seed, workers);
    for worker in &mut sim.workers {
        worker.ends_at_once = AT_ONCE;
    }
    // Until the leases of an earlier owner would have expired.
    sim.run_ms(10_000);
    sim
}

/// Guards against tasks that run twice: more of them ended than a report lists
/// while their ends could not be stored, and the others were taken for lost.
#[test]
fn more_ends_than_listed() {
    let mut sim = cell(SEED, 1);
    sim.submit(JOB.0, record("batch", vec![step(12, 1_000, 1_000)]));
    sim.run_ms(500);
    assert_eq!(sim.starts.len(), 12);
    sim.store_unavailable = true;
    sim.run_ms(4_000);
    sim.store_unavailable = false;
    sim.run_ms(3_000);
    assert!(sim.phase(JOB).has_ended());
    let runs = sim.run_times.len();
    assert_eq!(sim.starts.len(), 12, "{runs} runs were done");
    sim.assert_invariants();
}

/// Guards against runs that go on although earlier ones of their tasks were
/// done: the claims were released while the worker was cut off, and the ends
/// come in several reports.
#[test]
fn released_runs() {
    let mut sim = cell(SEED, 1);
    sim.submit(JOB.0, record("batch", vec![step(12, 1_000, 1_000)]));
    sim.run_ms(500);
    sim.workers[0].disconnected = true;
    sim.run_ms(7_000);
    assert!(sim.engine.claims_of(0).is_empty(), "the lease has expired");
    assert_eq!(sim.run_times.len(), 12);
    sim.workers[0].disconnected = false;
    // Shorter than another run takes.
    sim.run_ms(900);
    assert_eq!(sim.phase(JOB), JobPhase::Completed);
    sim.assert_invariants();
}

/// Guards against claims that stay for good, over random histories: a run that
/// a complete report lacks is lost.
#[test]
fn random_outages() {
    for seed in 0..SEEDS {
        let mut sim = cell(seed, 3);
        let mut jobs = Vec::new();
        for number in 1..=6 {
            let spec = step(sim.rng.random_range(4..12), 700, 600);
            jobs.push(sim.submit(number, record("batch", vec![spec])));
            sim.store_unavailable = sim.rng.random_bool(0.5);
            let pause_ms = sim.rng.random_range(300..1_500);
            sim.run_ms(pause_ms);
            match sim.rng.random_range(0..4) {
                0 => sim.take_over(),
                1 => sim.restart_worker(0),
                _ => {}
            }
            for worker in &mut sim.workers {
                worker.ends_at_once = AT_ONCE;
            }
        }
        sim.store_unavailable = false;
        sim.run_ms(20_000);
        for job in jobs {
            let phase = sim.phase(job);
            assert!(
                matches!(phase, JobPhase::Completed | JobPhase::Failed),
                "seed {seed}: {job} is {phase:?}"
            );
        }
        for slot in sim.engine.worker_slots() {
            assert!(sim.engine.claims_of(slot).is_empty(), "seed {seed}");
        }
        sim.assert_invariants();
    }
}
