//! Jobs of very many occurrences or tasks, as processes see them.

mod entries;

use std::fs;

use serde_json::{Value, json};

use self::entries::{Entry, TestCell, assert_no_restarts, job, wait_for};

const LARGE: &str = "00000000000000ea";
const LATER: &str = "00000000000000eb";
/// The number of tasks of a job whose progress was longer than a row.
const WIDE_TASKS: u32 = 6_000;
/// The memory of an instance on the users' platform.
const MEMORY_KB: u64 = 260_000;

/// Returns the resident memory of an instance at its peak.
fn peak_kb(entry: &Entry) -> u64 {
    let path = format!("/proc/{}/status", entry.pid());
    let status = fs::read_to_string(path).expect("the process exists");
    let line = status.lines().find(|line| line.starts_with("VmHWM:"));
    let fields = line.expect("a peak").split_whitespace();
    fields.filter_map(|field| field.parse().ok()).next().expect("a number")
}

/// Checks that an ordinary job runs beside a large one, on its owner and on
/// the next one, and that neither needs more memory than there is.
fn assert_harmless(mut cell: TestCell, body: &Value) {
    assert_eq!(cell.submit(0, LARGE, body), 200);
    for (number, id) in [(0, LATER), (0, "00000000000000ec")] {
        assert_eq!(cell.submit(number, id, &job(2)), 200);
        cell.wait_for_state(number, id, "completed");
        let peak_kb = peak_kb(&cell.entries[0]);
        assert!(peak_kb < MEMORY_KB, "{peak_kb} kB");
        cell.entries[0].restart();
        wait_for("readiness", || {
            entries::get(cell.entries[0].ready, "/ready")
                .is_some_and(|reply| reply.status == 200)
        });
    }
}

/// Guards against a schedule that takes each owner over its memory: a job that
/// runs each minute for a year.
#[test]
fn year_of_minutes() {
    let cell = TestCell::start("year", 1);
    let mut body = job(2);
    body["repeat_count"] = 525_600.into();
    body["interval_ms"] = 60_000.into();
    body["first_run_ms"] = json!(1.0);
    assert_harmless(cell, &body);
}

/// Guards against a step that does.
#[test]
fn countless_tasks() {
    let cell = TestCell::start("countless", 1);
    let mut body = job(u32::MAX);
    // No worker has room for one.
    body["steps"][0]["cpu"] = 64_000.into();
    assert_harmless(cell, &body);
}

/// Guards against a job that never starts: its progress was longer than a row
/// of the store.
#[test]
fn wide_job() {
    let cell = TestCell::start("wide", 1);
    let mut body = job(WIDE_TASKS);
    body["steps"][0]["cpu"] = 10.into();
    body["steps"][0]["mem_mb"] = 1.into();
    assert_eq!(cell.submit(0, LARGE, &body), 200);
    cell.wait_for_state(0, LARGE, "completed");
    assert_eq!(cell.platform.starts().len(), WIDE_TASKS as usize);
    assert_no_restarts(&cell);
}
