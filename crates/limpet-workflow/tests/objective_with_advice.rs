//! The latency objective of a job counts the requests for advice of its steps.

mod simulation;

use std::sync::Arc;

use limpet_core::Resources;
use limpet_workflow::AdvicePolicy;

use self::simulation::{Simulation, record, step};

/// Guards against a job that is put behind others as late although it can
/// still meet its objective, which allows for its advice.
#[test]
fn still_on_time() {
    let mut sim = Simulation::new(1, 1);
    sim.config.teams[0].limit = Resources::UNLIMITED;
    for queue in &mut sim.config.queues {
        let decide_ms = if queue.name == "gang" { 400.0 } else { 1.0 };
        queue.policy.advice = Some(AdvicePolicy {
            decide_ms,
            per_worker_ms: 0.0,
            valid_ms: 2_500,
        });
    }
    sim.config.revision += 1;
    sim.engine.set_config(Arc::new(sim.config.clone()));
    sim.run_ms(200);
    // Holds the only worker for 3.4 s. The others leave the headroom free.
    sim.submit(1, record("urgent", vec![step(1, 16_000, 3_400)]));
    sim.run_ms(100);
    // Three times 1.4 s and 1 s are its objective, so it is on time until an
    // age of 3.8 s; without the advice until 3 s.
    let advised = sim.submit(2, record("gang", vec![step(1, 15_000, 1_000)]));
    sim.run_ms(1_000);
    let other = sim.submit(3, record("batch", vec![step(1, 15_000, 1_000)]));
    sim.run_ms(4_500);
    let first = sim.starts.get(1).map(|(_, task, _)| task.step.job);
    assert_eq!(first, Some(advised), "{other} waits for it");
}
