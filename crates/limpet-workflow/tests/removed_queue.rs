//! Jobs of a queue that the configuration no longer names.

mod simulation;

use limpet_core::Resources;
use limpet_workflow::{CellConfig, JobKey, JobPhase, StepSpec, TeamConfig};

use self::simulation::{World, config, record, step};

/// Removes a queue from the configuration.
fn remove_queue(world: &mut World, name: &str) {
    world.config.revision += 1;
    world.config.queues.retain(|queue| queue.name != name);
    world.engine.set_config(world.config.clone().into());
}

/// Returns a world in which a job's queue was removed during its first step.
fn job_of_removed_queue() -> (World, JobKey) {
    let mut world = World::new(1, 2);
    world.run_ms(200);
    let later = StepSpec { after: vec![0], ..step(1, 1_000, 100) };
    let steps = vec![step(2, 1_000, 300), later];
    let job = world.submit(1, record("batch", steps));
    world.run_ms(100);
    remove_queue(&mut world, "batch");
    (world, job)
}

#[test]
fn goes_on() {
    let (mut world, job) = job_of_removed_queue();
    world.run_ms(2_000);
    assert_eq!(world.phase(job), JobPhase::Completed);
}

/// The next owner knows the queue's policy from the job alone.
#[test]
fn goes_on_after_takeover() {
    let (mut world, job) = job_of_removed_queue();
    world.take_over();
    world.run_ms(3_000);
    assert_eq!(world.phase(job), JobPhase::Completed);
    world.assert_kept();
}

/// The newest configuration goes before the policy at the acceptance.
#[test]
fn newest_policy_counts() {
    let mut world = World::new(1, 2);
    world.run_ms(200);
    let job = world.submit(1, record("batch", vec![step(1, 1_000, 200)]));
    for queue in &mut world.config.queues {
        queue.policy.service = "another".to_owned();
    }
    world.take_over();
    world.run_ms(1_000);
    assert_eq!(world.phase(job), JobPhase::Queued);
}

/// Without a configuration the limits of teams aren't known.
#[test]
fn waits_for_configuration() {
    let mut world = World::new(1, 2);
    world.config = CellConfig::default();
    world.take_over();
    let job = world.submit(1, record("batch", vec![step(4, 1_000, 200)]));
    world.run_ms(1_000);
    assert_eq!(world.starts, Vec::new());
    let limit = Resources::new(2_000, 1_000, 0);
    world.config = config();
    world.config.teams =
        vec![TeamConfig { limit, ..world.config.teams[0].clone() }];
    world.engine.set_config(world.config.clone().into());
    world.run_ms(150);
    assert_eq!(world.starts.len(), 2);
    world.run_ms(1_000);
    assert_eq!(world.phase(job), JobPhase::Completed);
}
