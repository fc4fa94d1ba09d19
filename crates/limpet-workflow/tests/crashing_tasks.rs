//! A task that crashes its workers is given up after a few of them, and the
//! work beside it is not.

mod simulation;

use std::sync::Arc;

use limpet_core::Resources;
use limpet_workflow::{
    AdvicePolicy, JobKey, JobPhase, Repeat, StepKey, StepSpec, TaskKey,
};
use rand::{RngExt, seq::IndexedRandom};

use self::simulation::{Faults, Simulation, advised_cell, record, step};

/// The key of the job with deadly tasks.
const DEADLY: u64 = 100;
/// The most workers that a task may crash. The platform allows two more starts
/// after three crashes.
const MAX_CRASHES: usize = 4;
/// The most workers that a deadly gang of eight may crash: one for each member
/// at first, and twice as many as it fits on if it has them to itself.
const GANG_CRASHES: usize = 8 + 3 + 3;
/// How long a cell is watched, many times as long as a worker is away.
const WATCH_MS: u64 = 60_000;

fn task(index: u32) -> TaskKey {
    StepKey { job: JobKey(DEADLY), occurrence: 0, step: 0 }.task(index)
}

/// Returns a cell at some two thirds of its cores.
fn busy_cell(seed: u64) -> Simulation {
    let mut sim = Simulation::new(seed, 12);
    sim.config.teams[0].limit = Resources::UNLIMITED;
    sim.config.revision += 1;
    sim.history.limits.clear();
    sim.engine.set_config(Arc::new(sim.config.clone()));
    for (number, worker) in sim.workers.iter_mut().enumerate() {
        worker.labels = vec!["a".to_owned(), format!("r{}", number / 4)];
    }
    sim.run_ms(200);
    sim
}

/// Submits sound jobs for `ms`, and returns them.
fn run_loaded(
    sim: &mut Simulation,
    next_key: &mut u64,
    ms: u64,
) -> Vec<JobKey> {
    let mut jobs = Vec::new();
    for _ in 0..ms / 500 {
        for (queue, count) in [("urgent", 2), ("batch", 16), ("batch", 16)] {
            *next_key += 1;
            let steps = vec![step(count, 2_000, 1_000)];
            jobs.push(sim.submit(*next_key, record(queue, steps)));
        }
        sim.run_ms(500);
    }
    jobs
}

/// Watches a deadly job beside sound ones. Its tasks crash a bounded number of
/// workers each, it is shown as failed, and all the others are completed.
fn watch(mut sim: Simulation, queue: &str, steps: Vec<StepSpec>) {
    let mut next_key = 1_000;
    let mut sound = run_loaded(&mut sim, &mut next_key, 2_000);
    let job = sim.submit(DEADLY, record(queue, steps));
    sound.extend(run_loaded(&mut sim, &mut next_key, WATCH_MS));
    sim.run_ms(30_000);
    let tasks: Vec<TaskKey> = sim.history.crashes.keys().copied().collect();
    for task in tasks.iter().filter(|task| task.step.job == job) {
        let crashes = sim.crashes_under(*task);
        assert!(crashes <= MAX_CRASHES, "{crashes} crashes under {task}");
    }
    assert_eq!(sim.phase(job), JobPhase::Failed);
    assert_sound(&sim, &sound);
    sim.assert_invariants();
}

/// Checks that none of these jobs was given up for a crash, and that all have
/// ended. A few fail for runs that failed too often.
fn assert_sound(sim: &Simulation, jobs: &[JobKey]) {
    let given_up =
        |job: &JobKey| sim.given_up.iter().any(|task| task.step.job == *job);
    for job in jobs {
        assert!(!given_up(job), "{job} is given up");
        assert!(sim.phase(*job).has_ended(), "{job} has not ended");
    }
}

/// Guards against a task that crashes worker after worker.
#[test]
fn deadly_task() {
    let mut sim = busy_cell(1);
    sim.deadly.tasks.insert(task(1));
    watch(sim, "batch", vec![step(4, 1_000, 1_000)]);
}

/// Guards against a gang of which one member crashes worker after worker.
#[test]
fn deadly_member() {
    let mut sim = busy_cell(2);
    sim.deadly.tasks.insert(task(2));
    let gang = StepSpec { gang: true, ..step(4, 4_500, 1_000) };
    watch(sim, "gang", vec![gang]);
}

/// Guards against a task that lasts and crashes worker after worker: its ends
/// `failed` have no limit.
#[test]
fn deadly_service() {
    let mut sim = busy_cell(3);
    sim.deadly.tasks.insert(task(0));
    let spec = StepSpec { long_running: true, ..step(2, 1_000, 500) };
    watch(sim, "urgent", vec![spec]);
}

/// Guards against a job that crashes each worker that starts any of its tasks:
/// a wide step takes many down at once.
#[test]
fn deadly_job() {
    let mut sim = busy_cell(4);
    sim.deadly.jobs.insert(JobKey(DEADLY));
    watch(sim, "batch", vec![step(6, 1_000, 1_000)]);
}

/// Guards against a gang of which all members crash their workers.
#[test]
fn deadly_gang() {
    let mut sim = busy_cell(5);
    sim.deadly.jobs.insert(JobKey(DEADLY));
    let gang = StepSpec { gang: true, ..step(6, 4_500, 1_000) };
    watch(sim, "gang", vec![gang]);
}

/// Guards against crashes that are taken for cuts: hosts drop packets until
/// their next life.
#[test]
fn silent_crashes() {
    let mut sim = busy_cell(6);
    sim.deadly.tasks.insert(task(1));
    sim.deadly.silent = true;
    watch(sim, "batch", vec![step(4, 1_000, 1_000)]);
}

/// Guards against counts that a worker's next life under its id clears.
#[test]
fn lives_under_one_id() {
    let mut sim = busy_cell(7);
    sim.deadly.tasks.insert(task(1));
    sim.deadly.keeps_id = true;
    watch(sim, "batch", vec![step(4, 1_000, 1_000)]);
}

/// Guards against a task that kills its worker before the start is answered:
/// no run of it is ever confirmed.
#[test]
fn deadly_before_answer() {
    let mut sim = busy_cell(8);
    sim.deadly.tasks.insert(task(1));
    sim.deadly.after_ms = 0;
    watch(sim, "batch", vec![step(4, 1_000, 1_000)]);
}

/// Guards against a task that works for a while before it crashes its worker.
#[test]
fn deadly_later() {
    let mut sim = busy_cell(9);
    sim.deadly.tasks.insert(task(1));
    sim.deadly.after_ms = 2_500;
    watch(sim, "batch", vec![step(4, 1_000, 4_000)]);
}

/// Guards against occurrences that each start a count of their own.
#[test]
fn deadly_occurrences() {
    let mut sim = busy_cell(10);
    let job = JobKey(DEADLY);
    sim.deadly.jobs.insert(job);
    let mut record = record("batch", vec![step(1, 1_000, 500)]);
    record.spec.repeat = Some(Repeat {
        count: 100,
        first_unix_ms: sim.now_ms + 500,
        interval_ms: 500,
    });
    sim.submit(DEADLY, record);
    sim.run_ms(WATCH_MS);
    assert_eq!(sim.phase(job), JobPhase::Failed);
    assert!(sim.crashes.len() <= 24, "{} crashes", sim.crashes.len());
    sim.assert_invariants();
}

/// Guards against counts that die with their owner: a new one takes over after
/// each crash.
#[test]
fn owner_changes() {
    let mut sim = busy_cell(11);
    sim.deadly.tasks.insert(task(0));
    let job = sim.submit(DEADLY, record("batch", vec![step(1, 1_000, 900)]));
    let mut crashes = 0;
    for _ in 0..WATCH_MS / 100 {
        sim.run_ms(100);
        if sim.crashes.len() > crashes {
            crashes = sim.crashes.len();
            sim.run_ms(400);
            sim.take_over();
        }
    }
    assert!(crashes <= MAX_CRASHES, "{crashes} crashes");
    assert_eq!(sim.phase(job), JobPhase::Failed);
    sim.assert_invariants();
}

/// Guards against orders that are lost, late or doubled and start a task again
/// that is given up.
#[test]
fn faulty_orders() {
    for seed in 20..30 {
        let mut sim = busy_cell(seed);
        sim.deadly.tasks.insert(task(1));
        sim.faults = Faults { lost: 50, late: 50, duplicated: 50 };
        sim.submit(DEADLY, record("batch", vec![step(4, 1_000, 1_000)]));
        let mut next_key = 1_000;
        run_loaded(&mut sim, &mut next_key, WATCH_MS);
        let crashes = sim.crashes_under(task(1));
        assert!(crashes <= MAX_CRASHES, "seed {seed}: {crashes}");
        sim.assert_invariants();
    }
}

/// Guards against innocent jobs that are given up for crashes which many
/// workers have in common.
#[test]
fn common_crashes() {
    let racks = |number: usize| (number / 4 * 4)..(number / 4 * 4 + 4);
    for whole_cell in [true, false] {
        let mut sim = busy_cell(12);
        sim.deadly.keeps_id = true;
        let mut next_key = 1_000;
        let long = StepSpec { long_running: true, ..step(12, 1_000, 500) };
        let service = sim.submit(1, record("urgent", vec![long]));
        let mut jobs = Vec::new();
        for round in 0..6 {
            jobs.extend(run_loaded(&mut sim, &mut next_key, 8_000));
            let workers = match whole_cell {
                true => 0..sim.workers.len(),
                false => racks(round * 4 % 12),
            };
            workers.for_each(|number| sim.crash_worker(number));
        }
        sim.run_ms(60_000);
        assert_sound(&sim, &jobs);
        assert_eq!(sim.phase(service), JobPhase::Running);
        sim.assert_invariants();
    }
}

/// Guards against innocent jobs that are given up since workers crash by
/// themselves, one here and one there.
#[test]
fn crashing_workers() {
    for seed in 30..40 {
        let mut sim = busy_cell(seed);
        let mut next_key = 1_000;
        let mut jobs = Vec::new();
        for _ in 0..40 {
            jobs.extend(run_loaded(&mut sim, &mut next_key, 1_000));
            let alive: Vec<usize> = (0..sim.workers.len())
                .filter(|number| !sim.workers[*number].disconnected)
                .collect();
            if sim.rng.random_bool(0.2) {
                let number = *alive.choose(&mut sim.rng).expect("one lives");
                sim.crash_worker(number);
            }
        }
        sim.run_ms(40_000);
        assert_sound(&sim, &jobs);
        sim.assert_invariants();
    }
}

/// Guards against suspects that stay away for good where no worker comes free
/// for them alone: each hosts a task that lasts.
#[test]
fn no_worker_comes_free() {
    let mut sim = busy_cell(13);
    let long = StepSpec {
        long_running: true,
        max_per_worker: 1,
        ..step(12, 1_000, 500)
    };
    sim.submit(1, record("urgent", vec![long]));
    sim.run_ms(2_000);
    let long = vec![step(1, 1_000, 30_000)];
    let job = sim.submit(DEADLY, record("batch", long));
    for _ in 0..2 {
        sim.run_ms(1_000);
        let (_, _, id) = sim.starts.last().expect("a start").clone();
        let number = sim.workers.iter().position(|worker| worker.id == id);
        assert!(sim.is_running(task(0)));
        sim.crash_worker(number.expect("the worker is known"));
        // Until the lease has expired, and the wait for a worker is over.
        sim.run_ms(18_000);
        assert!(sim.is_running(task(0)), "the task runs again");
    }
    sim.run_ms(40_000);
    assert_sound(&sim, &[job]);
    sim.assert_invariants();
}

/// Guards against tasks that stay suspect after a cut: their workers answer
/// again, and so have not crashed.
#[test]
fn cut_workers() {
    let mut sim = busy_cell(14);
    let mut next_key = 1_000;
    // Until the leases of an earlier owner would have expired.
    sim.run_ms(10_000);
    for number in 0..3 {
        // Longer than it takes until they are lost and the worker is back.
        let long = vec![step(24, 2_000, 15_000)];
        next_key += 1;
        let job = sim.submit(next_key, record("batch", long));
        sim.run_ms(1_000);
        sim.workers[number].disconnected = true;
        sim.run_ms(8_000);
        assert!(sim.engine.suspects().count() > 0);
        sim.workers[number].disconnected = false;
        sim.run_ms(1_000);
        assert_eq!(sim.engine.suspects().count(), 0);
        sim.run_ms(30_000);
        assert_sound(&sim, &[job]);
    }
    sim.assert_invariants();
}

/// Guards against a task that lasts and keeps a worker to itself for good: a
/// long run clears it.
#[test]
fn long_run_clears() {
    let mut sim = busy_cell(15);
    let spec = StepSpec { long_running: true, ..step(1, 1_000, 500) };
    sim.submit(DEADLY, record("urgent", vec![spec]));
    let worker_of = |sim: &Simulation| {
        sim.workers.iter().position(|w| w.runs.contains_key(&task(0)))
    };
    for _ in 0..2 {
        sim.run_ms(3_000);
        let number = worker_of(&sim).expect("the task runs");
        sim.crash_worker(number);
        sim.run_ms(10_000);
    }
    assert_eq!(sim.engine.suspects().count(), 1);
    sim.run_ms(60_000);
    assert_eq!(sim.engine.suspects().count(), 0);
    let number = worker_of(&sim).expect("the task runs");
    sim.submit(2, record("urgent", vec![step(100, 2_000, 3_000)]));
    sim.run_ms(2_000);
    assert!(sim.workers[number].runs.len() > 1);
    sim.assert_invariants();
}

/// Guards against work that is lost with a suspect's worker: from the third
/// start on it runs apart, however busy the cell is.
#[test]
fn suspects_run_apart() {
    for (seed, gang) in [(16, false), (17, true)] {
        let mut sim = busy_cell(seed);
        sim.deadly.tasks.insert(task(1));
        let mut next_key = 1_000;
        run_loaded(&mut sim, &mut next_key, 2_000);
        let queue = if gang { "gang" } else { "batch" };
        let spec = StepSpec { gang, ..step(3, 4_500, 1_000) };
        sim.submit(DEADLY, record(queue, vec![spec]));
        run_loaded(&mut sim, &mut next_key, WATCH_MS);
        assert!(sim.crashes.len() > 2, "{} crashes", sim.crashes.len());
        for (at_ms, lost) in &sim.crashes[2..] {
            let others = lost.iter().filter(|t| t.step.job.0 != DEADLY);
            assert_eq!(others.count(), 0, "{at_ms}: {lost:?}");
        }
    }
}

/// Guards against a cell that several deadly gangs take down with their
/// neighbours: a tenth of the gangs of ten seconds, as users have seen it.
#[test]
fn deadly_gangs_in_load() {
    let advice =
        AdvicePolicy { decide_ms: 20.0, per_worker_ms: 0.3, valid_ms: 2_500 };
    let mut sim = advised_cell(18, 48, advice, 7);
    sim.allowed_percent = 35;
    sim.run_ms(10_000);
    let mut next_key = 1_000;
    let mut sound = Vec::new();
    let mut deadly = Vec::new();
    for tenth in 0..400 {
        for number in 0..4 {
            next_key += 1;
            let enrolment = vec![step(2, 1_400, 1_000)];
            if number < 3 || tenth % 2 == 0 {
                let job = sim.submit(next_key, record("urgent", enrolment));
                sound.push(job);
            }
        }
        if tenth % 2 == 0 {
            next_key += 1;
            let batch = vec![step(10, 980, 2_200)];
            sound.push(sim.submit(next_key, record("batch", batch)));
        }
        if tenth % 6 == 0 {
            next_key += 1;
            let gang = StepSpec { gang: true, ..step(8, 4_500, 4_000) };
            let job = sim.submit(next_key, record("gang", vec![gang]));
            if tenth / 6 % 10 == 1 && tenth < 200 {
                sim.deadly.jobs.insert(job);
                deadly.push(job);
            } else {
                sound.push(job);
            }
        }
        sim.run_ms(100);
    }
    sim.run_ms(60_000);
    for job in &deadly {
        assert_eq!(sim.phase(*job), JobPhase::Failed, "{job}");
    }
    let most = deadly.len() * GANG_CRASHES;
    assert!(sim.crashes.len() <= most, "{} crashes", sim.crashes.len());
    assert_sound(&sim, &sound);
    sim.assert_invariants();
}

/// Guards against tasks that are suspects because their workers left as they
/// had said.
#[test]
fn leaving_workers() {
    let mut sim = busy_cell(19);
    sim.run_ms(10_000);
    sim.submit(1, record("batch", vec![step(24, 2_000, 30_000)]));
    sim.run_ms(1_000);
    let now = sim.now();
    let mut listing = sim.listing(0);
    listing.draining = true;
    sim.engine.set_listing(listing, now);
    assert!(!sim.workers[0].runs.is_empty());
    sim.crash_worker(0);
    sim.run_ms(9_000);
    assert_eq!(sim.engine.claims_of(0), Vec::new());
    assert_eq!(sim.engine.suspects().count(), 0);
    sim.assert_invariants();
}
