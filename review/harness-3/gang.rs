//! Gangs of 5,000 members are placed while the store is slow, and a runner
//! crashes before their claims are durable. The platform ends a process that
//! exceeds its memory, and starts it again.

use std::{
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Mutex,
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    cell::{Cell, Options},
    finish,
    record::Record,
    store::{Fate, StoreCall},
};

/// The largest gang that the system accepts.
const MEMBERS: u32 = 5_000;
const ROUNDS: u64 = 10;
/// The memory of a process on the site: 260 MB.
const MEMORY_KB: u64 = 260 * 1_024;
/// The platform starts a process that has ended again after this time.
const RESTART_MS: u64 = 500;
/// A store of 50 times the usual times: of a transaction, and of an answer.
const SLOW_TRANSACTION_MS: u64 = 250;
const SLOW_ANSWER_MS: u64 = 200;
/// How long the store is slow in a round, at most.
const SLOW_FOR_MS: u64 = 4_500;
/// A runner crashes this long after the claims have arrived at the store.
const CRASH_AFTER_MS: u64 = 100;
/// The members fill the first runners, of which one crashes in each round.
const HOSTS: usize = 3;
/// How long a runner is down.
const DOWN_MS: u64 = 2_000;
/// The ends on a machine that break the rule, on two machines.
const ENDS: usize = 3;

pub fn play(record: Arc<Record>, has_trouble: bool) {
    let cell = Arc::new(Cell::start(
        Arc::clone(&record),
        &Options { stop_ms: 100, ..Options::default() },
    ));
    let ends: Arc<Vec<Mutex<usize>>> =
        Arc::new(cell.entries.iter().map(|_| Mutex::default()).collect());
    watch_memory(&cell, &ends);
    // The id of the job whose claims are awaited at the store.
    let awaited: Arc<Mutex<String>> = Arc::default();
    let is_written = Arc::new(AtomicBool::new(false));
    let (job_id, seen) = (Arc::clone(&awaited), Arc::clone(&is_written));
    cell.store.set_rule(move |call: &StoreCall| {
        let id = job_id.lock().unwrap();
        if call.kind == "tx"
            && call.table == "progress"
            && !id.is_empty()
            && call.body.contains(id.as_str())
        {
            seen.store(true, Ordering::SeqCst);
        }
        Fate::Usual
    });
    let count = |ends: &[Mutex<usize>]| -> usize {
        ends.iter().map(|count| *count.lock().unwrap()).sum()
    };
    let job = format!(
        "{{\"spec\":\"ms=600000\",\"steps\":[{{\"count\":{MEMBERS},\"cpu\":10,\
         \"mem_mb\":8,\"est_runtime_ms\":600000,\"gang\":true}}]}}"
    );
    for round in 0..ROUNDS {
        let id = format!("{:016x}", 0x5c0e_7a21_d94b_0000 + round);
        let before = count(&ends);
        awaited.lock().unwrap().clone_from(&id);
        is_written.store(false, Ordering::SeqCst);
        let began = Instant::now();
        if has_trouble {
            cell.store.set_slow(Some((SLOW_TRANSACTION_MS, SLOW_ANSWER_MS)));
            record.line("the store is 50 times as slow");
        }
        let submitted = (0..3).any(|entry| {
            let answer = cell.request(entry, "POST", &id, &job, 3_000);
            answer.is_some_and(|answer| answer.0 == 200)
        });
        if !submitted {
            record.line("the job wasn't accepted; next round");
        }
        let passed_ms = || began.elapsed().as_millis() as u64;
        while submitted
            && !is_written.load(Ordering::SeqCst)
            && passed_ms() < SLOW_FOR_MS - 500
        {
            thread::sleep(Duration::from_millis(2));
        }
        let runner = &cell.runners[round as usize % HOSTS];
        if has_trouble {
            if is_written.load(Ordering::SeqCst) {
                thread::sleep(Duration::from_millis(CRASH_AFTER_MS));
            }
            runner.crash();
            let down_since = Instant::now();
            while count(&ends) == before && passed_ms() < SLOW_FOR_MS {
                thread::sleep(Duration::from_millis(5));
            }
            cell.store.set_slow(None);
            record.line("the store is as fast as usual");
            let down = Duration::from_millis(DOWN_MS);
            thread::sleep(down.saturating_sub(down_since.elapsed()));
            runner.restart();
        } else {
            thread::sleep(Duration::from_millis(1_500));
        }
        for entry in [1, 2, 0] {
            let answer = cell.request(entry, "DELETE", &id, "", 3_000);
            if answer.is_some_and(|answer| matches!(answer.0, 200 | 410)) {
                break;
            }
        }
        thread::sleep(Duration::from_millis(2_500));
    }
    let mut broken = Vec::new();
    let by_machine: Vec<usize> =
        ends.iter().map(|count| *count.lock().unwrap()).collect();
    let over = by_machine.iter().filter(|count| **count >= ENDS).count();
    record.line(&format!("ends for their memory by machine: {by_machine:?}"));
    if over >= 2 {
        broken.push(format!(
            "Fault: processes end for their memory on {over} of {} machines \
             at least {ENDS} times each: {by_machine:?}",
            by_machine.len()
        ));
    }
    finish(&cell, broken)
}

/// Ends each process that exceeds its memory, and starts it again, as the
/// platform does.
fn watch_memory(cell: &Arc<Cell>, ends: &Arc<Vec<Mutex<usize>>>) {
    for number in 0..cell.entries.len() {
        let cell = Arc::clone(cell);
        let ends = Arc::clone(ends);
        thread::spawn(move || {
            let entry = &cell.entries[number];
            loop {
                let peak_kb = entry.peak_memory_kb();
                if peak_kb > MEMORY_KB {
                    entry.kill();
                    *ends[number].lock().unwrap() += 1;
                    cell.record.line(&format!(
                        "{} has used {peak_kb} kB and is ended",
                        entry.name
                    ));
                    thread::sleep(Duration::from_millis(RESTART_MS));
                    entry.spawn();
                    cell.record.line(&format!("{} starts again", entry.name));
                }
                thread::sleep(Duration::from_millis(3));
            }
        });
    }
}
