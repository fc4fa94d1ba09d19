//! What each case does and checks.

use std::{path::Path, thread, time::Duration};

use crate::{
    Verdict,
    cell::{Cell, Queue},
    world::{Behaviour, Start},
};

/// Twice the memory of the machines and more, since this limit counts
/// addresses, not pages: an instance at rest uses a tenth of it.
const MEMORY_KB: u64 = 2 << 20;
/// No limit that an instance could meet.
const AMPLE_MEMORY_KB: u64 = 8 << 20;

/// A queue like those of the sites.
const QUEUE: Queue =
    Queue { needs_advice: true, stretch: 2.0, target_ms: 3_000 };
/// The bound `finish_s` of the site.
const FINISH_MS: u64 = 14_000;

pub fn play(case: &str, record: &Path, is_troubled: bool) -> Verdict {
    match case {
        "failing-gang" => failing_gang(record, is_troubled),
        "flapping-runner" => flapping_runner(record, is_troubled),
        "stranded-gang" => stranded_gang(record, is_troubled),
        "failing-services" => failing_services(record, is_troubled),
        "two-services" => two_services(record, is_troubled),
        _ => Verdict::CouldNotRun,
    }
}

/// Tasks that last fill the 46 runners of one service. Small jobs of a less
/// urgent queue come to another service, whose two runners are idle.
fn two_services(record: &Path, is_troubled: bool) -> Verdict {
    let queue = Queue { needs_advice: false, ..QUEUE };
    let mut cell = Cell::start(record, 48, 2, 3, AMPLE_MEMORY_KB, queue);
    if !cell.wait_until_ready() {
        return Verdict::CouldNotRun;
    }
    cell.run_for(1_500);
    // As many jobs of one runner's cores as usual, then 1.8 times as many.
    let count = if is_troubled { 46 } else { 26 };
    for number in 0..count {
        let id = format!("00000000000f00{number:02}");
        let lasting = Behaviour { lasts: true, ..Default::default() };
        cell.runners.behave(&id, lasting);
        let body = "{\"spec\":\"serve\",\"steps\":[{\"count\":4,\
            \"cpu\":4000,\"mem_mb\":256,\"est_runtime_ms\":1000,\
            \"long_running\":true}]}";
        if !cell.submit("lasting", &id, body) {
            return Verdict::CouldNotRun;
        }
    }
    cell.run_for(3_000);
    if cell.runners.running() != 4 * count {
        return Verdict::CouldNotRun;
    }
    let work_ms = 1_000;
    let mut ids = Vec::new();
    for number in 0..10 {
        let id = format!("00000000000f01{number:02}");
        let behaviour = Behaviour { work_ms, ..Default::default() };
        cell.runners.behave(&id, behaviour);
        if !cell.submit("batch", &id, &job_body(1, 1_000, work_ms)) {
            return Verdict::CouldNotRun;
        }
        ids.push(id);
        cell.run_for(100);
    }
    cell.runners.note("end of the traffic");
    cell.run_for(FINISH_MS);
    cell.runners.note("the jobs are asked for");
    let before = waiting(&mut cell, "batch", &ids);
    // The rule allows 3 s; this is ten times as long.
    cell.run_for(30_000);
    let after = waiting(&mut cell, "batch", &ids);
    cell.runners.note(&format!(
        "{before} of 10 small jobs waited when asked for, {after} of them \
         30 s later, for the two idle runners of their service"
    ));
    match after > 0 {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}

/// A gang that lasts no longer fits after one runner of eight is lost for
/// good. Small jobs come after that.
fn stranded_gang(record: &Path, is_troubled: bool) -> Verdict {
    let queue = Queue { needs_advice: false, ..QUEUE };
    let mut cell = Cell::start(record, 8, 0, 3, AMPLE_MEMORY_KB, queue);
    if !cell.wait_until_ready() {
        return Verdict::CouldNotRun;
    }
    cell.run_for(1_500);
    // 48 cores and 72 cores of 128.
    let (single, gang) = ("00000000000d0001", "00000000000d0002");
    let lasting = Behaviour { lasts: true, ..Default::default() };
    cell.runners.behave(single, lasting.clone());
    cell.runners.behave(gang, Behaviour { gang: 9, ..lasting });
    let body = |count: u32, gang: bool| {
        format!(
            "{{\"spec\":\"serve\",\"steps\":[{{\"count\":{count},\
             \"cpu\":8000,\"mem_mb\":256,\"est_runtime_ms\":1000,\
             \"gang\":{gang},\"long_running\":true}}]}}"
        )
    };
    for (id, body) in [(single, body(6, false)), (gang, body(9, true))] {
        if !cell.submit("jobs", &id, &body) {
            return Verdict::CouldNotRun;
        }
        cell.run_for(1_000);
    }
    if cell.runners.running() != 15 {
        return Verdict::CouldNotRun;
    }
    if is_troubled {
        let member = format!("{gang}.0.0.0");
        let Some(lost) = cell.runners.runner_of(&member) else {
            return Verdict::CouldNotRun;
        };
        cell.runners.crash(lost);
    }
    // Longer than the row of the lost runner and its lease last.
    cell.run_for(8_000);
    let work_ms = 1_000;
    let mut ids = Vec::new();
    for number in 0..10 {
        let id = format!("00000000000d01{number:02}");
        let behaviour = Behaviour { work_ms, ..Default::default() };
        cell.runners.behave(&id, behaviour);
        let body = job_body(1, 1_000, work_ms);
        if !cell.submit("jobs", &id, &body) {
            return Verdict::CouldNotRun;
        }
        ids.push(id);
        cell.run_for(100);
    }
    cell.runners.note("end of the traffic");
    cell.run_for(FINISH_MS);
    cell.runners.note("the jobs are asked for");
    let before = waiting(&mut cell, "jobs", &ids);
    // The rule allows 3 s; this is ten times as long.
    cell.run_for(30_000);
    let after = waiting(&mut cell, "jobs", &ids);
    let running = cell.runners.running();
    cell.runners.note(&format!(
        "{before} of 10 small jobs waited when asked for, {after} of them \
         30 s later, while {running} tasks of 8 cores ran on 112 or 128 cores"
    ));
    match (after > 0, running) {
        (true, 0..7) => Verdict::Broken,
        (false, _) => Verdict::Held,
        _ => Verdict::CouldNotRun,
    }
}

/// Returns how many jobs of one task have not begun, and are shown as queued.
fn waiting(cell: &mut Cell, queue: &str, ids: &[String]) -> usize {
    let mut count = 0;
    for id in ids {
        let has_begun = !runs_of(cell, &format!("{id}.0.0.0")).is_empty();
        count += usize::from(!has_begun && cell.state(queue, id) == "queued");
    }
    count
}

/// A gang whose tasks ask for no memory, and for cores that are not counted,
/// fails after its tickets have expired. The third run is done.
fn failing_gang(record: &Path, is_troubled: bool) -> Verdict {
    let mut cell = Cell::start(record, 4, 0, 3, MEMORY_KB, QUEUE);
    if !cell.wait_until_ready() {
        return Verdict::CouldNotRun;
    }
    cell.run_for(1_500);
    let body = "{\"spec\":\"fill\",\"steps\":[{\"count\":3,\"cpu\":500,\
        \"est_runtime_ms\":3500,\"gang\":true,\"fills\":true}]}";
    let mut ids = Vec::new();
    for number in 0..8 {
        let id = format!("00000000000a000{number}");
        let behaviour = Behaviour {
            work_ms: 3_500,
            gang: 3,
            failing_runs: if is_troubled { 2 } else { 0 },
            fails_after_ms: 3_000,
            ..Default::default()
        };
        cell.runners.behave(&id, behaviour);
        if !cell.submit("jobs", &id, body) {
            cell.runners.note("a job was not accepted");
            continue;
        }
        ids.push(id);
        cell.run_for(11_500);
    }
    for id in &ids {
        let state = cell.state("jobs", id);
        cell.runners.note(&format!("job {id}: {state}"));
    }
    let ends: Vec<u32> = cell.instances.iter().map(|i| i.ends).collect();
    cell.runners.note(&format!("ends of processes: {ends:?}"));
    if ids.is_empty() || cell.runners.lock().starts.is_empty() {
        return Verdict::CouldNotRun;
    }
    match ends.iter().filter(|count| **count >= 3).count() >= 2 {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}

/// All tasks of 36 jobs that last fail once, at the same time. Each could run
/// again at once on any runner.
fn failing_services(record: &Path, is_troubled: bool) -> Verdict {
    let queue = Queue { needs_advice: false, ..QUEUE };
    let mut cell = Cell::start(record, 8, 0, 3, AMPLE_MEMORY_KB, queue);
    if !cell.wait_until_ready() {
        return Verdict::CouldNotRun;
    }
    cell.run_for(1_500);
    // 108 cores of 128.
    for number in 0..36 {
        let id = format!("00000000000e00{number:02}");
        let lasting = Behaviour { lasts: true, ..Default::default() };
        cell.runners.behave(&id, lasting);
        let body = "{\"spec\":\"serve\",\"steps\":[{\"count\":3,\
            \"cpu\":1000,\"mem_mb\":256,\"est_runtime_ms\":1000,\
            \"long_running\":true}]}";
        if !cell.submit("jobs", &id, body) {
            return Verdict::CouldNotRun;
        }
        cell.run_for(50);
    }
    cell.run_for(3_000);
    if cell.runners.running() != 108 {
        return Verdict::CouldNotRun;
    }
    if is_troubled {
        cell.runners.fail_all();
    }
    // The rule allows 6 s and 3 s.
    cell.run_for(9_500);
    let after_9_s = 108 - cell.runners.running();
    cell.run_for(5_500);
    let after_15_s = 108 - cell.runners.running();
    cell.runners.note(&format!(
        "{after_9_s} of 108 tasks did not run 9.5 s after the failure, and \
         {after_15_s} 15 s after it, on runners of 128 cores"
    ));
    match after_9_s > 0 {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}

/// One runner of ten goes down and up by turns. A job of one task, which
/// would succeed anywhere, started there.
fn flapping_runner(record: &Path, is_troubled: bool) -> Verdict {
    let mut cell = Cell::start(record, 10, 0, 3, AMPLE_MEMORY_KB, QUEUE);
    if !cell.wait_until_ready() {
        return Verdict::CouldNotRun;
    }
    cell.run_for(1_500);
    // Work for all runners, which goes on all the while.
    for number in 0..10 {
        let id = format!("00000000000b000{number}");
        let work_ms = 60_000;
        cell.runners.behave(&id, Behaviour { work_ms, ..Default::default() });
        let body = job_body(2, 7_000, work_ms);
        if !cell.submit("jobs", &id, &body) {
            return Verdict::CouldNotRun;
        }
    }
    cell.run_for(2_000);
    let id = "00000000000c0000";
    let work_ms = 8_000;
    cell.runners.behave(id, Behaviour { work_ms, ..Default::default() });
    let body = job_body(1, 1_000, work_ms);
    if !cell.submit("jobs", &id, &body) {
        return Verdict::CouldNotRun;
    }
    cell.run_for(1_500);
    let task = format!("{id}.0.0.0");
    let Some(flapping) = cell.runners.runner_of(&task) else {
        return Verdict::CouldNotRun;
    };
    if is_troubled {
        // Period 1.4 s for 6.5 s, as in the site files.
        for _ in 0..4 {
            cell.runners.crash(flapping);
            cell.run_for(700);
            cell.runners.begin_life(flapping);
            cell.run_for(700);
        }
        cell.runners.note("the runner stays up from now on");
    }
    let mut state = String::new();
    for _ in 0..40 {
        state = cell.state("jobs", id);
        if state == "completed" || state == "failed" {
            break;
        }
        cell.run_for(1_000);
    }
    let runs = runs_of(&cell, &task);
    let failed_ends = runs.iter().filter(|run| run.end == Some("failed"));
    let failed_ends = failed_ends.count();
    let text = format!(
        "job {id}: {state}; {} runs, {failed_ends} of them ended `failed`",
        runs.len()
    );
    cell.runners.note(&text);
    thread::sleep(Duration::from_millis(100));
    match (state.as_str(), failed_ends) {
        ("failed", 0..3) => Verdict::Broken,
        ("completed", _) => Verdict::Held,
        _ => Verdict::CouldNotRun,
    }
}

fn job_body(count: u32, cpu: u32, est_ms: u64) -> String {
    format!(
        "{{\"spec\":\"work\",\"steps\":[{{\"count\":{count},\"cpu\":{cpu},\
         \"mem_mb\":256,\"est_runtime_ms\":{est_ms}}}]}}"
    )
}

fn runs_of(cell: &Cell, task: &str) -> Vec<Start> {
    let world = cell.runners.lock();
    world.starts.iter().filter(|s| s.task == task).cloned().collect()
}
