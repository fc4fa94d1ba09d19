//! The cores of fast workers that are left free for urgent steps, and steps
//! that can run nowhere else.

mod simulation;

use limpet_workflow::{AdvicePolicy, JobPhase, StepSpec};

use self::simulation::{Simulation, advised_cell, record, step};

/// The workers of 16 cores, every third of which is fast.
const WORKERS: usize = 30;
/// The label of the fast ones.
const FAST: &str = "fast";
/// A job may have nothing running for so long while there is room for it, says
/// the platform's rule.
const IDLE_MS: u64 = 3_000;

/// Returns an idle cell that knows which of its workers are fast.
fn learnt_cell() -> Simulation {
    let advice =
        AdvicePolicy { decide_ms: 10.0, per_worker_ms: 0.1, valid_ms: 2_500 };
    let mut sim = advised_cell(1, WORKERS, advice, 40);
    for (number, worker) in sim.workers.iter_mut().enumerate() {
        let is_fast = number.is_multiple_of(3);
        worker.speed_percent = if is_fast { 170 } else { 70 };
        worker.labels =
            if is_fast { vec![FAST.to_owned()] } else { Vec::new() };
    }
    for number in 0..WORKERS {
        sim.list(number);
    }
    for key in 0..100 {
        sim.submit(100 + key, record("batch", vec![step(25, 2_000, 1_000)]));
        sim.run_ms(200);
    }
    sim.run_ms(5_000);
    assert!(sim.engine.speed_bands().len() > 1);
    sim
}

/// Returns whether tasks of the least urgent queue that need fast workers
/// start in time.
fn starts_in_time(spec: StepSpec) -> bool {
    let mut sim = learnt_cell();
    let spec = StepSpec { required_label: Some(FAST.to_owned()), ..spec };
    sim.starts.clear();
    let job = sim.submit(1, record("batch", vec![spec]));
    sim.run_ms(IDLE_MS);
    sim.assert_invariants();
    !sim.starts.is_empty() && sim.phase(job) == JobPhase::Running
}

/// Guards against a task that never starts: it needs more of a fast worker
/// than is left beside the cores for urgent steps.
#[test]
fn large_task() {
    assert!(starts_in_time(step(1, 14_000, 10_000)));
}

/// Guards against a task that lasts and never starts, for the same reason.
#[test]
fn large_lasting_task() {
    let spec = StepSpec { long_running: true, ..step(1, 14_000, 0) };
    assert!(starts_in_time(spec));
}

/// Guards against a gang that gathers room for its members on fast workers,
/// and can't use all of it.
#[test]
fn gang_on_fast() {
    // Three members fit on each of the ten.
    let spec = StepSpec { gang: true, ..step(24, 5_000, 10_000) };
    assert!(starts_in_time(spec));
}
