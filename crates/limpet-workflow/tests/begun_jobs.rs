//! A job has begun once a worker has confirmed a run of it.

mod simulation;

use limpet_workflow::{JobPhase, StartOutcome};

use self::simulation::{World, record, step};

#[test]
fn refused_start() {
    let mut world = World::new(1, 1);
    world.run_ms(200);
    let job = world.submit(1, record("batch", vec![step(1, 1_000, 100)]));
    let order = world.order_start(job);
    let now = world.now();
    world.engine.report_start(
        order.worker,
        order.task,
        order.run,
        StartOutcome::Refused,
        now,
    );
    assert_eq!(world.phase(job), JobPhase::Queued);
    assert_eq!(world.engine.pending("batch"), 1);
}

#[test]
fn confirmed_start() {
    let mut world = World::new(1, 1);
    world.run_ms(200);
    let job = world.submit(1, record("batch", vec![step(1, 1_000, 2_000)]));
    world.run_ms(100);
    assert_eq!(world.phase(job), JobPhase::Running);
    assert_eq!(world.engine.pending("batch"), 0);
}
