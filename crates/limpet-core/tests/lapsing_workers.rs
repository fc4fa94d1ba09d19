//! Tasks whose workers lapse under them.

mod cell;

use cell::{Cell, job, task};
use limpet_core::{
    JobId, JobState,
    scheduler::{Event, SchedulerOptions},
};

/// The most workers that one task may take down: two without a cost, then its
/// first start after that and five retries.
const MAX_LAPSES: u32 = 8;

/// Returns how many workers lapse under a job of one task, which each of them
/// has run for `run_ms`, at most `limit`.
fn lapses(run_ms: u64, limit: u32) -> (u32, JobState) {
    let mut cell = Cell::new(SchedulerOptions::new());
    cell.join("w0", "r0", 8);
    cell.submit(1, job("one", "batch", 1, 1));
    let state = |cell: &Cell| {
        let views = cell.scheduler.jobs();
        let view = views.iter().find(|view| view.job == JobId::new(1));
        view.expect("the job is known").state
    };
    let mut lapsed = 0;
    while lapsed < limit && state(&cell) != JobState::Failed {
        let Some(worker) = cell.placed.get(&task(1, 0)).cloned() else {
            cell.advance(1_000);
            continue;
        };
        cell.confirm_all();
        cell.advance(run_ms);
        lapsed += 1;
        cell.handle(Event::WorkerLapsed { worker });
        cell.join(&format!("w{lapsed}"), "r0", 8);
    }
    (lapsed, state(&cell))
}

/// Guards against a task that crashes worker after worker in the embedded
/// cell, where a crash is a lease that lapses.
#[test]
fn deadly_task() {
    let (lapsed, state) = lapses(1_000, 100);
    assert_eq!(state, JobState::Failed);
    assert!(lapsed <= MAX_LAPSES, "{lapsed} workers lapsed");
}

/// Guards against a service that fails because its workers lapse now and then
/// over a long time.
#[test]
fn long_runs() {
    let (lapsed, state) = lapses(3_600_000, 50);
    assert_eq!(lapsed, 50);
    assert_ne!(state, JobState::Failed);
}
