//! Gangs at 60% load: they take free room, and don't stop others for it.

mod simulation;

use limpet_workflow::{AdvicePolicy, StepSpec, StopReason};

use self::simulation::{Simulation, advised_cell, record, step};

/// The workers of 16 cores.
const WORKERS: usize = 100;

/// Returns a cell without limits in which all queues need advice, which
/// allows `allowed_percent` of the workers for each step.
fn gang_cell(allowed_percent: u64) -> Simulation {
    let advice =
        AdvicePolicy { decide_ms: 20.0, per_worker_ms: 0.3, valid_ms: 2_500 };
    let mut sim = advised_cell(1, WORKERS, advice, 40);
    sim.allowed_percent = allowed_percent;
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

/// Plays 10 s of the load. Returns how many runs were stopped to make room,
/// and how many were started.
fn play(allowed_percent: u64) -> (usize, usize) {
    let mut sim = gang_cell(allowed_percent);
    let mut key = 0;
    for _ in 0..100 {
        submit_load(&mut sim, &mut key);
        sim.run_ms(100);
    }
    let used = sim.engine.counts(sim.now().steady).used_cores_milli;
    assert!(used > 700_000, "{used} thousandths of a core are used");
    sim.assert_invariants();
    let is_room = |reason: &StopReason| {
        matches!(
            reason,
            StopReason::Gathered { .. } | StopReason::Preempted { .. }
        )
    };
    let stops = sim.stops.iter().filter(|(_, _, reason)| is_room(reason));
    (stops.count(), sim.starts.len())
}

/// Guards against gangs that stop batch work on the workers about which they
/// have asked, while others have room.
#[test]
fn free_room_first() {
    let (stops, starts) = play(35);
    assert_eq!(stops, 0, "of {starts} runs were stopped to make room");
}

/// Guards against gangs that stop batch work as soon as the workers of their
/// first answer are full: they ask about others with free room once more.
#[test]
fn asked_once_more() {
    let (stops, starts) = play(15);
    assert!(
        stops * 100 <= starts,
        "{stops} of {starts} runs were stopped to make room"
    );
}
