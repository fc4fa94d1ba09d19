//! Jobs of a queue that was removed from the configuration.

mod simulation;

use limpet_core::Resources;
use limpet_workflow::{CellConfig, JobKey, JobPhase, StepSpec, TeamConfig};

use self::simulation::{Simulation, config, record, step};

/// Removes a queue from the configuration.
fn remove_queue(sim: &mut Simulation, name: &str) {
    sim.config.revision += 1;
    sim.config.queues.retain(|queue| queue.name != name);
    sim.engine.set_config(sim.config.clone().into());
}

/// Returns a simulation in which the queue of a job was removed during the
/// job's first step.
fn job_of_removed_queue() -> (Simulation, JobKey) {
    let mut sim = Simulation::new(1, 2);
    sim.run_ms(200);
    let later = StepSpec { after: vec![0], ..step(1, 1_000, 100) };
    let steps = vec![step(2, 1_000, 300), later];
    let job = sim.submit(1, record("batch", steps));
    sim.run_ms(100);
    remove_queue(&mut sim, "batch");
    (sim, job)
}

#[test]
fn job_completes() {
    let (mut sim, job) = job_of_removed_queue();
    sim.run_ms(2_000);
    assert_eq!(sim.phase(job), JobPhase::Completed);
}

/// The next owner uses the policy that is stored with the job.
#[test]
fn job_completes_after_takeover() {
    let (mut sim, job) = job_of_removed_queue();
    sim.take_over();
    sim.run_ms(3_000);
    assert_eq!(sim.phase(job), JobPhase::Completed);
    sim.assert_invariants();
}

/// The configured policy takes precedence over the one stored with the job.
#[test]
fn configured_policy_applies() {
    let mut sim = Simulation::new(1, 2);
    sim.run_ms(200);
    let job = sim.submit(1, record("batch", vec![step(1, 1_000, 200)]));
    for queue in &mut sim.config.queues {
        queue.policy.service = "another".to_owned();
    }
    sim.take_over();
    sim.run_ms(1_000);
    assert_eq!(sim.phase(job), JobPhase::Queued);
}

/// Without a configuration the limits of teams are unknown, so nothing starts.
#[test]
fn waits_for_configuration() {
    let mut sim = Simulation::new(1, 2);
    sim.config = CellConfig::default();
    sim.take_over();
    let job = sim.submit(1, record("batch", vec![step(4, 1_000, 200)]));
    sim.run_ms(1_000);
    assert_eq!(sim.starts, Vec::new());
    let limit = Resources::new(2_000, 1_000, 0);
    sim.config = config();
    sim.config.teams =
        vec![TeamConfig { limit, ..sim.config.teams[0].clone() }];
    sim.engine.set_config(sim.config.clone().into());
    sim.run_ms(150);
    assert_eq!(sim.starts.len(), 2);
    sim.run_ms(1_000);
    assert_eq!(sim.phase(job), JobPhase::Completed);
}
