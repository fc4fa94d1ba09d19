//! The placement policy for urgent work, gangs, shares, failing workers and
//! failing jobs.

mod cell;

use cell::{Cell, job, task, worker};
use limpet_core::{
    ErrorKind, JobId, JobState, Resources, TaskOutcome,
    scheduler::{Event, SchedulerOptions},
};

/// Returns a cell with `workers` workers of `cores` cores each, two to a rack.
fn cell(workers: u32, cores: u64) -> Cell {
    let mut cell = Cell::new(SchedulerOptions::new());
    for n in 0..workers {
        cell.join(&format!("w{n}"), &format!("r{}", n / 2), cores);
    }
    cell
}

#[test]
fn urgent_work_preempts() {
    let mut cell = cell(2, 8);
    cell.submit(1, job("one", "batch", 40, 1));
    cell.confirm_all();
    let mut urgent = job("two", "batch", 2, 4);
    urgent.urgent = true;
    cell.submit(2, urgent);
    cell.carry_out_stops();
    assert_eq!(cell.running(2), 2);
    assert_eq!(cell.running(1), 8);
}

#[test]
fn non_idempotent_tasks_are_not_preempted() {
    let mut cell = cell(1, 8);
    let mut settlement = job("one", "batch", 8, 1);
    settlement.tasks[0].idempotent = false;
    cell.submit(1, settlement);
    cell.confirm_all();
    let mut urgent = job("two", "batch", 1, 1);
    urgent.urgent = true;
    cell.submit(2, urgent);
    cell.advance(2_000);
    assert_eq!(cell.running(1), 8);
    assert_eq!(cell.running(2), 0);
}

#[test]
fn usage_converges_to_shares() {
    let mut cell = cell(4, 8);
    cell.submit(1, job("one", "batch", 100, 1));
    cell.confirm_all();
    cell.submit(2, job("two", "batch", 100, 1));
    for _ in 0..20 {
        cell.advance(500);
        cell.confirm_all();
    }
    assert_eq!((cell.running(1), cell.running(2)), (16, 16));
}

#[test]
fn gang_starts_only_whole() {
    let mut cell = cell(2, 4);
    cell.submit(1, job("one", "batch", 1, 2));
    cell.submit(2, job("one", "gang", 2, 4));
    assert_eq!(cell.running(2), 0);
    cell.end(task(1, 0), TaskOutcome::Done);
    cell.advance(1_000);
    assert_eq!(cell.running(2), 2);
}

#[test]
fn leaving_worker_moves_only_its_task() {
    let mut cell = cell(3, 4);
    let mut gang = job("one", "gang", 2, 4);
    gang.tasks[0].can_checkpoint = true;
    cell.submit(1, gang);
    cell.confirm_all();
    let unmoved = cell.placed[&task(1, 1)].clone();
    let worker = cell.placed[&task(1, 0)].clone();
    cell.handle(Event::WorkerLeaving { worker: worker.clone() });
    cell.carry_out_stops();
    assert_eq!(cell.placed[&task(1, 1)], unmoved);
    assert_ne!(cell.placed[&task(1, 0)], worker);
}

#[test]
fn failing_worker_goes_on_probation() {
    let mut cell = cell(1, 4);
    for id in 1..=3 {
        cell.submit(id, job("one", "batch", 1, 1));
    }
    for id in 1..=3 {
        cell.end(task(id, 0), TaskOutcome::Failed);
    }
    let state = || "probation".to_owned();
    assert_eq!(cell.scheduler.workers()[0].state, state());
    cell.advance(20_000);
    assert_eq!(cell.placed.len(), 0);
    // After 30 s a single canary task starts; its success ends the probation.
    cell.advance(20_000);
    assert_eq!(cell.placed.len(), 1);
    let canary = *cell.placed.keys().next().unwrap();
    cell.end(canary, TaskOutcome::Done);
    assert_eq!(cell.scheduler.workers()[0].state, "ready");
}

#[test]
fn failing_job_leaves_workers_ready() {
    let mut cell = cell(6, 4);
    cell.submit(1, job("one", "batch", 12, 1));
    for _ in 0..20 {
        for task in cell.placed.keys().copied().collect::<Vec<_>>() {
            cell.end(task, TaskOutcome::Failed);
        }
        cell.advance(60_000);
    }
    let view = cell.scheduler.get_job(JobId::new(1)).unwrap();
    assert_eq!(view.state, JobState::Failed);
    let workers = cell.scheduler.workers();
    assert!(workers.iter().all(|view| view.state == "ready"));
}

#[test]
fn admit_refuses_job_that_never_fits() {
    let cell = cell(2, 4);
    let error = cell.scheduler.admit(&job("one", "batch", 1, 5)).unwrap_err();
    assert_eq!(error.kind(), ErrorKind::NeverFits);
    let error = cell.scheduler.admit(&job("one", "gang", 9, 1)).unwrap_err();
    assert_eq!(error.kind(), ErrorKind::NeverFits);
}

#[test]
fn explains_team_limit() {
    let mut cell = cell(1, 4);
    cell.set_allotment("one", Resources::new(2_000, 2_048, 0));
    cell.submit(1, job("one", "batch", 1, 2));
    cell.submit(2, job("one", "batch", 1, 1));
    insta::assert_snapshot!(cell.explain(2), @r"
    job 2 is waiting
    team `one` is at its limit
    the team runs 2 cores, 2048 MB of 2 cores, 2048 MB; the end of one of its tasks or a higher limit would let it start
    ");
}

#[test]
fn explains_missing_room() {
    let mut cell = cell(2, 4);
    cell.handle(Event::WorkerSuspected { worker: worker("w1") });
    cell.submit(1, job("one", "batch", 1, 4));
    cell.submit(2, job("two", "batch", 1, 2));
    insta::assert_snapshot!(cell.explain(2), @r"
    job 2 is waiting
    no worker has room for 2 cores, 2048 MB
    of 2 workers: 1 full, 1 suspected
    the end of running work, or a higher share, would let it start
    team `two` uses 0.0% of the cell and is served as number 1 of 3 teams
    ");
}
