//! One client of four leaves a submission that takes long, and cancels the job
//! at another instance. The cancelling is acknowledged before the submission
//! is written.

use std::{sync::Arc, thread, time::Duration};

use crate::{
    cell::{Cell, Options},
    finish,
    record::Record,
};

const JOB: &str = "5c0e7a21d94b36f8";
/// The jobs of the clients that stay.
const OTHER_JOBS: [&str; 3] =
    ["11c4a90be7725d03", "2f60d1c88a3e94b6", "3ab95e7f40c2d81a"];
/// The client leaves at half of its objective of 250 ms.
const LEAVES_MS: u64 = 125;
/// A store of 50 times the usual answer time: 50 x 5 ms for a transaction and
/// 50 x 4 ms for an answer.
const SLOW_TRANSACTION_MS: u64 = 250;
const SLOW_ANSWER_MS: u64 = 200;
/// How long the store is slow after the cancelling was acknowledged.
const SLOW_FOR_MS: u64 = 500;
const CANCEL_MS: u64 = 3_000;
/// After this time without an impairment all machines are in touch.
const CONTACT_MS: u64 = 3_000;
/// How long each of the two steps works.
const STEP_MS: u64 = 4_000;

pub fn play(record: Arc<Record>, has_trouble: bool) {
    let cell = Arc::new(Cell::start(Arc::clone(&record), &Options::default()));
    let step = format!(
        "\"count\":2,\"cpu\":1400,\"mem_mb\":256,\"est_runtime_ms\":{STEP_MS}"
    );
    let job = format!(
        "{{\"spec\":\"ms={STEP_MS}\",\"steps\":[{{{step}}},{{{step},\"after\":[0]}}]}}"
    );
    if has_trouble {
        cell.store.set_slow(Some((SLOW_TRANSACTION_MS, SLOW_ANSWER_MS)));
        record.line("the store is 50 times as slow");
    }
    let others: Vec<_> = (0..)
        .zip(OTHER_JOBS)
        .map(|(entry, id)| {
            let (cell, job) = (Arc::clone(&cell), job.clone());
            thread::spawn(move || cell.request(entry, "POST", id, &job, 3_000))
        })
        .collect();
    let submitted = cell.request(0, "POST", JOB, &job, LEAVES_MS);
    let cancelled = cell.request(1, "DELETE", JOB, "", 3_000);
    let acked_ms = record.now_ms();
    if !matches!(cancelled, Some((200 | 410, _))) {
        eprintln!("the cancelling wasn't acknowledged: {cancelled:?}");
        cell.end(2);
    }
    thread::sleep(Duration::from_millis(SLOW_FOR_MS));
    cell.store.set_slow(None);
    record.line("the store is as fast as usual");
    let in_touch_by = record.now_ms() + CONTACT_MS;
    for other in others {
        other.join().ok();
    }
    if !has_trouble && submitted.map(|answer| answer.0) != Some(200) {
        eprintln!("the job wasn't accepted");
        cell.end(2);
    }
    for _ in 0..10 {
        thread::sleep(Duration::from_millis(1_000));
        cell.state(2, JOB);
    }
    let mut broken = Vec::new();
    let gone_by = acked_ms + CANCEL_MS;
    for start in record.starts_of(JOB) {
        if start.at_ms > gone_by.max(in_touch_by) {
            broken.push(format!(
                "UNASKED: {} starts {} ms after its job's cancelling was acknowledged",
                start.task,
                start.at_ms - acked_ms
            ));
        }
    }
    finish(&cell, broken)
}
