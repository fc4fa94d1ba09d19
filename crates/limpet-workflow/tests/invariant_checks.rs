//! Each check of the simulation's history finds the violation it is for.

mod simulation;

use limpet_core::Resources;
use limpet_workflow::{JobKey, StepKey, StepSpec, TaskKey};

use self::simulation::{check::History, record, step};

const CAPACITY: Resources = Resources::new(16_000, 65_536, 0);
const USED: Resources = Resources::new(1_000, 100, 0);

fn task(step: u32, index: u32) -> TaskKey {
    StepKey { job: JobKey(1), occurrence: 0, step }.task(index)
}

fn history() -> History {
    let mut history = History { max_attempts: 2, ..History::default() };
    let later = StepSpec { after: vec![0], ..step(1, 1_000, 100) };
    let steps = vec![step(2, 1_000, 100), later];
    history.records.insert(JobKey(1), record("batch", steps));
    history.limits.insert("team".to_owned(), Resources::new(1_500, 500, 0));
    history
}

#[track_caller]
fn assert_found(history: &History, text: &str) {
    assert_eq!(history.violations.len(), 1, "{:?}", history.violations);
    assert!(history.violations[0].contains(text), "{:?}", history.violations);
}

#[test]
fn over_capacity() {
    let mut history = history();
    history.begin("w0", task(0, 0), 1, CAPACITY.plus(&USED), CAPACITY);
    assert_found(&history, "w0 holds");
}

#[test]
fn two_runs_at_once() {
    let mut history = history();
    history.limits.clear();
    history.begin("w0", task(0, 0), 1, USED, CAPACITY);
    history.begin("w1", task(0, 0), 2, USED, CAPACITY);
    assert_found(&history, "runs at");
}

#[test]
fn restart_after_acknowledged_end() {
    let mut history = history();
    history.begin("w0", task(0, 0), 1, USED, CAPACITY);
    history.end("w0", task(0, 0), 1);
    history.finish(task(0, 0), false);
    history.acknowledge(task(0, 0));
    history.begin("w0", task(0, 0), 2, USED, CAPACITY);
    assert_found(&history, "after its acknowledged end");
}

#[test]
fn too_many_attempts() {
    let mut history = history();
    history.count_failure(task(0, 0));
    history.count_failure(task(0, 0));
    history.begin("w0", task(0, 0), 3, USED, CAPACITY);
    assert_found(&history, "after its last attempt");
}

#[test]
fn start_before_dependency() {
    let mut history = history();
    history.finish(task(0, 0), false);
    history.begin("w0", task(1, 0), 1, USED, CAPACITY);
    assert_found(&history, "starts before");
}

#[test]
fn over_team_limit() {
    let mut history = history();
    history.begin("w0", task(0, 0), 1, USED, CAPACITY);
    history.begin("w1", task(0, 1), 1, USED, CAPACITY);
    assert_found(&history, "team team has");
}

#[test]
fn completed_without_all_tasks() {
    let mut history = history();
    history.finish(task(0, 0), false);
    history.show_completed(JobKey(1));
    assert_found(&history, "is shown without");
}

#[test]
fn task_of_unknown_job() {
    let mut history = history();
    let step = StepKey { job: JobKey(2), occurrence: 0, step: 0 };
    history.begin("w0", step.task(0), 1, USED, CAPACITY);
    assert_found(&history, "belongs to no submitted job");
}
