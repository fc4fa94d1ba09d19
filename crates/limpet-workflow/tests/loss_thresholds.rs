//! The thresholds from which lost workers count against a task: each test
//! holds the constants of `engine/suspects.rs` that it names, in both
//! directions.

mod simulation;

use std::sync::Arc;

use limpet_workflow::{
    CrashRecord, Engine, EngineOptions, JobKey, JobPhase, StepKey, StepSpec,
    TaskKey,
};

use self::simulation::{Simulation, record, step};

/// The key of the job whose tasks are watched.
const JOB: JobKey = JobKey(100);
/// Longer than the lease of a lost worker lasts.
const LEASE_MS: u64 = 4_000;
/// How long a task that waits is watched.
const WATCH_MS: u64 = 30_000;

fn task(index: u32) -> TaskKey {
    StepKey { job: JOB, occurrence: 0, step: 0 }.task(index)
}

/// Returns an idle cell of three racks of four workers, with the leases of the
/// platform: they expire before a worker that has crashed is back.
fn racks() -> Simulation {
    let mut sim = Simulation::new(1, 12);
    let options = EngineOptions {
        hold_ms: 3_000,
        detached_ms: 5_000,
        ..EngineOptions::default()
    };
    sim.engine = Engine::new(options);
    sim.engine.set_config(Arc::new(sim.config.clone()));
    for (number, worker) in sim.workers.iter_mut().enumerate() {
        worker.labels = vec!["a".to_owned(), format!("r{}", number / 4)];
    }
    for number in 0..sim.workers.len() {
        let (listing, now) = (sim.listing(number), sim.now());
        sim.engine.set_listing(listing, now);
    }
    // Until the leases of an earlier owner would have expired.
    sim.run_ms(10_000);
    sim
}

/// Returns a cell in which one task of 60 s runs.
fn one_task() -> Simulation {
    let mut sim = racks();
    sim.submit(JOB.0, record("batch", vec![step(1, 1_000, 60_000)]));
    sim.run_ms(1_000);
    sim
}

/// Returns the number of the worker that runs a task.
fn worker_of(sim: &Simulation, task: TaskKey) -> usize {
    let runs = |sim: &Simulation| {
        sim.workers.iter().position(|worker| worker.runs.contains_key(&task))
    };
    runs(sim).expect("the task runs")
}

/// Returns what is counted against a task.
fn counted(sim: &Simulation, task: TaskKey) -> CrashRecord {
    let mut suspects = sim.engine.suspects();
    suspects
        .find(|(suspect, _)| *suspect == task)
        .map_or(CrashRecord::default(), |(_, crashes)| crashes)
}

/// Crashes the worker of a task, whose host then refuses connections, and
/// waits until the task runs again.
fn crash_alone(sim: &mut Simulation, wait_ms: u64) {
    sim.deadly.silent = false;
    let number = worker_of(sim, task(0));
    sim.crash_worker(number);
    sim.run_ms(wait_ms);
}

/// Guards against a loss that was excused, since a rack fell silent at once,
/// and counts as a crash of an earlier suspect when the machine is back.
#[test]
fn excused_loss_of_suspect() {
    let mut sim = one_task();
    crash_alone(&mut sim, LEASE_MS);
    let first = counted(&sim, task(0));
    assert_eq!((first.lost, first.crashed, first.excused), (1, 1, 0));
    sim.run_ms(4_000);
    let rack = worker_of(&sim, task(0)) / 4 * 4;
    sim.deadly.silent = true;
    for number in rack..rack + 4 {
        sim.crash_worker(number);
    }
    sim.run_ms(LEASE_MS);
    let second = counted(&sim, task(0));
    assert_eq!((second.lost, second.crashed, second.excused), (2, 1, 1));
    let lives = sim.workers.len();
    sim.run_ms(2_000);
    assert!(sim.workers.len() > lives, "the machines are back");
    assert_eq!(counted(&sim, task(0)), second);
}

/// Guards against a task that goes on crashing workers that run nothing else
/// (`GIVE_UP_CRASHES`), and against one given up for fewer crashes.
#[test]
fn third_crash_apart() {
    let mut sim = racks();
    sim.deadly.tasks.insert(task(0));
    sim.submit(JOB.0, record("batch", vec![step(1, 1_000, 1_000)]));
    sim.run_ms(60_000);
    assert_eq!(sim.crashes_under(task(0)), 3);
    assert_eq!(sim.phase(JOB), JobPhase::Failed);
}

/// Guards against a task that is given up although its workers may have
/// crashed before it began there (`MIN_CONFIRMED`).
#[test]
fn unconfirmed_crashes() {
    let mut sim = racks();
    sim.deadly.tasks.insert(task(0));
    sim.deadly.after_ms = 0;
    sim.submit(JOB.0, record("batch", vec![step(1, 1_000, 1_000)]));
    sim.run_ms(60_000);
    assert_eq!(sim.crashes_under(task(0)), 4);
    assert_eq!(sim.phase(JOB), JobPhase::Failed);
}

/// Guards against a task that goes on crashing workers of which no later life
/// is seen (`MAX_LOSSES`).
#[test]
fn silent_losses() {
    let mut sim = one_task();
    for _ in 0..2 {
        crash_alone(&mut sim, 8_000);
    }
    for losses in 3..=5 {
        let number = worker_of(&sim, task(0));
        sim.workers[number].disconnected = true;
        sim.run_ms(LEASE_MS);
        let has_ended = sim.phase(JOB).has_ended();
        assert_eq!(has_ended, losses == 5, "after {losses} losses");
        // The wait for a later life, and that for a worker.
        sim.run_ms(8_000);
    }
    assert_eq!(sim.phase(JOB), JobPhase::Failed);
}

/// Guards against a suspect that starts before the crash of its latest worker
/// can be known: it would take one worker more (`SILENT_LOSS_WAIT_MS`).
#[test]
fn silent_crashes_are_awaited() {
    let mut sim = racks();
    sim.deadly.tasks.insert(task(0));
    sim.deadly.silent = true;
    sim.submit(JOB.0, record("batch", vec![step(1, 1_000, 1_000)]));
    sim.run_ms(60_000);
    assert_eq!(sim.crashes_under(task(0)), 3);
    assert_eq!(sim.phase(JOB), JobPhase::Failed);
}

/// Crashes the worker of a task, and `others` idle ones `later_ms` after it,
/// each of another rack. Returns whether the task is a suspect then.
fn is_suspect_after(silent: bool, others: usize, later_ms: u64) -> bool {
    let mut sim = one_task();
    sim.deadly.silent = silent;
    let number = worker_of(&sim, task(0));
    sim.crash_worker(number);
    sim.run_ms(later_ms);
    for other in 1..=others {
        sim.crash_worker((number + 4 * other) % 12);
    }
    sim.run_ms(LEASE_MS - later_ms);
    sim.engine.suspects().count() > 0
}

/// Guards against tasks that are suspects since several workers crashed at
/// once, and against crashes that one other worker excuses
/// (`COMMON_CAUSE_WORKERS`).
#[test]
fn two_others_excuse() {
    assert!(is_suspect_after(false, 1, 0));
    assert!(!is_suspect_after(false, 2, 0));
}

/// Guards against crashes that later ones excuse (`COMMON_CRASH_MS`), and
/// against a common crash that is not noticed on all workers at once.
#[test]
fn crashes_in_common() {
    assert!(!is_suspect_after(false, 2, 150));
    assert!(is_suspect_after(false, 2, 500));
}

/// Guards against the same with workers that fall silent, which is noticed
/// later on some than on others (`COMMON_SILENCE_MS`).
#[test]
fn silence_in_common() {
    assert!(!is_suspect_after(true, 2, 1_500));
    assert!(is_suspect_after(true, 2, 2_600));
}

/// Guards against a task that is excused each time that its workers crash in
/// step with others (`MAX_EXCUSED`).
#[test]
fn excused_once() {
    let mut sim = one_task();
    for (lost, excused) in [(0, 1), (1, 1)] {
        let number = worker_of(&sim, task(0));
        for other in 0..3 {
            sim.crash_worker((number + 4 * other) % 12);
        }
        sim.run_ms(LEASE_MS);
        let job = sim.engine.progress(JOB).expect("the job is known").1;
        let crashes = job.crashes.first().map(|crashes| crashes.record);
        let crashes = crashes.expect("a record");
        assert_eq!((crashes.lost, crashes.excused), (lost, excused));
        sim.run_ms(4_000);
    }
}

/// Guards against a suspect that a short run clears, and against one that
/// keeps a worker to itself for good (`CLEARED_AFTER_MS`). The worker restarts
/// at once, so that the lost run counts with the second that it lasted.
#[test]
fn run_that_clears() {
    let mut sim = one_task();
    let number = worker_of(&sim, task(0));
    sim.restart_worker(number);
    sim.run_ms(5_000);
    assert_eq!(counted(&sim, task(0)).lost, 1);
    sim.run_ms(7_000);
    assert_eq!(counted(&sim, task(0)).lost, 0);
}

/// Guards against a task that is cleared although it crashes its workers only
/// some time after it began (`CLEARED_FACTOR`).
#[test]
fn late_crashes_are_not_cleared() {
    let mut sim = one_task();
    sim.run_ms(5_000);
    crash_alone(&mut sim, LEASE_MS);
    sim.run_ms(12_000);
    assert_eq!(counted(&sim, task(0)).lost, 1);
    sim.run_ms(20_000);
    assert_eq!(counted(&sim, task(0)).lost, 0);
}

/// Crashes the worker of a task twice in a cell where each worker hosts a task
/// that lasts. Returns how long the task waits after the second loss.
fn wait_without_worker(long_running: bool) -> u64 {
    let mut sim = racks();
    let each = StepSpec {
        long_running: true,
        max_per_worker: 1,
        ..step(12, 1_000, 500)
    };
    sim.submit(1, record("urgent", vec![each]));
    sim.run_ms(1_000);
    let spec = StepSpec { long_running, ..step(1, 1_000, 60_000) };
    sim.submit(JOB.0, record("urgent", vec![spec]));
    sim.run_ms(1_000);
    crash_alone(&mut sim, 9_000);
    crash_alone(&mut sim, 0);
    let mut waited_ms = 0;
    while counted(&sim, task(0)).lost < 2 && waited_ms < WATCH_MS {
        sim.run_ms(5);
        waited_ms += 5;
    }
    assert_eq!(counted(&sim, task(0)).lost, 2);
    waited_ms = 0;
    while !sim.is_running(task(0)) && waited_ms < WATCH_MS {
        sim.run_ms(5);
        waited_ms += 5;
    }
    waited_ms
}

/// Guards against a suspect that does not wait for a worker to itself, or
/// waits for good where none comes free (`APART_WAIT_MS`).
#[test]
fn wait_for_worker() {
    let waited_ms = wait_without_worker(false);
    assert!((5_900..7_000).contains(&waited_ms), "{waited_ms} ms");
}

/// Guards against a task that has users and waits as long as a batch task
/// (`LASTING_APART_WAIT_MS`).
#[test]
fn lasting_wait_for_worker() {
    let waited_ms = wait_without_worker(true);
    assert!((1_900..3_000).contains(&waited_ms), "{waited_ms} ms");
}

/// Guards against a second crash among the work of other jobs
/// (`APART_LOSSES`): from the second loss on a task runs apart, and not from
/// the first on.
#[test]
fn second_loss_sets_apart() {
    let mut sim = racks();
    let each = StepSpec { max_per_worker: 1, ..step(11, 1_000, 200_000) };
    sim.submit(1, record("batch", vec![each]));
    sim.run_ms(1_000);
    sim.submit(JOB.0, record("batch", vec![step(1, 1_000, 60_000)]));
    sim.run_ms(1_000);
    for losses in 1..=2 {
        let free = sim.workers.iter().position(|w| w.runs.is_empty());
        let number = worker_of(&sim, task(0));
        sim.crash_worker(number);
        if let Some(free) = free {
            sim.workers[free].disconnected = true;
        }
        sim.run_ms(LEASE_MS);
        let is_waiting = !sim.is_running(task(0));
        assert_eq!(is_waiting, losses == 2, "after {losses} losses");
    }
}
