//! Calls for advice of jobs that ended leave nothing behind.

mod simulation;

use limpet_workflow::JobKey;

use self::simulation::{World, record, step};

/// More jobs than calls may be under way are cancelled while they wait for
/// advice; the next one still gets its turn.
#[test]
fn next_job_is_asked_about() {
    let mut world = World::new(1, 4);
    world.run_ms(200);
    for round in 0..4 {
        let keys = round * 100 + 1..round * 100 + 13;
        let jobs: Vec<JobKey> = keys
            .map(|key| {
                let steps = vec![step(2, 1_000, 300)];
                world.submit(key, record("gang", steps))
            })
            .collect();
        world.run_ms(10);
        assert!(!world.asks.is_empty());
        let now = world.now();
        for job in jobs {
            world.engine.cancel_job(job, now);
        }
        world.run_ms(200);
    }
    let job = world.submit(1_000, record("gang", vec![step(2, 1_000, 300)]));
    world.run_ms(1_000);
    assert!(world.phase(job).has_ended(), "{:?}", world.phase(job));
    world.assert_kept();
}
