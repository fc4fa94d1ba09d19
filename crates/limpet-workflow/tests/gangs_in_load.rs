//! Gangs at 60% load: they take free room, and don't stop others for it.

mod simulation;

use std::sync::Arc;

use limpet_core::Resources;
use limpet_workflow::{AdvicePolicy, StepSpec, StopReason};

use self::simulation::{Simulation, record, step};

/// The workers of 16 cores.
const WORKERS: usize = 100;
/// The share of starts that may be stopped to make room, in percent.
const MAX_STOPPED_PERCENT: usize = 0;

/// Returns a cell without limits in which all queues need advice, which
/// allows `allowed_percent` of the workers for each step.
fn advised_cell(allowed_percent: u64) -> Simulation {
    let mut sim = Simulation::new(1, WORKERS);
    for queue in &mut sim.config.queues {
        queue.policy.advice = Some(AdvicePolicy {
            decide_ms: 20.0,
            per_worker_ms: 0.3,
            valid_ms: 2_500,
        });
    }
    sim.config.teams[0].limit = Resources::UNLIMITED;
    sim.config.revision += 1;
    sim.history.limits.clear();
    sim.engine.set_config(Arc::new(sim.config.clone()));
    sim.engine.set_advice_concurrency(40);
    sim.allowed_percent = allowed_percent;
    sim.run_ms(200);
    sim
}

/// Submits a tenth of a second's load for 1,600 cores: 500 cores of batch
/// work that saves its progress, 360 cores of gangs and 120 of urgent gangs.
fn submit_load(sim: &mut Simulation, key: &mut u64) {
    *key += 1;
    let batch = StepSpec { checkpointing: true, ..step(9, 2_800, 2_000) };
    sim.submit(*key, record("batch", vec![batch]));
    let gangs =
        [("gang", step(4, 4_500, 2_000)), ("urgent", step(3, 3_900, 1_000))];
    for (queue, spec) in gangs {
        *key += 1;
        let gang = StepSpec { gang: true, ..spec };
        sim.submit(*key, record(queue, vec![gang]));
    }
}

/// Guards against gangs that stop batch work on the workers about which they
/// have asked, while others have room.
#[test]
fn free_room_first() {
    let mut sim = advised_cell(35);
    let mut key = 0;
    for _ in 0..100 {
        submit_load(&mut sim, &mut key);
        sim.run_ms(100);
    }
    let used = sim.engine.counts(sim.now().steady).used_cores_milli;
    assert!(used > 700_000, "{used} thousandths of a core are used");
    let is_room = |reason: &StopReason| {
        matches!(
            reason,
            StopReason::Gathered { .. } | StopReason::Preempted { .. }
        )
    };
    let stops =
        sim.stops.iter().filter(|(_, _, reason)| is_room(reason)).count();
    let starts = sim.starts.len();
    assert!(
        stops * 100 <= starts * MAX_STOPPED_PERCENT,
        "{stops} of {starts} runs were stopped to make room"
    );
    sim.assert_invariants();
}
