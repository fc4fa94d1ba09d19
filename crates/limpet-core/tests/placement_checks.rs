//! Each placement check reports a violation of the invariant that it checks,
//! and accepts effects that respect it.

mod cell;

use cell::{job, shape, task, team, worker};
use limpet_core::{
    JobId, JobState, Resources, TaskId,
    check::PlacementChecks,
    scheduler::{Effect, Event, StopReason},
};

fn start(task: TaskId, name: &str, cores: u64, idempotent: bool) -> Effect {
    Effect::Start {
        task,
        worker: worker(name),
        attempt: 1,
        size: Resources::new(cores * 1000, cores * 1024, 0),
        run_time_ms: None,
        idempotent,
    }
}

/// Returns checks that have observed two workers with 4 cores each, and a job
/// with two tasks of 2 cores each of a team that may run 4 cores.
fn checks(all_at_once: bool) -> PlacementChecks {
    let mut checks = PlacementChecks::default();
    let held = Resources::new(4_000, 4_096, 0);
    for name in ["a", "b"] {
        let shape = shape(name, "r", held);
        checks.observe_event(&Event::WorkerJoined { shape });
    }
    checks.observe_event(&Event::AllotmentChanged {
        team: team("one"),
        allotment: held,
    });
    let mut spec = job("one", "batch", 2, 2);
    spec.all_at_once = all_at_once;
    checks.observe_event(&Event::JobAccepted { job: JobId::new(1), spec });
    checks
}

/// Passes effects to the checks and returns the names of the invariants that
/// they violate.
fn violated(
    checks: &mut PlacementChecks,
    effects: &[Effect],
) -> Vec<&'static str> {
    let violations = checks.observe_effects(effects);
    violations.iter().map(|violation| violation.invariant).collect()
}

#[test]
fn accepts_valid_start() {
    let starts = [start(task(1, 0), "a", 2, true)];
    assert!(violated(&mut checks(false), &starts).is_empty());
}

#[test]
fn detects_overcommitted_worker() {
    let starts = [start(task(1, 0), "a", 5, true)];
    let found = violated(&mut checks(false), &starts);
    assert!(found.contains(&"worker capacity"), "{found:?}");
}

#[test]
fn detects_second_placement() {
    let starts =
        [start(task(1, 0), "a", 2, true), start(task(1, 0), "b", 2, true)];
    assert_eq!(violated(&mut checks(false), &starts), ["single placement"]);
}

#[test]
fn detects_team_over_limit() {
    let starts = [
        start(task(1, 0), "a", 2, true),
        start(task(1, 1), "a", 2, true),
        start(task(1, 2), "b", 2, true),
    ];
    assert_eq!(violated(&mut checks(false), &starts), ["team limit"]);
}

#[test]
fn detects_second_run() {
    let mut checks = checks(false);
    let first = [start(task(1, 0), "a", 2, false)];
    assert!(violated(&mut checks, &first).is_empty());
    let lapsed = Event::WorkerLapsed { worker: worker("a") };
    checks.observe_event(&lapsed);
    let second = [start(task(1, 0), "b", 2, false)];
    assert_eq!(violated(&mut checks, &second), ["task at most once"]);
}

#[test]
fn allows_restart_after_failed_start() {
    let mut checks = checks(false);
    violated(&mut checks, &[start(task(1, 0), "a", 2, false)]);
    checks.observe_event(&Event::TaskNotStarted {
        task: task(1, 0),
        worker: worker("a"),
    });
    let second = [start(task(1, 0), "b", 2, false)];
    assert!(violated(&mut checks, &second).is_empty());
}

#[test]
fn detects_preempted_non_idempotent_task() {
    let mut checks = checks(false);
    violated(&mut checks, &[start(task(1, 0), "a", 2, false)]);
    let stop = Effect::Stop {
        task: task(1, 0),
        worker: worker("a"),
        reason: StopReason::Preempted,
    };
    assert_eq!(violated(&mut checks, &[stop]), ["task at most once"]);
}

#[test]
fn detects_partial_gang() {
    let starts = [start(task(1, 0), "a", 2, true)];
    assert_eq!(violated(&mut checks(true), &starts), ["whole gang"]);
}

#[test]
fn detects_forgotten_job() {
    let checks = checks(false);
    let found = checks.job_retention.compare(&[]);
    assert_eq!(found[0].invariant, "job retention");
}

#[test]
fn detects_second_finish() {
    let mut checks = checks(false);
    let finished =
        Effect::Finished { job: JobId::new(1), state: JobState::Done };
    assert!(violated(&mut checks, std::slice::from_ref(&finished)).is_empty());
    assert_eq!(violated(&mut checks, &[finished]), ["job retention"]);
}
