//! The cost of scheduling passes depends on the fleet, not on the backlog.
//! Sizes are the targets of `docs/CAPACITY.md`.

mod simulation;

use limpet_workflow::{AdvicePolicy, StepSpec, WaitCause};

use self::simulation::{Simulation, advised_cell, record, step};

/// The workers at the target.
const WORKERS: usize = 680;
/// The claims at the target.
const CLAIMS: u64 = 5_200;
/// The steps that wait in the tests.
const BACKLOG: u64 = 600;
/// A pass may examine each worker and each claim this many times.
const MAX_LOOKS: u64 = 4;
/// The time for which a job may wait without a reason.
const MAX_WAIT_MS: u64 = 3_000;
/// The time that an examination takes on the smallest instance, which has
/// 0.12 of a core, if it takes 50 ns of a whole one.
const EXAMINATION_NS: u64 = 50 * 100 / 12;

/// Returns a cell without limits in which all queues need advice.
fn target_cell(seed: u64) -> Simulation {
    let advice =
        AdvicePolicy { decide_ms: 11.0, per_worker_ms: 0.2, valid_ms: 2_500 };
    advised_cell(seed, WORKERS, advice, 38)
}

/// Submits the backlog: urgent steps, gangs and steps of the least urgent
/// queue, with tasks as large as a worker.
fn submit_backlog(sim: &mut Simulation) {
    for key in 0..BACKLOG {
        let wide = step(2, 16_000, 1_000);
        let gang = StepSpec { gang: true, ..wide.clone() };
        let (queue, spec) = match key % 3 {
            0 => ("urgent", wide),
            1 => ("gang", gang),
            _ => ("batch", wide),
        };
        sim.submit(1_000_000 + key, record(queue, vec![spec]));
    }
}

/// Returns the most that a pass of the next 200 ms examines.
fn max_examined(sim: &mut Simulation) -> u64 {
    (0..40)
        .map(|_| {
            let before = sim.engine.examined();
            sim.run_ms(simulation::TICK_MS);
            sim.engine.examined() - before
        })
        .max()
        .expect("there are passes")
}

/// Guards against passes that examine all workers for each step that waits.
#[test]
fn bounded_passes() {
    let mut sim = target_cell(1);
    // Runs that are urgent and long leave no room and can't be preempted.
    for key in 0..WORKERS as u64 {
        let count = (CLAIMS / WORKERS as u64) as u32;
        let spec = step(count, 2_000, 60_000);
        sim.submit(1 + key, record("urgent", vec![spec]));
    }
    sim.run_ms(2_000);
    submit_backlog(&mut sim);
    let examined = max_examined(&mut sim);
    let bound = MAX_LOOKS * (WORKERS as u64 + CLAIMS);
    assert!(examined <= bound, "a pass examined {examined}, over {bound}");
}

/// Guards against a collapse that outlasts its cause: passes that a backlog
/// makes so slow that a load which fits the fleet never drains it.
#[test]
fn backlog_drains() {
    let mut sim = target_cell(2);
    sim.examination_ns = EXAMINATION_NS;
    let mut key = 0;
    let mut submit = |sim: &mut Simulation, count: u64| {
        for _ in 0..count {
            key += 1;
            let queue = if key % 4 == 0 { "batch" } else { "urgent" };
            let spec = step(4, 2_500, 1_000);
            sim.submit(key, record(queue, vec![spec]));
        }
    };
    submit(&mut sim, BACKLOG);
    // 660 starts a second use 15% of the cores.
    for _ in 0..160 {
        submit(&mut sim, 8);
        sim.run_ms(50);
    }
    let waiting = sim.engine.counts(sim.now().steady).waiting_steps;
    // A second's worth of the load.
    assert!(waiting <= 165, "{waiting} steps wait");
}

/// Guards against steps that never have a turn: passes that new and answered
/// urgent steps use up.
#[test]
fn all_have_turns() {
    let mut sim = target_cell(3);
    sim.allowed = (0..WORKERS).step_by(2).map(|n| format!("w{n}")).collect();
    let mut key = 1_000;
    let mut submit = |sim: &mut Simulation, count: u64| {
        for _ in 0..count {
            key += 1;
            sim.submit(key, record("urgent", vec![step(4, 2_500, 1_000)]));
        }
    };
    // More urgent jobs arrive than passes can visit.
    submit(&mut sim, 2 * BACKLOG);
    sim.run_ms(1_000);
    let gangs = 8;
    for gang in 1..=gangs {
        let members = StepSpec { gang: true, ..step(12, 9_000, 1_000) };
        sim.submit(gang, record("gang", vec![members]));
    }
    let mut turns = 0;
    for pass in 0..MAX_WAIT_MS / simulation::TICK_MS {
        if pass % 10 == 0 {
            submit(&mut sim, 40);
        }
        sim.run_ms(simulation::TICK_MS);
        let left = sim.engine.wait_counts().get(1, WaitCause::Turn) as u64;
        turns += gangs - left;
    }
    assert!(turns >= gangs, "{turns} turns for {gangs} gangs");
}
