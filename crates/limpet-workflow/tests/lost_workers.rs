//! What ran on a worker that is silent starts elsewhere, but not too soon.

mod simulation;

use limpet_workflow::{
    Effect, EngineOptions, JobKey, JobPhase, StartOutcome, StopOrder,
};

use self::simulation::{World, record, step};

#[test]
fn after_the_lapse() {
    let mut world = World::new(1, 2);
    world.run_ms(200);
    let job = world.submit(1, record("urgent", vec![step(1, 1_000, 30_000)]));
    world.run_ms(1_000);
    let holder = usize::from(world.starts[0].2 == "w1");
    world.workers[holder].cut = true;
    let cut_ms = world.now_ms;
    world.run_ms(12_000);
    assert_eq!(world.starts.len(), 2);
    let hold_ms = EngineOptions::default().hold_ms;
    assert!(world.starts[1].0 >= cut_ms + hold_ms - 200);
    assert_eq!(world.phase(job), JobPhase::Running);
    world.assert_kept();
}

#[test]
fn lost_at_once_with_its_life() {
    let mut world = World::new(2, 2);
    world.run_ms(200);
    world.submit(1, record("urgent", vec![step(1, 1_000, 30_000)]));
    world.run_ms(1_000);
    let holder = usize::from(world.starts[0].2 == "w1");
    world.restart_worker(holder);
    world.run_ms(1_000);
    assert_eq!(world.starts.len(), 2);
    world.assert_kept();
}

/// Returns a world in which the start of job 1 got no answer, and the stop
/// that a later life of the worker is owed.
fn unanswered_start() -> (World, Effect) {
    let mut world = World::new(3, 1);
    world.run_ms(200);
    let job = world.submit(1, record("urgent", vec![step(1, 1_000, 5_000)]));
    let order = world.order_start(job);
    let now = world.now();
    let (task, run) = (order.task, order.run);
    let unknown = StartOutcome::Unknown;
    world.engine.report_start(0, task, run, unknown, now);
    let stop = Effect::Stop(StopOrder { worker: 0, task, run });
    (world, stop)
}

/// An order that got no answer may reach the next life under the same id, so
/// it is stopped there.
#[test]
fn stops_for_the_next_life() {
    let (mut world, stop) = unanswered_start();
    world.engine.take_effects();
    world.restart_worker(0);
    assert!(world.engine.take_effects().contains(&stop));
}

/// The same where the order's claim was given up meanwhile: nothing but the
/// order itself is left.
#[test]
fn stops_for_a_given_up_order() {
    let (mut world, stop) = unanswered_start();
    let now = world.now();
    assert!(world.engine.cancel_job(JobKey(1), now));
    world.run_ms(500);
    assert_eq!(world.engine.claims_of(0), Vec::new());
    world.restart_worker(0);
    assert!(world.engine.take_effects().contains(&stop));
}

#[test]
fn unknown_runs_are_stopped() {
    let mut world = World::new(4, 1);
    world.run_ms(200);
    let job = world.submit(1, record("urgent", vec![step(1, 1_000, 20_000)]));
    world.run_ms(500);
    let now = world.now();
    assert!(world.engine.cancel_job(job, now));
    world.run_ms(500);
    assert!(world.workers[0].runs.is_empty());
    assert_eq!(world.phase(job), JobPhase::Cancelled);
}
