//! The ownership passes from instance to instance while a worker is gone, as
//! processes see it.

mod entries;

use std::{
    thread,
    time::{Duration, Instant},
};

use nix::sys::signal::Signal;

use self::entries::{TestCell, job, wait_for};

const JOB: &str = "00000000000000da";
/// The duration of tasks that outlast their test.
const ENDLESS_MS: u64 = 600_000;
/// More polls than there are in a test.
const ALL_POLLS: u32 = u32::MAX;
/// A task that lasts runs again within this time of its last run, says the
/// platform's rule.
const AWAY: Duration = Duration::from_secs(6);

/// Guards against a task that stays away, since each new owner waits anew for
/// the worker that has left.
#[test]
fn left_between_owners() {
    let cell = TestCell::start("handovers", 3);
    for number in 0..3 {
        cell.platform.runner(number).run_time_ms = ENDLESS_MS;
    }
    let mut owner = cell.owner();
    let mut body = job(1);
    body["steps"][0]["long_running"] = true.into();
    assert_eq!(cell.submit(owner, JOB, &body), 200);
    cell.wait_for_state(owner, JOB, "running");
    let id = cell.platform.starts()[0].runner.clone();
    let number = (0..3).find(|n| cell.platform.runner(*n).id == id);
    let number = number.expect("a worker of the platform");

    cell.platform.runner(number).unanswered_holds = ALL_POLLS;
    cell.platform.store().remove("servers", "", &id);
    let silent_since = Instant::now();
    for _ in 0..2 {
        thread::sleep(Duration::from_millis(1_200));
        cell.entries[owner].signal(Signal::SIGTERM);
        let last = owner;
        wait_for("another owner", || {
            owner = cell.owner();
            let log = cell.entries[owner].log();
            owner != last && log.contains("owner: jobs loaded")
        });
    }
    let starts = || cell.platform.starts().len();
    wait_for("another start", || starts() == 2);
    let away = silent_since.elapsed();
    assert!(away < AWAY, "away for {away:?}: {}", cell.entries[owner].log());
    // The lease of the first run has ended before.
    assert!(cell.platform.runner(number).running_now().is_empty());
}
