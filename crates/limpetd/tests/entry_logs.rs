//! Logs of entry instances: they hold no answer up and tell each story once.

mod entries;

use std::collections::BTreeMap;

use serde_json::Value;

use self::entries::{KEY, Stage, get, job, wait_for};

/// Jobs whose lines are longer together than a pipe holds.
const JOBS: u64 = 300;

fn id(number: u64) -> String {
    format!("{number:016x}")
}

/// Nobody reads the log, so its pipe fills up.
#[test]
fn unread_pipe() {
    let mut stage = Stage::start("unread", 1);
    stage.entries[0].restart_unread();
    wait_for("an entry that is ready", || {
        get(stage.entries[0].ready, "/ready")
            .is_some_and(|reply| reply.status == 200)
    });
    for number in 1..=JOBS {
        assert_eq!(stage.submit(0, &id(number), &job(1)), 200);
    }
    stage.wait_for_state(0, &id(JOBS), "completed");
}

/// Each accepted, refused and failed call is told by one deciding line, and
/// no line holds a key.
#[test]
fn one_deciding_line() {
    let stage = Stage::start("lines", 1);
    for number in 1..=20 {
        assert_eq!(stage.submit(0, &id(number), &job(1)), 200);
        let status = match number % 2 {
            0 => stage.submit(0, &format!("bad-{number}"), &job(1)),
            _ => stage.submit(0, &id(1_000 + number), &Value::Null),
        };
        assert!(matches!(status, 400 | 404), "{status}");
    }
    stage.wait_for_state(0, &id(20), "completed");
    let log = stage.entries[0].log();
    assert!(!log.contains(KEY));
    let mut deciding: BTreeMap<String, usize> = BTreeMap::new();
    for line in log.lines() {
        let line: Value = serde_json::from_str(line).expect("JSON lines");
        let id = match line["msg"].as_str() {
            Some("job: submitted") => line["job"].as_str(),
            Some("request: refused") => {
                line["path"].as_str().and_then(|path| path.rsplit('/').next())
            }
            _ => continue,
        };
        let id = id.expect("a deciding line names its request").to_owned();
        *deciding.entry(id).or_default() += 1;
    }
    for number in 1..=20 {
        let other = match number % 2 {
            0 => format!("bad-{number}"),
            _ => id(1_000 + number),
        };
        assert_eq!(deciding.get(&id(number)), Some(&1), "{number}");
        assert_eq!(deciding.get(&other), Some(&1), "{other}");
    }
}
