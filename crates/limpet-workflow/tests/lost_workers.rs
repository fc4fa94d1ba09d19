//! Tasks of a lost worker start elsewhere, but not before its lease expires.

mod simulation;

use limpet_workflow::{
    Effect, EngineOptions, JobKey, JobPhase, StartOutcome, StopOrder,
    StopReason,
};

use self::simulation::{Simulation, record, step};

#[test]
fn restart_after_lease_expiry() {
    let mut sim = Simulation::new(1, 2);
    sim.run_ms(200);
    let job = sim.submit(1, record("urgent", vec![step(1, 1_000, 30_000)]));
    sim.run_ms(1_000);
    let holder = usize::from(sim.starts[0].2 == "w1");
    sim.workers[holder].disconnected = true;
    let disconnected_ms = sim.now_ms;
    sim.run_ms(12_000);
    assert_eq!(sim.starts.len(), 2);
    let hold_ms = EngineOptions::default().hold_ms;
    assert!(sim.starts[1].0 >= disconnected_ms + hold_ms - 200);
    assert_eq!(sim.phase(job), JobPhase::Running);
    sim.assert_invariants();
}

#[test]
fn restart_at_once_after_worker_restart() {
    let mut sim = Simulation::new(2, 2);
    sim.run_ms(200);
    sim.submit(1, record("urgent", vec![step(1, 1_000, 30_000)]));
    sim.run_ms(1_000);
    let holder = usize::from(sim.starts[0].2 == "w1");
    sim.restart_worker(holder);
    sim.run_ms(1_000);
    assert_eq!(sim.starts.len(), 2);
    sim.assert_invariants();
}

/// Returns a simulation in which the start order of job 1 got no reply, and
/// the stop order that the worker's next incarnation has to get.
fn unanswered_start() -> (Simulation, Effect) {
    let mut sim = Simulation::new(3, 1);
    sim.run_ms(200);
    let job = sim.submit(1, record("urgent", vec![step(1, 1_000, 5_000)]));
    let order = sim.order_start(job);
    let now = sim.now();
    let (task, run) = (order.task, order.run);
    let unknown = StartOutcome::Unknown;
    sim.engine.report_start(0, task, run, unknown, now);
    let order = StopOrder { worker: 0, task, run };
    let reason = StopReason::WorkerRestarted;
    let stop = Effect::Stop { order, reason };
    (sim, stop)
}

/// An unanswered start order may reach the next incarnation of the worker, so
/// the run is stopped there.
#[test]
fn stop_for_next_incarnation() {
    let (mut sim, stop) = unanswered_start();
    sim.engine.take_effects();
    sim.restart_worker(0);
    assert!(sim.engine.take_effects().contains(&stop));
}

/// The run is also stopped if its claim was released before the restart, so
/// that only the unanswered order is remembered.
#[test]
fn stop_for_released_claim() {
    let (mut sim, stop) = unanswered_start();
    let now = sim.now();
    assert!(sim.engine.cancel_job(JobKey(1), now));
    sim.run_ms(500);
    assert_eq!(sim.engine.claims_of(0), Vec::new());
    sim.restart_worker(0);
    assert!(sim.engine.take_effects().contains(&stop));
}

#[test]
fn cancelled_runs_are_stopped() {
    let mut sim = Simulation::new(4, 1);
    sim.run_ms(200);
    let job = sim.submit(1, record("urgent", vec![step(1, 1_000, 20_000)]));
    sim.run_ms(500);
    let now = sim.now();
    assert!(sim.engine.cancel_job(job, now));
    sim.run_ms(500);
    assert!(sim.workers[0].runs.is_empty());
    assert_eq!(sim.phase(job), JobPhase::Cancelled);
}
