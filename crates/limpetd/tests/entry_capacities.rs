//! Capacities of workers that change while the list of workers can't be read,
//! as processes see it.

mod entries;

use std::{thread, time::Duration};

use limpet_standin::user_platform::StoreFault;

use self::entries::{TestCell, job, wait_for};

const FIRST: &str = "00000000000000ca";
const JOB: &str = "00000000000000cb";
/// Longer than the feed of the list waits for a change.
const OUTAGE: Duration = Duration::from_millis(2_500);

fn starts_of(cell: &TestCell, id: &str) -> usize {
    let starts = cell.platform.starts();
    starts.iter().filter(|start| start.task.starts_with(id)).count()
}

/// Shrinks all workers to half of their cores, or restores them.
fn set_cores(cell: &TestCell, cores_milli: u64) {
    for number in 0..3 {
        cell.platform.runner(number).cores_milli = cores_milli;
        cell.platform.register(number);
    }
}

/// Guards against starts by outdated capacities: workers have shrunk while the
/// list could not be read, and other calls of the store succeed.
#[test]
fn unreadable_list() {
    let cell = TestCell::start("unreadable", 1);
    // The owner has jobs to place only once it reads the list.
    assert_eq!(cell.submit(0, FIRST, &job(3)), 200);
    cell.wait_for_state(0, FIRST, "completed");
    cell.platform.store().unreadable_table = Some("servers");
    set_cores(&cell, 8_000);
    thread::sleep(OUTAGE);
    let mut large = job(3);
    large["steps"][0]["cpu"] = 12_000.into();
    assert_eq!(cell.submit(0, JOB, &large), 200);
    thread::sleep(OUTAGE);
    cell.platform.store().unreadable_table = None;
    thread::sleep(OUTAGE);
    assert_eq!(starts_of(&cell, JOB), 0, "{}", cell.entries[0].log());
    set_cores(&cell, 16_000);
    cell.wait_for_state(0, JOB, "completed");
}

/// Guards against starts right after an outage of the whole store, before the
/// list was read again.
#[test]
fn store_outage() {
    let cell = TestCell::start("outage", 1);
    for number in 0..3 {
        cell.platform.runner(number).run_time_ms = 1_500;
    }
    let mut chain = job(3);
    chain["steps"][0]["est_runtime_ms"] = 1_500.into();
    let mut large = chain["steps"][0].clone();
    large["cpu"] = 12_000.into();
    large["after"] = vec![0].into();
    chain["steps"].as_array_mut().expect("steps").push(large);
    assert_eq!(cell.submit(0, JOB, &chain), 200);
    wait_for("three starts", || starts_of(&cell, JOB) == 3);
    cell.platform.store().fault = StoreFault::Busy;
    set_cores(&cell, 8_000);
    thread::sleep(OUTAGE);
    cell.platform.store().fault = StoreFault::None;
    thread::sleep(OUTAGE);
    assert_eq!(starts_of(&cell, JOB), 3, "{}", cell.entries[0].log());
    set_cores(&cell, 16_000);
    cell.wait_for_state(0, JOB, "completed");
}

/// Guards against starts by rows from before an outage, which the workers write
/// again only some time after it.
#[test]
fn late_rows() {
    let cell = TestCell::start("late-rows", 1);
    let mut large = job(3);
    large["steps"][0]["cpu"] = 12_000.into();
    cell.platform.store().fault = StoreFault::Busy;
    thread::sleep(OUTAGE);
    cell.platform.store().fault = StoreFault::None;
    wait_for("acceptance", || cell.submit(0, JOB, &large) == 200);
    thread::sleep(Duration::from_millis(800));
    assert_eq!(starts_of(&cell, JOB), 0, "{}", cell.entries[0].log());
    set_cores(&cell, 8_000);
    thread::sleep(OUTAGE);
    assert_eq!(starts_of(&cell, JOB), 0, "{}", cell.entries[0].log());
    set_cores(&cell, 16_000);
    cell.wait_for_state(0, JOB, "completed");
}
