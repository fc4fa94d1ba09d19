//! Gangs get their room, whatever else waits.

mod simulation;

use std::sync::Arc;

use limpet_core::Resources;
use limpet_workflow::{JobPhase, StepSpec};

use self::simulation::{World, record, step};

fn gang(count: u32, cores_milli: u64, estimate_ms: u64) -> StepSpec {
    StepSpec { gang: true, ..step(count, cores_milli, estimate_ms) }
}

/// Tickets for some of the room and workers that were never asked about used
/// to keep each other waiting for good.
#[test]
fn tickets_and_unknown_workers() {
    let mut world = World::new(1, 12);
    // Each worker has room for one member; every second one is allowed.
    world.allowed = (0..12).step_by(2).map(|n| format!("w{n}")).collect();
    world.run_ms(200);
    let job = world.submit(1, record("gang", vec![gang(6, 9_000, 500)]));
    world.run_ms(20_000);
    assert!(world.phase(job).has_ended());
    world.assert_kept();
}

/// Urgent tasks keep coming; they must keep off the room that gathers.
#[test]
fn beside_urgent_tasks() {
    let mut world = World::new(2, 6);
    world.config.teams[0].limit = Resources::UNLIMITED;
    world.config.revision += 1;
    world.history.limits.clear();
    world.engine.set_config(Arc::new(world.config.clone()));
    world.run_ms(200);
    let mut key = 10;
    let mut job = None;
    for number in 0..60 {
        for _ in 0..3 {
            key += 1;
            let steps = vec![step(2, 1_400, 900)];
            world.submit(key, record("urgent", steps));
        }
        if number == 20 {
            // All of two workers.
            let steps = vec![gang(6, 5_000, 1_000)];
            job = Some(world.submit(1, record("gang", steps)));
        }
        world.run_ms(200);
    }
    let job = job.expect("it was submitted");
    assert!(world.phase(job).has_ended(), "{:?}", world.phase(job));
    world.assert_kept();
}

/// Memory may bind where cores are free.
#[test]
fn memory_binds() {
    let mut world = World::new(3, 2);
    world.run_ms(200);
    let batch = StepSpec { checkpointing: true, ..step(8, 500, 6_000) };
    let batch = StepSpec { task: Resources::new(500, 15_000, 0), ..batch };
    world.submit(2, record("batch", vec![batch]));
    world.run_ms(500);
    let member = StepSpec {
        task: Resources::new(1_000, 40_000, 0),
        ..gang(2, 1_000, 500)
    };
    let job = world.submit(1, record("gang", vec![member]));
    world.run_ms(4_000);
    assert_eq!(world.phase(job), JobPhase::Completed);
    world.assert_kept();
}
