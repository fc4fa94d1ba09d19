//! Jobs that are cancelled before they are written, or while their worker is not
//! listed, as processes see it.

mod entries;

use std::{thread, time::Duration};

use nix::sys::signal::Signal;

use self::entries::{TestCell, job, wait_for};

const JOB: &str = "00000000000000ca";
const LATER: &str = "00000000000000cb";
/// How long the transaction of a submission waits in a slow store.
const SLOW_SUBMISSION_MS: u64 = 800;
/// The duration of tasks that outlast their test.
const ENDLESS_MS: u64 = 600_000;

/// Guards against a cancelled job that runs on: its worker was not listed when
/// an instance took over and when the job was cancelled.
#[test]
fn cancelled_while_unlisted() {
    let cell = TestCell::start("cancelled", 2);
    for number in 0..3 {
        cell.platform.runner(number).run_time_ms = ENDLESS_MS;
    }
    let owner = cell.owner();
    let other = 1 - owner;
    let mut body = job(1);
    body["steps"][0]["long_running"] = true.into();
    assert_eq!(cell.submit(other, JOB, &body), 200);
    cell.wait_for_state(other, JOB, "running");
    let id = cell.platform.starts()[0].runner.clone();
    let number = (0..3).find(|n| cell.platform.runner(*n).id == id);
    let number = number.expect("a worker of the platform");

    cell.platform.store().remove("servers", "", &id);
    cell.entries[owner].signal(Signal::SIGTERM);
    let log = || cell.entries[other].log();
    wait_for("a new owner", || log().contains("owner: jobs loaded"));
    let path = format!("/jobs/{JOB}");
    let reply = cell.request(other, "DELETE", &path, None);
    assert_eq!(reply.expect("an answer").status, 200);
    wait_for("a stop without an address", || {
        log().contains("task: stop not sent")
    });
    cell.platform.register(number);
    wait_for("the end of the run", || {
        cell.platform.runner(number).running_now().is_empty()
    });
    // The lease, which the new owner renews, has not ended it.
    wait_for("its report", || log().contains("\"how\":\"Stopped\""));
}

/// Returns the status of a cancellation.
fn cancel(cell: &TestCell, entry: usize, id: &str) -> u16 {
    let path = format!("/jobs/{id}");
    let reply = cell.request(entry, "DELETE", &path, None);
    reply.map_or(0, |reply| reply.status)
}

/// Guards against a job that runs although its cancellation was acknowledged:
/// a DELETE that overtakes the submission was answered from a read alone.
#[test]
fn overtaken_submission() {
    let cell = TestCell::start("overtaken", 2);
    cell.owner();
    let slow = (JOB.to_owned(), SLOW_SUBMISSION_MS);
    cell.platform.store().slow_submission = Some(slow);
    thread::scope(|scope| {
        let submission = scope.spawn(|| cell.submit(0, JOB, &job(2)));
        thread::sleep(Duration::from_millis(SLOW_SUBMISSION_MS / 4));
        assert_eq!(cancel(&cell, 1, JOB), 410);
        assert_eq!(submission.join().expect("a status"), 200);
    });
    for entry in 0..2 {
        cell.wait_for_state(entry, JOB, "cancelled");
    }
    assert_eq!(cancel(&cell, 1, JOB), 200);
    assert_never_starts(&cell);
}

/// Guards against a cancellation that is lost with the owner that knows it.
#[test]
fn cancelled_before_takeover() {
    let mut cell = TestCell::start("early-takeover", 2);
    let owner = cell.owner();
    let other = 1 - owner;
    assert_eq!(cancel(&cell, other, JOB), 410);
    cell.entries[owner].kill();
    wait_for("a new owner", || {
        cell.entries[other].log().contains("owner: jobs loaded")
    });
    assert_eq!(cell.submit(other, JOB, &job(2)), 200);
    cell.wait_for_state(other, JOB, "cancelled");
    assert_never_starts(&cell);
}

/// Guards against a cancellation that the owner forgets with the history of
/// the store.
#[test]
fn cancelled_before_reread() {
    let cell = TestCell::start("early-reread", 1);
    cell.owner();
    assert_eq!(cancel(&cell, 0, JOB), 410);
    cell.platform.store().drop_history();
    wait_for("the table is read again", || {
        cell.entries[0].log().contains("jobs: feed history lost")
    });
    assert_eq!(cell.submit(0, JOB, &job(2)), 200);
    cell.wait_for_state(0, JOB, "cancelled");
    assert_never_starts(&cell);
}

/// Guards against cancellations of jobs that never existed which stay in the
/// store for good, also after a takeover, and against an id that no job can
/// have any more.
#[test]
fn unmatched_cancellation_ends() {
    let mut cell = TestCell::start_with_retention("early-end", 1, 1);
    for takes_over in [false, true] {
        cell.owner();
        for number in 0..40 {
            assert_eq!(cancel(&cell, 0, &format!("{number:016x}")), 410);
        }
        if takes_over {
            cell.entries[0].restart();
        }
        wait_for("rows that are removed", || {
            cell.platform.store().keys("jobs").is_empty()
        });
    }
    wait_for("acceptance", || cell.submit(0, JOB, &job(2)) == 200);
    wait_for("its runs", || cell.platform.starts().len() == 2);
}

/// Waits until a later job is completed, and checks that it is the only one
/// that has started.
fn assert_never_starts(cell: &TestCell) {
    let entry = cell.entries.len() - 1;
    let entry = if cell.entries[entry].is_ready() { entry } else { 0 };
    assert_eq!(cell.submit(entry, LATER, &job(1)), 200);
    cell.wait_for_state(entry, LATER, "completed");
    let starts = cell.platform.starts();
    assert!(
        starts.iter().all(|start| start.task.starts_with(LATER)),
        "{starts:?}"
    );
}
