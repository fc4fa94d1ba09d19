//! Jobs that are cancelled while their worker is not listed, as processes see
//! it.

mod entries;

use nix::sys::signal::Signal;

use self::entries::{TestCell, job, wait_for};

const JOB: &str = "00000000000000ca";
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
