//! Takeovers with a load that takes long: leases are renewed meanwhile, and
//! reports are not applied before all claims are restored.

mod simulation;

use limpet_workflow::{EngineOptions, JobKey, JobPhase};

use self::simulation::{Simulation, record, step};

/// The duration of a load that outlasts the leases.
fn load_ms() -> u64 {
    2 * EngineOptions::default().hold_ms
}

/// Lets a new owner take over while a task of `task_ms` runs.
fn begin_load(seed: u64, task_ms: u64) -> (Simulation, JobKey) {
    let mut sim = Simulation::new(seed, 2);
    sim.run_ms(200);
    let job = sim.submit(1, record("urgent", vec![step(1, 1_000, task_ms)]));
    sim.run_ms(500);
    assert_eq!(sim.starts.len(), 1);
    sim.begin_takeover(load_ms());
    (sim, job)
}

fn finish_load(sim: &mut Simulation) {
    while sim.is_loading() {
        sim.run_ms(100);
    }
}

/// Leases that are not renewed during a load expire, and all runs with them.
#[test]
fn runs_outlast_load() {
    let (mut sim, job) = begin_load(1, 30_000);
    finish_load(&mut sim);
    sim.run_ms(40_000);
    assert_eq!(sim.phase(job), JobPhase::Completed);
    assert_eq!(sim.starts.len(), 1, "{:?}", sim.starts);
    sim.assert_invariants();
}

/// An end that is acknowledged before its claim is restored is lost, and the
/// task starts again.
#[test]
fn ends_during_load() {
    let (mut sim, job) = begin_load(2, 2_000);
    finish_load(&mut sim);
    sim.run_ms(5_000);
    assert_eq!(sim.phase(job), JobPhase::Completed);
    assert_eq!(sim.starts.len(), 1, "{:?}", sim.starts);
    sim.assert_invariants();
}

/// The checks find an owner that applies reports during a load.
#[test]
fn early_reports_found() {
    let (mut sim, _) = begin_load(2, 2_000);
    sim.applies_early_reports = true;
    finish_load(&mut sim);
    sim.run_ms(5_000);
    let violations = &sim.history.violations;
    let found = violations.iter().any(|v| v.contains("acknowledged end"));
    assert!(found, "{violations:?}");
}

/// A worker that restarts during a load keeps no runs, and its tasks start
/// again once the load has ended.
#[test]
fn restart_during_load() {
    let (mut sim, job) = begin_load(3, 3_000);
    sim.run_ms(1_000);
    let holder = usize::from(sim.starts[0].2 == "w1");
    sim.restart_worker(holder);
    finish_load(&mut sim);
    sim.run_ms(10_000);
    assert_eq!(sim.phase(job), JobPhase::Completed);
    assert_eq!(sim.starts.len(), 2, "{:?}", sim.starts);
    sim.assert_invariants();
}

/// Tasks of a worker that is lost after a renewal start elsewhere only once
/// the renewed lease has expired.
#[test]
fn lost_after_renewal() {
    let (mut sim, job) = begin_load(4, 30_000);
    sim.run_ms(load_ms() - 500);
    let holder = usize::from(sim.starts[0].2 == "w1");
    sim.workers[holder].disconnected = true;
    finish_load(&mut sim);
    sim.run_ms(10_000);
    assert_eq!(sim.phase(job), JobPhase::Running);
    assert_eq!(sim.starts.len(), 2, "{:?}", sim.starts);
    sim.assert_invariants();
}
