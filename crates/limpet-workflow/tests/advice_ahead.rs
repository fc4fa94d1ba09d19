//! Advice is requested for cores that are expected to come free soon.

mod simulation;

use std::sync::Arc;

use limpet_core::Resources;
use limpet_workflow::{JobKey, StepSpec};

use self::simulation::{Simulation, record, step};

fn simulation_without_limits() -> Simulation {
    let mut sim = Simulation::new(1, 2);
    sim.config.teams[0].limit = Resources::UNLIMITED;
    sim.config.revision += 1;
    sim.history.limits.clear();
    sim.engine.set_config(Arc::new(sim.config.clone()));
    sim.run_ms(200);
    sim
}

fn has_advice_request(sim: &Simulation, job: JobKey) -> bool {
    sim.advice_requests.iter().any(|(step, _)| step.job == job)
}

/// Short jobs use 20 of 32 cores. Requests for 32 cores are made all the same:
/// for the free cores and for those that come free soon.
#[test]
fn cores_that_come_free_soon() {
    let mut sim = simulation_without_limits();
    for number in 0..50 {
        let steps = vec![step(2, 1_000, 200)];
        sim.submit(100 + number, record("batch", steps));
        sim.run_ms(20);
    }
    let wide = |sim: &mut Simulation, key| {
        sim.submit(key, record("gang", vec![step(8, 1_000, 300)]))
    };
    let jobs: Vec<JobKey> = (1..5).map(|key| wide(&mut sim, key)).collect();
    sim.run_ms(15);
    assert!(
        jobs.iter().all(|job| has_advice_request(&sim, *job)),
        "{:?}",
        sim.advice_requests
    );
    sim.run_ms(2_000);
    assert!(jobs.iter().all(|job| sim.phase(*job).has_ended()));
    sim.assert_invariants();
}

/// The advice request of a gang does not delay that of another job, as the
/// gang reserves its cores only after the answer.
#[test]
fn requests_beside_a_gang() {
    let mut sim = simulation_without_limits();
    let gang = StepSpec { gang: true, ..step(6, 5_000, 400) };
    let gang = sim.submit(1, record("gang", vec![gang]));
    let job = sim.submit(2, record("gang", vec![step(2, 1_000, 300)]));
    sim.run_ms(15);
    assert!(has_advice_request(&sim, gang) && has_advice_request(&sim, job));
    sim.run_ms(1_000);
    assert!(sim.phase(job).has_ended());
    sim.assert_invariants();
}
