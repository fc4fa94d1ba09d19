//! Evacuations of data centres, as processes see them.

mod entries;

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use self::entries::{LONG_MS, TestCell, get, job, long_job, wait_for};

/// The bound on starts after the request.
const EVACUATE_MS: u64 = 5_000;
/// The runner in the data centre z2, which is evacuated.
const AWAY: usize = 1;
/// The duration of tasks that outlast their test.
const ENDLESS_MS: u64 = 600_000;
/// How many small tasks need all three runners.
const MANY: u32 = 80;

fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.expect("a time after 1970").as_millis() as u64
}

fn request(cell: &TestCell) {
    cell.platform.store().put("op", "", "evacuate/z2", b"{}");
}

fn withdraw(cell: &TestCell) {
    cell.platform.store().remove("op", "", "evacuate/z2");
}

/// Returns the number of starts in z2 since a time.
fn starts_there(cell: &TestCell, since_ms: u64) -> usize {
    let starts = &cell.platform.runner(AWAY).starts;
    starts.iter().filter(|start| start.at_ms >= since_ms).count()
}

/// Waits until all instances have logged a text `count` times.
fn wait_for_log(cell: &TestCell, text: &str, count: usize) {
    wait_for(text, || {
        let mut entries = cell.entries.iter();
        entries.all(|entry| entry.log().matches(text).count() >= count)
    });
}

/// Returns the value of a metric of an instance.
fn metric(cell: &TestCell, entry: usize, name: &str) -> Option<u64> {
    let reply = get(cell.entries[entry].metrics, "/metrics")?;
    let line = reply.body.lines().find(|line| line.starts_with(name))?;
    line.split(' ').nth(1)?.parse().ok()
}

/// Runs a job that needs all runners that are usable.
fn run_many(cell: &TestCell, id: &str) {
    assert_eq!(cell.submit(0, id, &job(MANY)), 200);
    cell.wait_for_state(0, id, "completed");
}

/// Guards against starts in an evacuated data centre, against runs there that
/// don't end by themselves, and against an evacuation that never ends.
#[test]
fn requested_and_withdrawn() {
    let cell = TestCell::start_with_evacuations("evacuation", 2, EVACUATE_MS);
    let running = "00000000000000e1";
    for number in 0..3 {
        cell.platform.runner(number).run_time_ms = LONG_MS;
    }
    let mut long = long_job(3);
    // No runner has room for two.
    long["steps"][0]["cpu"] = 9_000.into();
    assert_eq!(cell.submit(0, running, &long), 200);
    wait_for("starts", || cell.platform.starts().len() == 3);
    request(&cell);
    wait_for_log(&cell, "evacuation: began", 1);
    let began_ms = unix_ms();
    for number in 0..3 {
        cell.platform.runner(number).run_time_ms = 100;
    }
    run_many(&cell, "00000000000000e2");
    cell.wait_for_state(0, running, "completed");
    assert_eq!(starts_there(&cell, began_ms), 0);
    assert_eq!(cell.platform.starts().len(), 3 + MANY as usize);
    let owner = cell.owner();
    assert_eq!(metric(&cell, owner, "limpet_evacuated_data_centres"), Some(1));
    assert_eq!(metric(&cell, owner, "limpet_evacuated_runs"), Some(0));
    assert_eq!(metric(&cell, owner, "limpet_evacuation_moves_total"), Some(0));
    wait_for("its state in the log", || {
        cell.entries[owner].log().contains("evacuation: state")
    });
    withdraw(&cell);
    wait_for_log(&cell, "evacuation: ended", 1);
    run_many(&cell, "00000000000000e3");
    assert!(starts_there(&cell, began_ms) > 0);
}

/// Guards against a new owner that starts tasks in a data centre before it
/// knows that it is evacuated, and against an instance that does so after a
/// restart.
#[test]
fn known_to_new_owner() {
    let mut cell =
        TestCell::start_with_evacuations("evacuation-owner", 2, EVACUATE_MS);
    let owner = cell.owner();
    request(&cell);
    wait_for_log(&cell, "evacuation: began", 1);
    let began_ms = unix_ms();
    cell.entries[owner].kill();
    let other = 1 - owner;
    wait_for("a new owner", || cell.owner() == other);
    assert_eq!(cell.submit(other, "00000000000000e4", &job(MANY)), 200);
    cell.wait_for_state(other, "00000000000000e4", "completed");
    // Work waits for an owner that knows nothing of the request yet.
    assert_eq!(cell.submit(other, "00000000000000e5", &job(MANY)), 200);
    cell.entries[other].restart();
    wait_for("the job's end", || {
        let state = cell.state(other, "00000000000000e5");
        state.as_deref() == Some("completed")
    });
    assert_eq!(starts_there(&cell, began_ms), 0);
}

/// Guards against requests and withdrawals that are lost with the history of
/// the feed.
#[test]
fn history_lost() {
    let cell =
        TestCell::start_with_evacuations("evacuation-history", 1, EVACUATE_MS);
    {
        let mut store = cell.platform.store();
        store.put("op", "", "evacuate/z2", b"{}");
        store.drop_history();
    }
    wait_for_log(&cell, "evacuation: began", 1);
    let began_ms = unix_ms();
    run_many(&cell, "00000000000000e6");
    assert_eq!(starts_there(&cell, began_ms), 0);
    {
        let mut store = cell.platform.store();
        store.remove("op", "", "evacuate/z2");
        store.drop_history();
    }
    wait_for_log(&cell, "evacuation: ended", 1);
    run_many(&cell, "00000000000000e7");
    assert!(starts_there(&cell, began_ms) > 0);
}

/// Guards against an owner that can't learn of evacuations and goes on
/// starting tasks (`Owner::may_start`).
#[test]
fn not_confirmed() {
    let cell =
        TestCell::start_with_evacuations("evacuation-unconfirmed", 1, 2_000);
    run_many(&cell, "00000000000000e8");
    cell.platform.store().unreadable_table = Some("op");
    wait_for_log(&cell, "evacuation: not confirmed; nothing starts", 1);
    let starts = cell.platform.starts().len();
    // Keys are fresh for longer than evacuations.
    assert_eq!(cell.submit(0, "00000000000000e9", &job(3)), 200);
    std::thread::sleep(Duration::from_millis(1_000));
    assert_eq!(cell.platform.starts().len(), starts);
    cell.platform.store().unreadable_table = None;
    wait_for_log(&cell, "evacuation: confirmed again; starts go on", 1);
    cell.wait_for_state(0, "00000000000000e9", "completed");
}

/// Guards against tasks that last and stay in an evacuated data centre while
/// others have room: moves are ordered, logged and counted.
#[test]
fn lasting_moves() {
    let cell =
        TestCell::start_with_evacuations("evacuation-moves", 1, EVACUATE_MS);
    for number in 0..3 {
        cell.platform.runner(number).run_time_ms = ENDLESS_MS;
    }
    let mut store = cell.platform.store();
    store.put("op", "", "evacuate/z1", b"{}");
    drop(store);
    wait_for_log(&cell, "evacuation: began", 1);
    let mut lasting = job(2);
    lasting["steps"][0]["long_running"] = true.into();
    assert_eq!(cell.submit(0, "00000000000000ea", &lasting), 200);
    let running = |number| cell.platform.runner(number).running().len();
    wait_for("starts in z2", || running(AWAY) == 2);
    request(&cell);
    wait_for_log(&cell, "evacuation: all workers are evacuated", 1);
    assert_eq!(running(AWAY), 2);
    assert_eq!(metric(&cell, 0, "limpet_evacuated_runs"), Some(2));
    cell.platform.store().remove("op", "", "evacuate/z1");
    wait_for("moves", || running(0) + running(2) == 2);
    assert_eq!(running(AWAY), 0);
    assert_eq!(metric(&cell, 0, "limpet_evacuation_moves_total"), Some(2));
}
