//! Advice requests of ended jobs do not count as in progress.

mod simulation;

use limpet_workflow::JobKey;

use self::simulation::{Simulation, record, step};

/// Guards against requests of cancelled jobs that block later ones: in each
/// round, more jobs than may request advice at once are cancelled while they
/// wait for it.
#[test]
fn later_job_gets_advice() {
    let mut sim = Simulation::new(1, 4);
    sim.run_ms(200);
    for round in 0..4 {
        let keys = round * 100 + 1..round * 100 + 13;
        let jobs: Vec<JobKey> = keys
            .map(|key| {
                let steps = vec![step(2, 1_000, 300)];
                sim.submit(key, record("gang", steps))
            })
            .collect();
        sim.run_ms(10);
        assert!(!sim.advice_requests.is_empty());
        let now = sim.now();
        for job in jobs {
            sim.engine.cancel_job(job, now);
        }
        sim.run_ms(200);
    }
    let job = sim.submit(1_000, record("gang", vec![step(2, 1_000, 300)]));
    sim.run_ms(1_000);
    assert!(sim.phase(job).has_ended(), "{:?}", sim.phase(job));
    sim.assert_invariants();
}
