//! Steps that can't be placed don't keep others from being placed.

mod simulation;

use std::sync::Arc;

use limpet_core::Resources;
use limpet_workflow::{AdvicePolicy, JobKey, StepSpec};

use self::simulation::{Simulation, record, step};

/// The time for which a job may wait without a reason.
const MAX_WAIT_MS: u64 = 3_000;

/// Returns a cell in which no team has a limit.
fn cell(workers: usize, advice: Option<AdvicePolicy>) -> Simulation {
    let mut sim = Simulation::new(1, workers);
    for queue in &mut sim.config.queues {
        queue.policy.advice = advice;
    }
    sim.config.teams[0].limit = Resources::UNLIMITED;
    sim.config.teams[0].weight = 1e9;
    sim.config.revision += 1;
    sim.history.limits.clear();
    sim.engine.set_config(Arc::new(sim.config.clone()));
    sim.run_ms(200);
    sim
}

/// Submits urgent jobs that name a label which no worker has.
fn submit_unhosted(sim: &mut Simulation, count: u64) {
    for key in 0..count {
        let label = Some("none".to_owned());
        let spec = StepSpec { required_label: label, ..step(1, 1_000, 1_000) };
        sim.submit(1_000_000 + key, record("urgent", vec![spec]));
    }
}

/// Submits jobs of single tasks, and returns the next free key.
fn submit_single(
    sim: &mut Simulation,
    keys: std::ops::Range<u64>,
    spec: &StepSpec,
) -> u64 {
    for key in keys.clone() {
        sim.submit(key, record("batch", vec![spec.clone()]));
    }
    keys.end
}

fn has_started(sim: &Simulation, job: JobKey) -> bool {
    sim.starts.iter().any(|(_, task, _)| task.step.job == job)
}

/// Guards against gangs that wait for turns that unplaceable steps use up, and
/// lose the room that they have reserved.
#[test]
fn gang_beside_unhosted() {
    let mut sim = cell(40, None);
    let single = step(1, 8_000, 400);
    let mut key = submit_single(&mut sim, 10_000..10_200, &single);
    submit_unhosted(&mut sim, 300);
    sim.run_ms(1_000);
    let members = StepSpec { gang: true, ..step(10, 12_000, 1_000) };
    let gang = sim.submit(1, record("gang", vec![members]));
    for _ in 0..MAX_WAIT_MS / 50 {
        key = submit_single(&mut sim, key..key + 10, &single);
        sim.run_ms(50);
    }
    assert!(has_started(&sim, gang));
}

/// Guards against passes that unplaceable urgent steps use up, so that room
/// stays free beside a load that fits.
#[test]
fn load_beside_unhosted() {
    let mut sim = cell(350, None);
    submit_unhosted(&mut sim, 300);
    assert_eq!(load(&mut sim), 0);
}

/// Guards against passes that urgent steps use up which fit on the workers
/// but for which there is no room.
#[test]
fn load_beside_large() {
    let mut sim = cell(350, None);
    submit_lasting(&mut sim);
    for key in 0..300 {
        let large = step(1, 10_000, 1_000);
        sim.submit(1_000_000 + key, record("urgent", vec![large]));
    }
    assert_eq!(load(&mut sim), 0);
}

/// Guards against passes that are used up by looking for workers about which
/// advice could be requested.
#[test]
fn load_beside_advised() {
    let advice =
        AdvicePolicy { decide_ms: 11.0, per_worker_ms: 0.2, valid_ms: 2_500 };
    let mut sim = cell(350, Some(advice));
    sim.engine.set_advice_concurrency(38);
    submit_lasting(&mut sim);
    for key in 0..300 {
        let large = step(1, 10_000, 1_000);
        sim.submit(1_000_000 + key, record("urgent", vec![large]));
    }
    assert_eq!(load(&mut sim), 0);
}

/// Guards against gangs that lose what they have reserved between two turns.
#[test]
fn gang_between_turns() {
    let mut sim = cell(40, None);
    submit_lasting(&mut sim);
    // Each is smaller than those before it, and still too large.
    for key in 0..300 {
        let large = step(1, 15_000 - 10 * key, 1_000);
        sim.submit(1_000_000 + key, record("urgent", vec![large]));
    }
    let single = step(1, 8_000, 400);
    let mut key = submit_single(&mut sim, 10_000..10_200, &single);
    sim.run_ms(1_000);
    let members = StepSpec { gang: true, ..step(10, 9_000, 1_000) };
    let gang = sim.submit(1, record("gang", vec![members]));
    for _ in 0..MAX_WAIT_MS / 50 {
        key = submit_single(&mut sim, key..key + 10, &single);
        sim.run_ms(50);
    }
    assert!(has_started(&sim, gang));
}

/// Submits a task for each worker that lasts and leaves nine cores free.
fn submit_lasting(sim: &mut Simulation) {
    for key in 0..sim.workers.len() as u64 {
        let spec = StepSpec {
            // Two don't fit on one worker.
            task: Resources::new(7_000, 40_000, 0),
            long_running: true,
            ..step(1, 7_000, 600_000)
        };
        sim.submit(100 + key, record("urgent", vec![spec]));
    }
    sim.run_ms(1_000);
}

/// Submits 800 jobs of one core a second for 3 s. Returns how many of them
/// have not started half a second later.
fn load(sim: &mut Simulation) -> usize {
    let single = step(1, 1_000, 1_000);
    let mut key = 10_000;
    for _ in 0..60 {
        key = submit_single(sim, key..key + 40, &single);
        sim.run_ms(50);
    }
    sim.run_ms(500);
    (10_000..key).filter(|key| !has_started(sim, JobKey(*key))).count()
}
