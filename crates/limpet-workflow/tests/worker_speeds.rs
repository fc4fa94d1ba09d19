//! Workers of different speed: a third of them runs tasks more than twice as
//! fast as the others.

mod simulation;

use limpet_core::Resources;
use limpet_workflow::{
    AdvicePolicy, Engine, EngineOptions, JobKey, StepSpec, TaskKey,
};

use self::simulation::{Simulation, advised_cell, record, step};

/// The workers of 16 cores, every third of which is fast.
const WORKERS: usize = 30;
const FAST_PERCENT: u64 = 170;
const SLOW_PERCENT: u64 = 70;

/// Returns a cell in which all queues need advice, which allows seven tenths
/// of the workers for each step.
fn uneven_cell(speed_percent: impl Fn(usize) -> u64) -> Simulation {
    let advice =
        AdvicePolicy { decide_ms: 10.0, per_worker_ms: 0.1, valid_ms: 2_500 };
    let mut sim = advised_cell(1, WORKERS, advice, 40);
    sim.allowed_percent = 70;
    for (number, worker) in sim.workers.iter_mut().enumerate() {
        worker.speed_percent = speed_percent(number);
    }
    sim
}

fn third_is_fast(number: usize) -> u64 {
    match number.is_multiple_of(3) {
        true => FAST_PERCENT,
        false => SLOW_PERCENT,
    }
}

/// Submits batch work for `seconds`: 25 tasks of 2 cores and 1 s each 200 ms,
/// some 250 of 480 cores.
fn run_batch(sim: &mut Simulation, key: &mut u64, seconds: u64) {
    for _ in 0..seconds * 5 {
        *key += 1;
        sim.submit(*key, record("batch", vec![step(25, 2_000, 1_000)]));
        sim.run_ms(200);
    }
}

/// Returns how many of the runs of a job were on fast workers, and how many
/// runs there were.
fn fast_runs(
    sim: &Simulation,
    is_of: impl Fn(&TaskKey) -> bool,
) -> (u32, u32) {
    let mut counts = (0, 0);
    for (_, task, worker) in &sim.starts {
        if is_of(task) {
            let number: usize = worker[1..].parse().expect("ids are w0, w1");
            counts.0 += u32::from(number.is_multiple_of(3));
            counts.1 += 1;
        }
    }
    counts
}

/// Guards against speeds that are not learnt, or only for some workers.
#[test]
fn bands_learnt() {
    let mut sim = uneven_cell(third_is_fast);
    run_batch(&mut sim, &mut 0, 20);
    let bands = sim.engine.speed_bands();
    let slow: usize =
        bands.iter().filter(|(band, _)| *band <= 0).map(|(_, n)| n).sum();
    let fast: usize =
        bands.iter().filter(|(band, _)| *band >= 3).map(|(_, n)| n).sum();
    assert_eq!((slow, fast), (20, 10), "{bands:?}");
}

/// Guards against urgent tasks on slow workers while fast ones have room, and
/// against batch work on the fast ones: urgent burst over batch work.
#[test]
fn urgent_on_fast() {
    let mut sim = uneven_cell(third_is_fast);
    let mut key = 0;
    run_batch(&mut sim, &mut key, 20);
    sim.starts.clear();
    let batch_keys = key;
    for _ in 0..50 {
        key += 1;
        sim.submit(1_000 + key, record("urgent", vec![step(3, 2_500, 700)]));
        sim.run_ms(40);
        if key.is_multiple_of(5) {
            let batch = vec![step(10, 2_000, 1_000)];
            sim.submit(100_000 + key, record("batch", batch));
        }
    }
    let is_urgent =
        |task: &TaskKey| (1_000..100_000).contains(&task.step.job.0);
    let (fast, urgent) = fast_runs(&sim, is_urgent);
    assert!(urgent >= 140, "{urgent} urgent runs");
    assert!(fast * 10 >= urgent * 9, "{fast} of {urgent} on fast workers");
    let is_batch = |task: &TaskKey| {
        task.step.job.0 >= 100_000 || task.step.job.0 <= batch_keys
    };
    let (fast, batch) = fast_runs(&sim, is_batch);
    assert!(batch > 0 && fast * 10 <= batch, "{fast} of {batch} batch runs");
    sim.assert_invariants();
}

/// Guards against gangs that hold fast workers at the pace of a slow one.
#[test]
fn gangs_alike() {
    let mut sim = uneven_cell(third_is_fast);
    let mut key = 0;
    run_batch(&mut sim, &mut key, 20);
    sim.starts.clear();
    for gang in 0..8 {
        let spec = StepSpec { gang: true, ..step(6, 4_000, 1_000) };
        sim.submit(1_000 + gang, record("gang", vec![spec]));
        sim.run_ms(500);
    }
    for gang in 0..8 {
        let (fast, all) =
            fast_runs(&sim, |task| task.step.job.0 == 1_000 + gang);
        assert_eq!((fast, all), (6, 6), "gang {gang}");
    }
}

/// Guards against placements that depend on noise: with the part enabled,
/// workers that differ by 10% get the same tasks as with it disabled.
#[test]
fn noise_changes_nothing() {
    let starts = |worker_speeds| {
        let mut sim = uneven_cell(|number| 95 + number as u64 % 3 * 5);
        sim.engine = Engine::new(EngineOptions {
            worker_speeds,
            ..EngineOptions::default()
        });
        sim.reconfigure();
        sim.run_ms(200);
        sim.starts.clear();
        run_batch(&mut sim, &mut 0, 10);
        assert_eq!(sim.engine.speed_bands(), [(0, WORKERS)]);
        sim.starts
    };
    assert_eq!(starts(true), starts(false));
}

/// Guards against an owner that learns all speeds anew after a takeover.
#[test]
fn restored_speeds() {
    let mut sim = uneven_cell(third_is_fast);
    run_batch(&mut sim, &mut 0, 20);
    let speeds = sim.engine.machine_speeds();
    let bands = sim.engine.speed_bands();
    sim.take_over();
    sim.engine.restore_speeds(&speeds);
    sim.run_ms(100);
    assert_eq!(sim.engine.speed_bands(), bands);
}

/// Guards against a machine that counts as fast for good: its speed is learnt
/// anew after it has changed.
#[test]
fn changed_speed() {
    let mut sim = uneven_cell(third_is_fast);
    let mut key = 0;
    run_batch(&mut sim, &mut key, 20);
    sim.workers[0].speed_percent = SLOW_PERCENT;
    // Urgent work, which prefers the workers that count as fast.
    for number in 0..300 {
        let job = JobKey(100_000 + number);
        let urgent = vec![step(4, 4_000, 1_000)];
        sim.submit(job.0, record("urgent", urgent));
        sim.run_ms(100);
    }
    let fast: usize = sim
        .engine
        .speed_bands()
        .iter()
        .filter(|(band, _)| *band >= 3)
        .map(|(_, count)| count)
        .sum();
    assert_eq!(fast, 9);
}

/// Guards against a speed that only the choice of workers in advice requests
/// considers: a cell in which urgent and batch work need no advice.
#[test]
fn without_advice() {
    let mut sim = Simulation::new(1, WORKERS);
    sim.config.teams[0].limit = Resources::UNLIMITED;
    sim.config.revision += 1;
    sim.history.limits.clear();
    sim.reconfigure();
    for (number, worker) in sim.workers.iter_mut().enumerate() {
        worker.speed_percent = third_is_fast(number);
    }
    sim.run_ms(200);
    run_batch(&mut sim, &mut 0, 20);
    sim.starts.clear();
    for number in 0..50 {
        let urgent = vec![step(3, 2_500, 700)];
        sim.submit(1_000 + number, record("urgent", urgent));
        sim.run_ms(40);
    }
    let is_urgent = |task: &TaskKey| task.step.job.0 >= 1_000;
    let (fast, urgent) = fast_runs(&sim, is_urgent);
    assert!(urgent >= 140, "{urgent} urgent runs");
    assert!(fast * 10 >= urgent * 9, "{fast} of {urgent} on fast workers");
}
