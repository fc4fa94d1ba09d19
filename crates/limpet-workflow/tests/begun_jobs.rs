//! A job is running once a worker has confirmed a run of one of its tasks.

mod simulation;

use limpet_workflow::{JobPhase, StartOutcome};

use self::simulation::{Simulation, record, step};

#[test]
fn refused_start() {
    let mut sim = Simulation::new(1, 1);
    sim.run_ms(200);
    let job = sim.submit(1, record("batch", vec![step(1, 1_000, 100)]));
    let order = sim.order_start(job);
    let now = sim.now();
    sim.engine.report_start(
        order.worker,
        order.task,
        order.run,
        StartOutcome::Refused,
        now,
    );
    assert_eq!(sim.phase(job), JobPhase::Queued);
    assert_eq!(sim.engine.pending("batch"), 1);
}

#[test]
fn confirmed_start() {
    let mut sim = Simulation::new(1, 1);
    sim.run_ms(200);
    let job = sim.submit(1, record("batch", vec![step(1, 1_000, 2_000)]));
    sim.run_ms(100);
    assert_eq!(sim.phase(job), JobPhase::Running);
    assert_eq!(sim.engine.pending("batch"), 0);
}
