//! Workers that leave the moment their last run has ended, as processes see it.

mod entries;

use std::{thread, time::Duration};

use limpet_standin::user_platform::Departure;
use serde_json::Value;

use self::entries::{TestCell, job, wait_for};

const JOB: &str = "00000000000000aa";
const RUN_MS: u64 = 1_000;
/// Longer than the lease of a worker lasts.
const LEASE: Duration = Duration::from_millis(4_500);

/// Runs a job of one task on a worker that drains meanwhile and leaves so.
/// Returns the number of its starts some time after it has completed.
fn starts_with(departure: Departure) -> usize {
    let cell = TestCell::start(&format!("leaving-{departure:?}"), 1);
    for number in 0..3 {
        cell.platform.runner(number).run_time_ms = RUN_MS;
    }
    let mut spec: Value = job(1);
    spec["steps"][0]["est_runtime_ms"] = RUN_MS.into();
    assert_eq!(cell.submit(0, JOB, &spec), 200);
    wait_for("a start", || !cell.platform.starts().is_empty());
    let id = cell.platform.starts()[0].runner.clone();
    let number = (0..3).find(|n| cell.platform.runner(*n).id == id);
    let number = number.expect("a worker of the platform");
    {
        let mut runner = cell.platform.runner(number);
        runner.draining = true;
        runner.departure = Some(departure);
    }
    cell.platform.register(number);
    cell.wait_for_state(0, JOB, "completed");
    thread::sleep(LEASE);
    let log = cell.entries[0].log();
    assert!(log.contains("worker: row removed"), "{log}");
    assert_eq!(cell.platform.runner(number).departure, None);
    cell.platform.starts().len()
}

/// Guards against a second start of a task whose worker left right after the
/// answer that listed its end.
#[test]
fn leaves_after_answer() {
    assert_eq!(starts_with(Departure::AfterAnswer), 1);
}

/// Guards against the same if the row is removed before the answer arrives.
#[test]
fn leaves_after_late_answer() {
    assert_eq!(starts_with(Departure::AfterLateAnswer), 1);
}

/// Guards against a task that is lost for good with a worker that left without
/// an answer: nobody can tell that it was done, so it runs again.
#[test]
fn leaves_before_answer() {
    assert_eq!(starts_with(Departure::BeforeAnswer), 2);
}
