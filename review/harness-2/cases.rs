//! What each case does and checks.

use std::{path::Path, thread, time::Duration};

use crate::{
    cell::Cell,
    world::{Behaviour, Start},
    Verdict,
};

/// Twice the memory of the machines and more, since this limit counts
/// addresses, not pages: an instance at rest uses a tenth of it.
const MEMORY_KB: u64 = 2 << 20;
/// No limit that an instance could meet.
const AMPLE_MEMORY_KB: u64 = 8 << 20;

pub fn play(case: &str, record: &Path, is_troubled: bool) -> Verdict {
    match case {
        "failing-gang" => failing_gang(record, is_troubled),
        "flapping-runner" => flapping_runner(record, is_troubled),
        _ => Verdict::CouldNotRun,
    }
}

/// A gang whose tasks ask for no memory, and for cores that are not counted,
/// fails after its tickets have expired. The third run is done.
fn failing_gang(record: &Path, is_troubled: bool) -> Verdict {
    let mut cell = Cell::start(record, 4, 3, MEMORY_KB);
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
        };
        cell.runners.behave(&id, behaviour);
        if cell.client("POST", &id, body).map(|a| a.0) != Some(200) {
            cell.runners.note("a job was not accepted");
            continue;
        }
        ids.push(id);
        cell.run_for(11_500);
    }
    for id in &ids {
        let state = cell.state(id);
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

/// One runner of eight goes down and up by turns. A job of one task, which
/// would succeed anywhere, started there.
fn flapping_runner(record: &Path, is_troubled: bool) -> Verdict {
    let mut cell = Cell::start(record, 8, 3, AMPLE_MEMORY_KB);
    if !cell.wait_until_ready() {
        return Verdict::CouldNotRun;
    }
    cell.run_for(1_500);
    // Work for all runners, which goes on all the while.
    for number in 0..8 {
        let id = format!("00000000000b000{number}");
        let work_ms = 60_000;
        cell.runners.behave(&id, Behaviour { work_ms, ..Default::default() });
        let body = job_body(2, 7_000, work_ms);
        if cell.client("POST", &id, &body).map(|a| a.0) != Some(200) {
            return Verdict::CouldNotRun;
        }
    }
    cell.run_for(2_000);
    let id = "00000000000c0000";
    let work_ms = 8_000;
    cell.runners.behave(id, Behaviour { work_ms, ..Default::default() });
    let body = job_body(1, 1_000, work_ms);
    if cell.client("POST", id, &body).map(|a| a.0) != Some(200) {
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
        state = cell.state(id);
        if state == "completed" || state == "failed" {
            break;
        }
        cell.run_for(1_000);
    }
    let runs = runs_of(&cell, &task);
    let failed_ends =
        runs.iter().filter(|run| run.end == Some("failed"));
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
