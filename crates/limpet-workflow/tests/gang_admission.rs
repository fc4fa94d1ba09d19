//! Gangs and batch work that compete for too little room.

mod simulation;

use std::collections::BTreeMap;

use limpet_workflow::{AdvicePolicy, JobKey, StepSpec, StopReason, TaskKey};

use self::simulation::{Simulation, advised_cell, record, step};

/// The workers of 16 cores.
const WORKERS: usize = 100;
/// Advice whose fixed duration is that of 70 workers.
const SLOW_ADVICE: AdvicePolicy =
    AdvicePolicy { decide_ms: 455.0, per_worker_ms: 6.5, valid_ms: 2_500 };

fn gang(count: u32, cores_milli: u64, estimate_ms: u64) -> StepSpec {
    StepSpec { gang: true, ..step(count, cores_milli, estimate_ms) }
}

fn saving_batch(count: u32, cores_milli: u64, estimate_ms: u64) -> StepSpec {
    let step = step(count, cores_milli, estimate_ms);
    StepSpec { checkpointing: true, ..step }
}

/// Returns when the first run of each job began.
fn first_starts(sim: &Simulation) -> BTreeMap<u64, u64> {
    let mut first = BTreeMap::new();
    for (at_ms, task, _) in &sim.starts {
        first.entry(task.step.job.0).or_insert(*at_ms);
    }
    first
}

/// Plays 15 s of 1,400 cores of batch work and 360 cores of gangs on 1,600.
/// Returns the share of each that began within 3 s, in percent.
fn play_full_cell() -> (usize, usize) {
    let mut sim = advised_cell(1, WORKERS, SLOW_ADVICE, 40);
    sim.allowed_percent = 50;
    let mut submitted = BTreeMap::new();
    for number in 0..150 {
        let batch = record("batch", vec![saving_batch(25, 2_800, 2_000)]);
        sim.submit(2 * number, batch);
        submitted.insert(2 * number, sim.now_ms);
        if number % 5 == 0 {
            let members = record("gang", vec![gang(20, 4_500, 2_000)]);
            sim.submit(2 * number + 1, members);
            submitted.insert(2 * number + 1, sim.now_ms);
        }
        sim.run_ms(100);
    }
    sim.assert_invariants();
    let first = first_starts(&sim);
    let share = |is_gang: bool| {
        let jobs: Vec<u64> = submitted
            .keys()
            .copied()
            .filter(|job| (job % 2 == 1) == is_gang)
            .collect();
        let in_time = jobs.iter().filter(|job| {
            first.get(*job).is_some_and(|at| at - submitted[*job] <= 3_000)
        });
        in_time.count() * 100 / jobs.len()
    };
    (share(true), share(false))
}

/// Guards against batch work that takes each core that comes free, while the
/// gangs of a more urgent queue wait: batch work at 87% of the cell, and gangs
/// beside it that need another 22%. Batch work must not starve either.
#[test]
fn batch_yields() {
    let (gangs, batch) = play_full_cell();
    assert!(gangs >= 85, "{gangs}% of the gangs began in time");
    assert!(batch >= 40, "{batch}% of the batch jobs began in time");
}

/// Guards against batch work that yields until it misses its own objective: a
/// step that has to start soon takes room that gangs wait for.
#[test]
fn little_time_left() {
    let mut sim = advised_cell(1, 10, SLOW_ADVICE, 40);
    // Leaves 30 of 160 cores, fewer than are kept for urgent work and gangs.
    sim.submit(1, record("gang", vec![gang(10, 13_000, 60_000)]));
    sim.run_ms(2_000);
    for number in 2..6 {
        sim.submit(number, record("gang", vec![gang(10, 9_000, 60_000)]));
    }
    sim.run_ms(1_000);
    // Its objective is 1 s and three times its estimate with advice.
    sim.submit(100, record("batch", vec![step(1, 1_000, 3_000)]));
    sim.run_ms(3_000);
    assert!(!first_starts(&sim).contains_key(&100), "it yields at first");
    sim.run_ms(5_000);
    assert!(first_starts(&sim).contains_key(&100), "it starts in time");
}

/// Guards against urgent gangs that wait because less urgent ones have reserved
/// as much as gangs may: others gather where batch work runs on.
#[test]
fn urgent_gang_first() {
    let mut sim = advised_cell(1, WORKERS, SLOW_ADVICE, 40);
    // Leaves 4 cores of each worker, too few for a member of the gangs.
    sim.submit(1, record("batch", vec![step(100, 12_000, 60_000)]));
    sim.run_ms(2_000);
    for number in 10..90 {
        sim.submit(number, record("gang", vec![gang(4, 9_000, 4_000)]));
    }
    sim.run_ms(1_000);
    let submitted_ms = sim.now_ms;
    sim.submit(1_000, record("urgent", vec![gang(16, 2_500, 1_000)]));
    sim.run_ms(3_000);
    let began_ms = first_starts(&sim).get(&1_000).copied();
    let waited_ms = began_ms.map(|at| at - submitted_ms);
    assert!(waited_ms.is_some_and(|ms| ms <= 1_000), "{waited_ms:?}");
    sim.assert_invariants();
}

/// Guards against runs that are stopped for a gang that can't start then: on
/// one of its two workers a run ends later that would lose its work.
#[test]
fn stops_only_if_complete() {
    let advice =
        AdvicePolicy { decide_ms: 20.0, per_worker_ms: 1.0, valid_ms: 2_500 };
    let mut sim = advised_cell(1, 2, advice, 4);
    sim.submit(1, record("batch", vec![step(1, 12_000, 5_000)]));
    sim.run_ms(500);
    sim.submit(2, record("batch", vec![saving_batch(1, 12_000, 30_000)]));
    sim.run_ms(500);
    assert_eq!(sim.starts.len(), 2);
    sim.submit(3, record("gang", vec![gang(2, 10_000, 1_000)]));
    sim.run_ms(2_500);
    let is_gathered =
        |reason: &StopReason| matches!(reason, StopReason::Gathered { .. });
    let early = sim.stops.iter().any(|(_, _, reason)| is_gathered(reason));
    assert!(!early, "{:?}", sim.stops);
    sim.run_ms(5_000);
    let gathered: Vec<JobKey> = sim
        .stops
        .iter()
        .filter(|(_, _, reason)| is_gathered(reason))
        .map(|(_, task, _)| task.step.job)
        .collect();
    assert_eq!(gathered, [JobKey(2)]);
    let began = sim.starts.iter().filter(|(_, task, _)| is_of(task, 3));
    assert_eq!(began.count(), 2);
    sim.assert_invariants();
}

fn is_of(task: &TaskKey, job: u64) -> bool {
    task.step.job.0 == job
}

/// Guards against a second advice request where the first could have named
/// more workers for a fraction of its time: a gang of two members.
#[test]
fn wide_requests() {
    let mut sim = advised_cell(1, WORKERS, SLOW_ADVICE, 4);
    sim.submit(1, record("gang", vec![gang(2, 4_500, 1_000)]));
    sim.run_ms(50);
    let (_, workers) = &sim.advice_requests[0];
    assert!(workers.len() >= 30, "{} workers named", workers.len());
}

/// Guards against large gangs that wait for as long as small ones come: of
/// gangs at 90% of the cell, one in twelve needs a fifth of it. They have to
/// begin in time at least half as often as the others.
#[test]
fn large_gangs_begin() {
    let mut sim = advised_cell(1, WORKERS, SLOW_ADVICE, 40);
    sim.allowed_percent = 50;
    let mut submitted = Vec::new();
    for number in 0..180 {
        let is_large = number % 12 == 0;
        let count = if is_large { 70 } else { 8 };
        sim.submit(number, record("gang", vec![gang(count, 4_500, 2_000)]));
        submitted.push((number, sim.now_ms, is_large));
        sim.run_ms(80);
    }
    let first = first_starts(&sim);
    let share = |of_large: bool| {
        let of_size: Vec<_> =
            submitted.iter().filter(|job| job.2 == of_large).collect();
        let in_time = of_size.iter().filter(|(job, at_ms, _)| {
            first.get(job).is_some_and(|began| began - at_ms <= 4_000)
        });
        in_time.count() * 100 / of_size.len()
    };
    let (large, small) = (share(true), share(false));
    assert!(
        large * 2 >= small,
        "{large}% of the large, {small}% of the small"
    );
    sim.assert_invariants();
}

/// Guards against a gang that keeps room although the workers that advice
/// allows could not host all of its members if they were empty.
#[test]
fn impossible_gang_keeps_nothing() {
    let mut sim = advised_cell(1, 10, SLOW_ADVICE, 40);
    sim.allowed = vec!["w0".to_owned(), "w1".to_owned()];
    sim.submit(1, record("gang", vec![gang(8, 4_500, 2_000)]));
    let mut kept_milli = 0;
    for _ in 0..40 {
        sim.run_ms(50);
        let counts = sim.engine.counts(sim.now().steady);
        kept_milli = kept_milli.max(counts.reserved_cores_milli);
    }
    assert_eq!(kept_milli, 0);
}

/// Guards against batch work that yields in a cell of which half is free.
#[test]
fn half_free_cell() {
    let mut sim = advised_cell(1, 10, SLOW_ADVICE, 40);
    sim.submit(1, record("gang", vec![gang(5, 9_000, 60_000)]));
    sim.run_ms(2_000);
    // Waits: 8 more of its members than fit.
    sim.submit(2, record("gang", vec![gang(18, 9_000, 60_000)]));
    sim.run_ms(1_500);
    let submitted_ms = sim.now_ms;
    let batch = vec![step(85, 1_000, 2_000)];
    sim.submit(100, record("batch", batch));
    sim.run_ms(700);
    let began = sim
        .starts
        .iter()
        .filter(|(at, task, _)| *at >= submitted_ms && task.step.job.0 == 100);
    let began = began.count();
    assert!(began >= 35, "{began} of 85 tasks began");
}
