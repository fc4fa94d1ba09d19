//! What stands between a belief that may be outdated and its effect: each test
//! fails if the guard that it names is taken out. `tools/guards` tries that.

mod entries;

use limpet_standin::user_platform::StoreFault;
use nix::sys::signal::Signal;

use self::entries::{KEY, TestCell, call, config, job, long_job, wait_for};

const ID: &str = "00000000000000d1";
const LATER: &str = "00000000000000d2";
/// The duration of tasks that outlast their test.
const ENDLESS_MS: u64 = 600_000;

/// Starts a job with a task on each of the three runners.
fn start_endless(cell: &TestCell) {
    for number in 0..3 {
        cell.platform.runner(number).run_time_ms = ENDLESS_MS;
    }
    let mut body = long_job(3);
    body["steps"][0]["est_runtime_ms"] = ENDLESS_MS.into();
    // No runner has room for two.
    body["steps"][0]["cpu"] = 9_000.into();
    assert_eq!(cell.submit(0, ID, &body), 200);
    wait_for("starts", || cell.platform.starts().len() == 3);
}

fn running(cell: &TestCell) -> usize {
    (0..3).map(|number| cell.platform.runner(number).running().len()).sum()
}

/// Guards against a key that was withdrawn while an instance couldn't learn of
/// it: without a confirmation of the configuration it admits nobody
/// (`Node::keys_are_fresh`).
#[test]
fn unconfirmed_keys() {
    let cell = TestCell::start("unconfirmed-keys", 1);
    assert_eq!(cell.submit(0, ID, &job(1)), 200);
    cell.wait_for_state(0, ID, "completed");
    cell.platform.store().fault = StoreFault::Silent;
    let path = format!("/jobs/{ID}");
    // The owner knows the job and needs no store to show it.
    wait_for("a refusal", || {
        let reply = cell.request(0, "GET", &path, None);
        reply.is_some_and(|reply| reply.status == 503)
    });
}

/// Guards against the same after a pause: the age of the confirmation counts
/// the time in which the process was stopped, and decides on the first request
/// after it.
#[test]
fn unconfirmed_after_pause() {
    let cell = TestCell::start("unconfirmed-pause", 1);
    assert_eq!(cell.submit(0, ID, &job(1)), 200);
    cell.wait_for_state(0, ID, "completed");
    cell.entries[0].signal(Signal::SIGSTOP);
    cell.platform.store().fault = StoreFault::Silent;
    // Longer than keys count as fresh.
    std::thread::sleep(std::time::Duration::from_millis(4_500));
    cell.entries[0].signal(Signal::SIGCONT);
    let path = format!("/jobs/{ID}");
    let reply = cell.request(0, "GET", &path, None);
    assert_eq!(reply.expect("an answer").status, 503);
}

/// Guards against an owner that has lost the store and goes on renewing the
/// holds of workers, which a later owner may count as expired
/// (`Owner::may_renew`).
#[test]
fn detached_owner() {
    let cell = TestCell::start("detached", 1);
    start_endless(&cell);
    cell.platform.store().fault = StoreFault::Silent;
    wait_for("holds that lapse", || running(&cell) == 0);
}

/// Guards against a configuration that goes back: an instance that was given
/// an older one keeps the newer one in force.
#[test]
fn older_config() {
    let cell = TestCell::start("older-config", 1);
    cell.platform.configure(&config(5, &["newer-key"]));
    let front = cell.entries[0].front;
    let status = |key| {
        let path = format!("/jobs/{ID}");
        call(front, "GET", &path, key, None).map_or(0, |reply| reply.status)
    };
    // Lines are written by a thread of their own, some time after the event.
    let revisions = || {
        let log = cell.entries[0].log();
        log.matches("config: new revision in force").count()
    };
    wait_for("the newer one", || status(KEY) == 401 && revisions() == 2);
    cell.platform.configure(&config(3, &[KEY]));
    // A newest one shows that the older one was received before it.
    let mut newest = config(6, &["newer-key", "newest-key"]);
    newest["routes"][0]["name"] = "r-newest".into();
    cell.platform.configure(&newest);
    wait_for("the newest one", || {
        status("newest-key") == 410 && revisions() >= 3
    });
    assert_eq!(status(KEY), 401);
    assert_eq!(revisions(), 3, "the older one was not in force");
}

/// Guards against a stopped owner that wakes after another has taken over and
/// orders starts for what it had decided before.
#[test]
fn woken_owner() {
    let cell = TestCell::start("woken", 2);
    let owner = cell.owner();
    let other = 1 - owner;
    cell.entries[owner].signal(Signal::SIGSTOP);
    wait_for("a new owner", || cell.owner() == other);
    assert_eq!(cell.submit(other, LATER, &job(3)), 200);
    cell.wait_for_state(other, LATER, "completed");
    let starts = cell.platform.starts().len();
    cell.entries[owner].signal(Signal::SIGCONT);
    wait_for("its end as an owner", || {
        let log = cell.entries[owner].log();
        log.contains("stepping down")
    });
    assert_eq!(cell.platform.starts().len(), starts);
    entries::assert_no_restarts(&cell);
}

/// Guards against an owner that writes progress after a later one has claimed
/// the head row: it steps down, and the row stays as it is.
#[test]
fn later_head_row() {
    let cell = TestCell::start("later-head", 1);
    assert_eq!(cell.owner(), 0);
    // Term 100 and sequence 0, as an instance encodes them.
    let later = [100, 0];
    cell.platform.store().put("progress", "p", "head", &later);
    assert_eq!(cell.submit(0, ID, &job(1)), 200);
    wait_for("its end as an owner", || {
        cell.entries[0].log().contains("owner: replaced in the head row")
    });
    let store = cell.platform.store();
    assert_eq!(store.value("progress", "p", "head"), Some(&later[..]));
}
