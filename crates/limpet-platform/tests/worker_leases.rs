//! Rules of a worker in memory about leases, epochs and attempts.

use limpet_core::{
    Epoch, JobId, Resources, ShardId, TaskId, TaskOutcome, TimeMs,
};
use limpet_platform::{
    WorkerCommand, WorkerReport, WorkerRequest,
    embedded::{EmbeddedOptions, MemoryWorkers},
};

const LEASE_MS: u64 = 1_000;
const SIZE: Resources = Resources::new(8_000, 1_024, 0);

fn workers() -> MemoryWorkers {
    MemoryWorkers::new(&EmbeddedOptions::new().workers(1).keep_records(true))
}

fn task(index: u32) -> TaskId {
    TaskId::new(JobId::new(1), index)
}

fn start(index: u32, attempt: u32, run_time_ms: u64) -> WorkerCommand {
    let run_time_ms = Some(run_time_ms);
    WorkerCommand::Start {
        task: task(index),
        attempt,
        size: SIZE,
        run_time_ms,
    }
}

fn request(
    epoch: u64,
    stamp_ms: Option<u64>,
    commands: Vec<WorkerCommand>,
) -> WorkerRequest {
    WorkerRequest {
        shard: ShardId::new(1),
        epoch: Epoch::new(epoch),
        stamp_ms,
        lease_ms: LEASE_MS,
        commands,
    }
}

fn send(
    workers: &mut MemoryWorkers,
    now_ms: u64,
    request: WorkerRequest,
) -> WorkerReport {
    workers.exchange("w-1", &request, TimeMs::from_ms(now_ms)).unwrap()
}

fn acknowledge(epoch: u64, attempt: u32) -> WorkerCommand {
    let epoch = Epoch::new(epoch);
    WorkerCommand::Acknowledge { task: task(0), epoch, attempt }
}

fn outcomes(report: &WorkerReport) -> Vec<(u32, TaskOutcome)> {
    report.ended.iter().map(|e| (e.task.index, e.outcome)).collect()
}

#[test]
fn task_finishes() {
    let mut workers = workers();
    let report =
        send(&mut workers, 0, request(1, Some(0), vec![start(0, 1, 400)]));
    assert_eq!(report.running.len(), 1);
    let report = send(&mut workers, 400, request(1, Some(0), vec![]));
    assert_eq!(outcomes(&report), [(0, TaskOutcome::Done)]);
    let report = send(&mut workers, 500, request(1, Some(400), vec![]));
    assert_eq!(report.ended.len(), 1, "reported until it is acknowledged");
    let ack = acknowledge(1, 1);
    let report = send(&mut workers, 500, request(1, Some(400), vec![ack]));
    assert!(report.ended.is_empty());
}

#[test]
fn lease_expiry_stops() {
    let mut workers = workers();
    send(&mut workers, 0, request(1, Some(0), vec![start(0, 1, 5_000)]));
    send(&mut workers, 900, request(1, Some(500), vec![]));
    let report = send(&mut workers, 1_499, request(1, Some(500), vec![]));
    assert_eq!(report.running.len(), 1);
    let report = send(&mut workers, 1_500, request(1, Some(1_499), vec![]));
    assert_eq!(outcomes(&report), [(0, TaskOutcome::Stopped)]);
    let records = workers.records(TimeMs::from_ms(1_500));
    assert_eq!(records[1].at, TimeMs::from_ms(1_500));
}

#[test]
fn stamp_required() {
    let mut workers = workers();
    let report = send(&mut workers, 0, request(1, None, vec![start(0, 1, 9)]));
    assert_eq!(report.refused, [task(0)]);
    // This message took longer to arrive than the lease runs.
    let report =
        send(&mut workers, 2_000, request(1, Some(0), vec![start(1, 1, 9)]));
    assert_eq!(report.refused, [task(1)]);
    assert!(report.running.is_empty());
}

#[test]
fn older_epoch() {
    let mut workers = workers();
    send(&mut workers, 0, request(2, Some(0), vec![start(0, 1, 9_000)]));
    let stop = WorkerCommand::Stop { task: task(0) };
    let stale = request(1, Some(0), vec![stop, start(1, 1, 9)]);
    let report = send(&mut workers, 10, stale);
    assert_eq!(report.epoch, Epoch::new(2));
    assert_eq!(report.running.len(), 1);
    assert!(report.refused.is_empty());
    // A request of the older epoch doesn't renew a lease either.
    send(&mut workers, 900, request(1, Some(900), vec![]));
    let report = send(&mut workers, 1_000, request(2, Some(1_000), vec![]));
    assert_eq!(outcomes(&report), [(0, TaskOutcome::Stopped)]);
}

#[test]
fn repeated_attempt() {
    let mut workers = workers();
    let first = request(1, Some(0), vec![start(0, 1, 10)]);
    send(&mut workers, 0, first.clone());
    let ack = acknowledge(1, 1);
    send(&mut workers, 20, request(1, Some(0), vec![ack]));
    let report = send(&mut workers, 30, first);
    assert!(report.running.is_empty(), "a repeated message starts nothing");
    let report =
        send(&mut workers, 40, request(1, Some(30), vec![start(0, 2, 10)]));
    assert_eq!(report.running.len(), 1, "a new attempt starts");
}

#[test]
fn earlier_epoch() {
    let mut workers = workers();
    send(&mut workers, 0, request(1, Some(0), vec![start(0, 3, 100)]));
    let again = request(2, Some(0), vec![start(0, 1, 100)]);
    let report = send(&mut workers, 10, again.clone());
    assert_eq!(report.running[0].epoch, Epoch::new(1));
    assert!(report.refused.is_empty(), "the run of the earlier epoch goes on");
    let report = send(&mut workers, 100, again);
    assert_eq!(report.ended[0].epoch, Epoch::new(1));
    let wrong = request(2, Some(0), vec![acknowledge(2, 3)]);
    assert_eq!(send(&mut workers, 110, wrong).ended.len(), 1);
    let ack = request(2, Some(0), vec![acknowledge(1, 3)]);
    assert!(send(&mut workers, 120, ack).ended.is_empty());
    // Attempts count from 1 again in the new epoch.
    let fresh = request(2, Some(120), vec![start(0, 2, 100)]);
    assert_eq!(send(&mut workers, 130, fresh).running.len(), 1);
}

#[test]
fn refused_attempt() {
    let mut workers = workers();
    let full = vec![start(0, 1, 100), start(1, 1, 100), start(2, 1, 100)];
    let full = request(1, Some(0), full);
    let report = send(&mut workers, 0, full.clone());
    assert_eq!(report.refused, [task(2)], "two tasks fill the worker");
    // There is room by now, but after the refusal the owner may have placed
    // the task elsewhere.
    let report = send(&mut workers, 200, full);
    assert_eq!(report.refused, [task(2)]);
    assert!(report.running.is_empty());
}

#[test]
fn leaving_worker() {
    let mut workers = workers();
    workers.get_mut("w-1").unwrap().set_leaving(true);
    let report =
        send(&mut workers, 0, request(1, Some(0), vec![start(0, 1, 10)]));
    assert!(report.leaving);
    assert_eq!(report.refused, [task(0)]);
}

#[test]
fn failing_worker() {
    let mut workers = workers();
    workers.get_mut("w-1").unwrap().set_failing(true);
    send(&mut workers, 0, request(1, Some(0), vec![start(0, 1, 900)]));
    let report = send(&mut workers, 1, request(1, Some(0), vec![]));
    assert_eq!(outcomes(&report), [(0, TaskOutcome::Failed)]);
}

#[test]
fn checkpoint_stops() {
    let mut workers = workers();
    let checkpoint = WorkerCommand::Checkpoint { task: task(0) };
    let commands = vec![start(0, 1, 900), checkpoint];
    let report = send(&mut workers, 0, request(1, Some(0), commands));
    assert_eq!(outcomes(&report), [(0, TaskOutcome::Checkpointed)]);
}

#[test]
fn usage_lags() {
    let mut workers = MemoryWorkers::new(
        &EmbeddedOptions::new().usage_lag_ms(300).usage_percent(150),
    );
    let report =
        send(&mut workers, 0, request(1, Some(0), vec![start(0, 1, 900)]));
    assert_eq!(report.running[0].used, Resources::ZERO);
    let report = send(&mut workers, 300, request(1, Some(0), vec![]));
    assert_eq!(report.running[0].used, Resources::new(12_000, 1_536, 0));
    let throttle = WorkerCommand::Throttle { task: task(0) };
    let report = send(&mut workers, 400, request(1, Some(0), vec![throttle]));
    assert_eq!(report.running[0].used, SIZE);
}
