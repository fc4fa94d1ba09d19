//! Logs of entry instances: they delay no answer, and each request has exactly
//! one line with its outcome.

mod entries;

use std::collections::BTreeMap;

use serde_json::Value;

use self::entries::{KEY, TestCell, get, job, wait_for};

/// The number of jobs, whose log lines do not fit into a pipe.
const JOBS: u64 = 300;

fn id(number: u64) -> String {
    format!("{number:016x}")
}

/// Guards against requests that wait for the log: nobody reads it here, so its
/// pipe fills up.
#[test]
fn log_pipe_full() {
    let mut cell = TestCell::start("unread", 1);
    cell.entries[0].restart_unread();
    wait_for("an instance that is ready", || {
        get(cell.entries[0].ready, "/ready")
            .is_some_and(|reply| reply.status == 200)
    });
    for number in 1..=JOBS {
        assert_eq!(cell.submit(0, &id(number), &job(1)), 200);
    }
    cell.wait_for_state(0, &id(JOBS), "completed");
}

/// Each accepted, refused and failed request has exactly one line with its
/// outcome, and no line contains an API key.
#[test]
fn one_outcome_line() {
    let cell = TestCell::start("lines", 1);
    for number in 1..=20 {
        assert_eq!(cell.submit(0, &id(number), &job(1)), 200);
        let status = match number % 2 {
            0 => cell.submit(0, &format!("bad-{number}"), &job(1)),
            _ => cell.submit(0, &id(1_000 + number), &Value::Null),
        };
        assert!(matches!(status, 400 | 404), "{status}");
    }
    cell.wait_for_state(0, &id(20), "completed");
    let log = cell.entries[0].log();
    assert!(!log.contains(KEY));
    let mut outcome_lines: BTreeMap<String, usize> = BTreeMap::new();
    for line in log.lines() {
        let line: Value = serde_json::from_str(line).expect("JSON lines");
        let id = match line["msg"].as_str() {
            Some("job: submitted") => line["job"].as_str(),
            Some("request: refused") => {
                line["path"].as_str().and_then(|path| path.rsplit('/').next())
            }
            _ => continue,
        };
        let id = id.expect("the line names its request").to_owned();
        *outcome_lines.entry(id).or_default() += 1;
    }
    for number in 1..=20 {
        let other = match number % 2 {
            0 => format!("bad-{number}"),
            _ => id(1_000 + number),
        };
        assert_eq!(outcome_lines.get(&id(number)), Some(&1), "{number}");
        assert_eq!(outcome_lines.get(&other), Some(&1), "{other}");
    }
}
