//! Work moves off workers on which it stands still, and off no others.

mod simulation;

use limpet_workflow::{Effect, JobPhase, StepSpec};

use self::simulation::{World, record, step};

#[test]
fn still_worker() {
    let mut world = World::new(1, 4);
    world.run_ms(200);
    world.workers[0].still = true;
    let mut jobs = Vec::new();
    for key in 1..=6 {
        let steps = vec![step(6, 1_500, 1_500)];
        jobs.push(world.submit(key, record("batch", steps)));
    }
    world.run_ms(12_000);
    for job in jobs {
        assert_eq!(world.phase(job), JobPhase::Completed);
    }
    world.assert_kept();
}

/// Estimates that are three times too short say nothing of a worker.
#[test]
fn wrong_estimates() {
    let mut world = World::new(2, 3);
    world.run_ms(200);
    let spec = StepSpec { estimate_ms: 6_000, ..step(6, 1_000, 0) };
    world.submit(1, record("batch", vec![spec]));
    for _ in 0..40 {
        world.run_ms(100);
        // The work goes on at a third of the estimate's pace.
        for worker in &mut world.workers {
            for run in worker.runs.values_mut() {
                run.works_ms = 18_000;
            }
        }
        let now = world.now();
        world.engine.schedule(now);
        let effects = world.engine.take_effects();
        let suspect = |one: &Effect| matches!(one, Effect::Suspect { .. });
        assert!(!effects.iter().any(suspect), "{effects:?}");
    }
}

/// A task that stands still wherever it runs is not moved for good.
#[test]
fn still_everywhere() {
    let mut world = World::new(3, 3);
    world.run_ms(200);
    for worker in &mut world.workers {
        worker.still = true;
    }
    let job = world.submit(1, record("batch", vec![step(1, 1_000, 500)]));
    world.run_ms(30_000);
    assert!(world.starts.len() <= 3, "{}", world.starts.len());
    for worker in &mut world.workers {
        worker.still = false;
    }
    world.run_ms(2_000);
    assert!(world.phase(job).has_ended());
    world.assert_kept();
}
