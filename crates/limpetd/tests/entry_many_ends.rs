//! More ends than a report of a worker lists, as processes see them.

mod entries;

use std::{thread, time::Duration};

use limpet_standin::user_platform::StoreFault;

use self::entries::{TestCell, assert_no_restarts, job, wait_for};

const JOB: &str = "00000000000000ee";
/// The number of tasks that end on one worker during the outage.
const TASKS: u32 = 1_200;
const RUN_MS: u64 = 3_000;
/// How long the store is away.
const OUTAGE: Duration = Duration::from_millis(4_200);

/// Guards against tasks that run twice after an outage of the store: a report
/// lists 500 ends, and those of later ones were taken for lost.
#[test]
fn outage_while_many_end() {
    let cell = TestCell::start("many-ends", 1);
    for number in 0..3 {
        cell.platform.runner(number).run_time_ms = RUN_MS;
    }
    // All tasks on one worker.
    for number in 1..3 {
        let id = cell.platform.runner(number).id.clone();
        cell.platform.store().remove("servers", "", &id);
    }
    let mut body = job(TASKS);
    body["steps"][0]["cpu"] = 10.into();
    body["steps"][0]["mem_mb"] = 1.into();
    body["steps"][0]["est_runtime_ms"] = RUN_MS.into();
    assert_eq!(cell.submit(0, JOB, &body), 200);
    wait_for("starts", || cell.platform.starts().len() >= 800);
    cell.platform.store().fault = StoreFault::Busy;
    thread::sleep(OUTAGE);
    cell.platform.store().fault = StoreFault::None;
    cell.wait_for_state(0, JOB, "completed");
    assert_no_restarts(&cell);
}
