//! Tasks are moved away from workers on which they make no progress, and
//! only from those.

mod simulation;

use limpet_workflow::{Effect, JobPhase, StepSpec};

use self::simulation::{Simulation, record, step};

#[test]
fn stalled_worker() {
    let mut sim = Simulation::new(1, 4);
    sim.run_ms(200);
    sim.workers[0].stalled = true;
    let mut jobs = Vec::new();
    for key in 1..=6 {
        let steps = vec![step(6, 1_500, 1_500)];
        jobs.push(sim.submit(key, record("batch", steps)));
    }
    sim.run_ms(12_000);
    for job in jobs {
        assert_eq!(sim.phase(job), JobPhase::Completed);
    }
    sim.assert_invariants();
}

/// A worker is not suspect because all estimates are three times too short.
#[test]
fn wrong_estimates() {
    let mut sim = Simulation::new(2, 3);
    sim.run_ms(200);
    let spec = StepSpec { estimate_ms: 6_000, ..step(6, 1_000, 0) };
    sim.submit(1, record("batch", vec![spec]));
    for _ in 0..40 {
        sim.run_ms(100);
        // Tasks progress at a third of the estimated pace.
        for worker in &mut sim.workers {
            for run in worker.runs.values_mut() {
                run.duration_ms = 18_000;
            }
        }
        let now = sim.now();
        sim.engine.schedule(now);
        let effects = sim.engine.take_effects();
        let is_suspect =
            |effect: &Effect| matches!(effect, Effect::Suspect { .. });
        assert!(!effects.iter().any(is_suspect), "{effects:?}");
    }
}

/// Guards against workers that count as slow because their runs are so long
/// that whole percent take longer than a measurement.
#[test]
fn long_runs() {
    let mut sim = Simulation::new(4, 3);
    sim.run_ms(200);
    for key in 1..=3 {
        sim.submit(key, record("batch", vec![step(2, 1_000, 120_000)]));
    }
    sim.run_ms(10_000);
    assert_eq!(sim.starts.len(), 6, "no run is moved");
    let usable = sim.engine.counts(sim.now().steady).usable_workers;
    assert_eq!(usable, 3);
    sim.assert_invariants();
}

/// A task that makes no progress on any worker is moved a limited number of
/// times.
#[test]
fn stalled_everywhere() {
    let mut sim = Simulation::new(3, 3);
    sim.run_ms(200);
    for worker in &mut sim.workers {
        worker.stalled = true;
    }
    let job = sim.submit(1, record("batch", vec![step(1, 1_000, 500)]));
    sim.run_ms(30_000);
    assert!(sim.starts.len() <= 3, "{}", sim.starts.len());
    for worker in &mut sim.workers {
        worker.stalled = false;
    }
    sim.run_ms(2_000);
    assert!(sim.phase(job).has_ended());
    sim.assert_invariants();
}
