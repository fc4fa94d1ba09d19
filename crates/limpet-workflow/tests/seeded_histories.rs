//! The promises hold over seeded histories with late, lost and doubled
//! orders, takeovers, cuts and workers that start anew.

mod simulation;

use limpet_workflow::{JobPhase, StepSpec};
use rand::RngExt;

use self::simulation::{Faults, World, record, step};

/// Histories that are played.
const SEEDS: u64 = 1_000;
/// Jobs in each.
const JOBS: u64 = 14;
/// How long trouble comes.
const TROUBLE_MS: u64 = 8_000;
/// How long it takes at most until all jobs have ended: each lapse takes
/// some 8 s, and late orders come up to 12 s after they were sent.
const CALM_MS: u64 = 60_000;

fn random_steps(world: &mut World) -> (&'static str, Vec<StepSpec>) {
    let rng = &mut world.rng;
    match rng.random_range(0..3) {
        0 => ("urgent", vec![step(rng.random_range(1..4), 1_400, 500)]),
        1 => {
            let count = rng.random_range(2..5);
            let gang = StepSpec { gang: true, ..step(count, 4_500, 1_200) };
            ("gang", vec![gang])
        }
        _ => {
            let first = StepSpec {
                checkpointing: rng.random_bool(0.8),
                max_per_worker: rng.random_range(0..3),
                ..step(rng.random_range(1..6), 900, 800)
            };
            let second = StepSpec { after: vec![0], ..step(2, 900, 400) };
            ("batch", vec![first, second])
        }
    }
}

fn trouble(world: &mut World) {
    let number = world.rng.random_range(0..world.workers.len());
    match world.rng.random_range(0..12) {
        0 => world.take_over(),
        1 => world.restart_worker(number),
        2 => world.workers[number].cut = true,
        3 => world.workers[number].still = true,
        4 => world.store_down = true,
        5..8 => {
            world.store_down = false;
            for worker in &mut world.workers {
                worker.cut = false;
                worker.still = false;
            }
        }
        _ => {}
    }
}

fn play(seed: u64) {
    let mut world = World::new(seed, 5);
    world.faults = Faults { lost: 20, late: 30, doubled: 30 };
    world.run_ms(200);
    let mut jobs = Vec::new();
    for number in 0..JOBS {
        let (queue, steps) = random_steps(&mut world);
        jobs.push(world.submit(number + 1, record(queue, steps)));
        world.run_ms(TROUBLE_MS / JOBS);
        trouble(&mut world);
    }
    world.faults = Faults::default();
    world.store_down = false;
    for worker in &mut world.workers {
        worker.cut = false;
        worker.still = false;
    }
    let mut waited_ms = 0;
    let open =
        |world: &World| jobs.iter().any(|job| !world.phase(*job).has_ended());
    while open(&world) && waited_ms < CALM_MS {
        world.run_ms(500);
        waited_ms += 500;
    }
    for job in &jobs {
        let phase = world.phase(*job);
        assert!(
            matches!(phase, JobPhase::Completed | JobPhase::Failed),
            "seed {seed}: {job} is {phase:?}"
        );
    }
    let broken = std::mem::take(&mut world.history.violations);
    assert_eq!(broken, Vec::<String>::new(), "seed {seed}");
    world.assert_kept();
}

#[test]
fn kept_promises() {
    for seed in 0..SEEDS {
        play(seed);
    }
}
