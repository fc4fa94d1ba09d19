//! Jobs at entry instances: submission, repetition, phases, counts,
//! cancellation and retention.

mod entries;

use serde_json::json;

use self::entries::{KEY, TestCell, call, config, get, job, wait_for};

const ID: &str = "00000000000000a1";

#[test]
fn submission_to_completion() {
    let cell = TestCell::start("path", 3);
    assert_eq!(cell.submit(0, ID, &job(4)), 200);
    // The job is in the store before the submission is answered.
    assert!(cell.platform.store().keys("jobs").contains(&ID.to_owned()));
    for entry in 0..3 {
        cell.wait_for_state(entry, ID, "completed");
    }
    assert_eq!(cell.platform.starts().len(), 4);
}

#[test]
fn repeated_at_other_instances() {
    let cell = TestCell::start("repeat", 3);
    for entry in 0..3 {
        assert_eq!(cell.submit(entry, ID, &job(2)), 200);
    }
    cell.wait_for_state(1, ID, "completed");
    assert_eq!(cell.submit(2, ID, &job(2)), 200);
    cell.wait_for_state(2, ID, "completed");
    assert_eq!(cell.platform.starts().len(), 2);
}

#[test]
fn steps_in_order() {
    let cell = TestCell::start("steps", 1);
    let steps = json!([
        { "count": 2, "cpu": 500, "mem_mb": 1, "est_runtime_ms": 100 },
        { "count": 1, "cpu": 500, "mem_mb": 1, "after": [0] },
    ]);
    let body = json!({ "spec": "p", "steps": steps });
    assert_eq!(cell.submit(0, ID, &body), 200);
    cell.wait_for_state(0, ID, "completed");
    let starts = cell.platform.starts();
    assert_eq!(starts.len(), 3);
    assert!(starts[2].task.ends_with(".0.1.0"), "{starts:?}");
}

#[test]
fn cancelled() {
    let cell = TestCell::start("cancel", 2);
    for number in 0..3 {
        cell.platform.runner(number).run_time_ms = 600_000;
    }
    assert_eq!(cell.submit(0, ID, &job(2)), 200);
    cell.wait_for_state(0, ID, "running");
    let path = format!("/jobs/{ID}");
    let reply = cell.request(1, "DELETE", &path, None).expect("an answer");
    assert_eq!(reply.status, 200);
    cell.wait_for_state(1, ID, "cancelled");
    wait_for("runners without tasks", || {
        (0..3).all(|number| cell.platform.runner(number).running().is_empty())
    });
}

#[test]
fn refusals() {
    let cell = TestCell::start("refusals", 1);
    let front = cell.entries[0].front;
    let path = format!("/jobs/{ID}");
    let status = |method: &str, path: &str, key: &str| {
        let body = job(1);
        let body = (method == "POST").then_some(&body);
        call(front, method, path, key, body).expect("an answer").status
    };
    assert_eq!(status("GET", &path, KEY), 410);
    assert_eq!(status("DELETE", &path, KEY), 410);
    assert_eq!(status("POST", &path, "no-such-key"), 401);
    assert_eq!(status("POST", "/elsewhere/00000000000000a1", KEY), 404);
    let bad = json!({ "spec": "p", "steps": [] });
    assert_eq!(cell.submit(0, ID, &bad), 400);
    // Counts are refused until an instance owns the cell.
    wait_for("a count", || {
        let count = get(front, "/jobs/").expect("an answer");
        assert!(matches!(count.status, 200 | 503), "{}", count.head);
        count.body == r#"{"pending":0}"#
    });
    // A cancellation is written whether or not its job is; see
    // docs/design/early-cancellations.md.
    let written = cell.platform.store().keys("jobs");
    assert_eq!(written, [format!("{ID}.cancel")]);
}

#[test]
fn withdrawn_key() {
    let cell = TestCell::start("key", 2);
    cell.platform.configure(&config(2, &["another-key"]));
    wait_for("a refusal by each instance", || {
        (0..2).all(|entry| cell.submit(entry, ID, &job(1)) == 401)
    });
    let front = cell.entries[0].front;
    let path = format!("/jobs/{ID}");
    let body = job(1);
    let reply = call(front, "POST", &path, "another-key", Some(&body));
    assert_eq!(reply.expect("an answer").status, 200);
}

#[test]
fn removed_after_retention() {
    let cell = TestCell::start_with_retention("forgotten", 1, 1);
    assert_eq!(cell.submit(0, ID, &job(2)), 200);
    wait_for("a job that is gone", || {
        let path = format!("/jobs/{ID}");
        let reply = cell.request(0, "GET", &path, None);
        reply.is_some_and(|reply| reply.status == 410)
    });
    wait_for("rows that are removed", || {
        let store = cell.platform.store();
        let progress = store.keys("progress");
        store.keys("jobs").is_empty()
            && progress.iter().all(|key| *key == "head")
    });
    assert_eq!(cell.platform.starts().len(), 2);
}

/// A job with the id of an expired one is taken for that one and never runs.
#[test]
fn submitted_anew() {
    let cell = TestCell::start_with_retention("anew", 1, 1);
    for starts in [2, 4] {
        wait_for("acceptance", || cell.submit(0, ID, &job(2)) == 200);
        wait_for("rows that are removed", || {
            let store = cell.platform.store();
            let progress = store.keys("progress");
            store.keys("jobs").is_empty()
                && progress.iter().all(|key| *key == "head")
        });
        assert_eq!(cell.platform.starts().len(), starts);
    }
}
