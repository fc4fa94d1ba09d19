//! Runners crash under a task that lasts and that has never failed.

use std::{sync::Arc, thread, time::Duration};

use crate::{
    cell::{Cell, Options},
    finish,
    record::Record,
};

const JOB: &str = "7e5f8ce1bca53f79";
/// How often a runner crashes, one of eight at a time.
const CRASHES: usize = 3;
/// How long a run works before its runner crashes.
const WORKS_MS: u64 = 6_000;
/// How long a runner is down.
const DOWN_MS: u64 = 4_500;
/// A calm time at the end, longer than the 6 s after the last run and the 3 s
/// that the rule grants a task that lasts, and than `contact_ms`.
const CALM_MS: u64 = 20_000;

pub fn play(record: Arc<Record>, has_trouble: bool) {
    let options =
        Options { runner_cpu: 32_000, stop_ms: 400, ..Options::default() };
    let cell = Cell::start(Arc::clone(&record), &options);
    let job = "{\"spec\":\"ms=3600000\",\"steps\":[{\"count\":1,\"cpu\":2000,\
        \"mem_mb\":512,\"long_running\":true}]}";
    if cell.request(0, "POST", JOB, job, 3_000).map(|answer| answer.0)
        != Some(200)
    {
        cell.end(2);
    }
    for _ in 0..CRASHES {
        thread::sleep(Duration::from_millis(WORKS_MS));
        let hosting =
            cell.runners.iter().find(|runner| !runner.running().is_empty());
        let Some(runner) = hosting.filter(|_| has_trouble) else { continue };
        runner.crash();
        thread::sleep(Duration::from_millis(DOWN_MS));
        runner.restart();
    }
    record.line("no further crash");
    thread::sleep(Duration::from_millis(CALM_MS));
    let mut broken = Vec::new();
    let state = cell.state(1, JOB);
    let starts = record.starts_of(JOB);
    let failed = starts
        .iter()
        .filter(|s| s.end.is_some_and(|end| end.1 == "failed"))
        .count();
    if state == "failed" && failed == 0 {
        let text = "LOST: the job is shown as `failed`, and none of its runs has ended `failed`";
        broken.push(text.to_owned());
    }
    if cell.runners.iter().all(|runner| runner.running().is_empty()) {
        let text =
            "LOST: the task that lasts doesn't run, 20 s after the last crash";
        broken.push(text.to_owned());
    }
    finish(&cell, broken)
}
