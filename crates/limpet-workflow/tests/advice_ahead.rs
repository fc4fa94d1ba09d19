//! Advice is asked for before there is room, while tasks keep ending.

mod simulation;

use std::sync::Arc;

use limpet_core::Resources;
use limpet_workflow::{JobKey, StepSpec};

use self::simulation::{World, record, step};

fn unlimited_world() -> World {
    let mut world = World::new(1, 2);
    world.config.teams[0].limit = Resources::UNLIMITED;
    world.config.revision += 1;
    world.history.limits.clear();
    world.engine.set_config(Arc::new(world.config.clone()));
    world.run_ms(200);
    world
}

fn asked(world: &World, job: JobKey) -> bool {
    world.asks.iter().any(|(step, _)| step.job == job)
}

/// Short jobs keep 20 of 32 cores busy. What they free soon is asked for
/// beside what is free.
#[test]
fn more_than_is_free() {
    let mut world = unlimited_world();
    for number in 0..50 {
        let steps = vec![step(2, 1_000, 200)];
        world.submit(100 + number, record("batch", steps));
        world.run_ms(20);
    }
    let wide = |world: &mut World, key| {
        world.submit(key, record("gang", vec![step(8, 1_000, 300)]))
    };
    let jobs: Vec<JobKey> = (1..5).map(|key| wide(&mut world, key)).collect();
    world.run_ms(15);
    assert!(jobs.iter().all(|job| asked(&world, *job)), "{:?}", world.asks);
    world.run_ms(2_000);
    assert!(jobs.iter().all(|job| world.phase(*job).has_ended()));
    world.assert_kept();
}

/// A call for a gang takes nothing from others: its room is gathered later.
#[test]
fn beside_a_gang() {
    let mut world = unlimited_world();
    let gang = StepSpec { gang: true, ..step(6, 5_000, 400) };
    let gang = world.submit(1, record("gang", vec![gang]));
    let job = world.submit(2, record("gang", vec![step(2, 1_000, 300)]));
    world.run_ms(15);
    assert!(asked(&world, gang) && asked(&world, job));
    world.run_ms(1_000);
    assert!(world.phase(job).has_ended());
    world.assert_kept();
}
