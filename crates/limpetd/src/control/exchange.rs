//! The exchanges of a shard's owner with its workers.
//!
//! The owner polls each worker. A request renews the worker's lease and
//! carries commands; the report in the answer lists what runs, what has ended
//! and what was refused there.

use std::{collections::BTreeSet, rc::Rc, time::Duration};

use limpet_core::{
    Epoch, ShardId, TaskId, TaskOutcome, WorkerId,
    journal::{Attempt, Record},
    recovery::{Inventory, InventoryTask, reconcile},
    scheduler::{Event, TaskUsage},
};
use limpet_platform::{PortError, WorkerCommand, WorkerReport, WorkerRequest};
use slog::warn;

use super::{
    ControlState, SharedState, journal::OnDurable, owned_shard::OwnedShard,
    worker_link::RunId,
};
use crate::metrics::Counter;

/// How often the loop checks for due exchanges when nothing wakes it, in
/// milliseconds.
const CHECK_INTERVAL_MS: u64 = 20;
/// How many exchanges in a row must fail before a worker is suspected and
/// gets no new tasks.
const SUSPECT_AFTER: u32 = 2;

/// Exchanges messages with the workers of a shard for as long as the
/// ownership lasts.
pub(super) async fn run(state: SharedState, shard: ShardId, epoch: Epoch) {
    loop {
        let wake = {
            let mut state = state.borrow_mut();
            if !state.owns(shard, epoch) {
                return;
            }
            state.mark_expired_workers(shard);
            state.feed(shard, &Event::Tick);
            let Some(owned) = state.shards.get(&shard) else { return };
            Rc::clone(&owned.worker_wake)
        };
        let due = state.borrow_mut().due_exchanges(shard);
        for exchange in due {
            actix_rt::spawn(perform_exchange(Rc::clone(&state), exchange));
        }
        // The commands of a burst are sent together, in one exchange for
        // each worker.
        let interval = Duration::from_millis(CHECK_INTERVAL_MS);
        let _ = actix_rt::time::timeout(interval, wake.notified()).await;
    }
}

/// A request to a worker that is due to be sent.
struct Exchange {
    shard: ShardId,
    epoch: Epoch,
    worker: WorkerId,
    address: String,
    request: WorkerRequest,
}

/// Sends the request of an exchange and handles the answer.
async fn perform_exchange(state: SharedState, exchange: Exchange) {
    let send = {
        let state = state.borrow();
        state.parts.metrics.add(Counter::WorkerExchanges, 1);
        Rc::clone(&state.parts.platform.workers.exchange)
    };
    let answer =
        send(exchange.address.clone(), exchange.request.clone()).await;
    let shard = exchange.shard;
    let mut state = state.borrow_mut();
    if !state.owns(exchange.shard, exchange.epoch) {
        return;
    }
    match answer {
        Ok(report) => state.handle_report(&exchange, report),
        Err(err) => state.handle_failure(exchange, &err),
    }
    if let Some(owned) = state.shards.get(&shard) {
        owned.worker_wake.notify_one();
    }
}

impl ControlState {
    /// Returns the exchanges that are due and marks their links as awaiting an
    /// answer.
    ///
    /// Commands are sent only while the shard's lease is valid, and only to a
    /// worker whose last stamp is known: without that, the request renews no
    /// lease under which a task could run.
    fn due_exchanges(&mut self, shard: ShardId) -> Vec<Exchange> {
        let now = self.now();
        let control = self.parts.settings.control;
        let acting = self.may_act(shard);
        let valid_until = self
            .leases
            .get(&shard)
            .and_then(|lease| lease.valid_until())
            .unwrap_or_default();
        let Some(owned) = self.shards.get_mut(&shard) else {
            return Vec::new();
        };
        // The leases of running tasks are renewed for `detached_ms` after
        // the shard's own lease has expired, so that they survive an outage
        // of the table. A new owner waits at least as long for a worker that
        // it can't reach, and a worker that it has reached refuses this
        // epoch.
        let renewing = now < valid_until.plus_ms(control.detached_ms);
        if !renewing {
            return Vec::new();
        }
        let mut due = Vec::new();
        for (worker, link) in &mut owned.workers {
            if !link.is_due(now, control.exchange_ms) {
                continue;
            }
            link.awaiting_answer = true;
            link.last_sent_at = Some(now);
            let commands = if acting && link.stamp_ms.is_some() {
                std::mem::take(&mut link.commands)
            } else {
                Vec::new()
            };
            due.push(Exchange {
                shard,
                epoch: owned.epoch,
                worker: worker.clone(),
                address: link.entry.address.clone(),
                request: WorkerRequest {
                    shard,
                    epoch: owned.epoch,
                    stamp_ms: link.stamp_ms,
                    lease_ms: control.worker_lease_ms,
                    commands,
                },
            });
        }
        due
    }

    /// Marks the workers whose leases have expired because they didn't answer,
    /// and records their tasks as stopped.
    fn mark_expired_workers(&mut self, shard: ShardId) {
        let now = self.now();
        let Some(owned) = self.shards.get_mut(&shard) else { return };
        let mut expired = Vec::new();
        for (worker, link) in &mut owned.workers {
            if !link.expired && now >= link.expires_at {
                link.expired = true;
                link.answered = false;
                link.stamp_ms = None;
                link.runs.clear();
                link.commands.clear();
                expired.push(worker.clone());
            }
        }
        for worker in &expired {
            owned.record_expiry(worker);
        }
        for worker in expired {
            warn!(
                self.parts.log,
                "place: worker's leases expired; its tasks count as stopped";
                "shard" => shard.get(), "worker" => %worker
            );
            self.parts.metrics.add(Counter::WorkerLapses, 1);
            self.feed(shard, &Event::WorkerLapsed { worker });
        }
    }

    /// Handles an exchange without an answer: queues its commands again, and
    /// suspects the worker after [`SUSPECT_AFTER`] failures in a row. Does
    /// neither if the worker's leases have expired.
    fn handle_failure(&mut self, exchange: Exchange, err: &PortError) {
        let Exchange { shard, worker, request, .. } = exchange;
        self.parts.metrics.add(Counter::WorkerFailures, 1);
        let log = self.parts.log.clone();
        let Some(owned) = self.shards.get_mut(&shard) else { return };
        let Some(link) = owned.workers.get_mut(&worker) else { return };
        link.awaiting_answer = false;
        link.failures += 1;
        if link.expired {
            return;
        }
        // The commands are sent again with the same attempt numbers. That is
        // safe: a worker carries out each attempt once, and refuses one whose
        // lease has expired.
        link.commands.splice(0..0, request.commands);
        if link.failures == SUSPECT_AFTER {
            warn!(
                log, "place: worker not answering; no new tasks until it does";
                "worker" => %worker, "error" => %err
            );
            self.feed(shard, &Event::WorkerSuspected { worker });
        }
    }

    /// Handles the report with which a worker answers an exchange.
    fn handle_report(&mut self, exchange: &Exchange, report: WorkerReport) {
        let Exchange { shard, worker, .. } = exchange;
        let now = self.now();
        let control = self.parts.settings.control;
        let Some(owned) = self.shards.get_mut(shard) else { return };
        if report.epoch > owned.epoch {
            self.lose_shard(*shard, "a worker has seen a higher epoch");
            return;
        }
        let Some(link) = owned.workers.get_mut(worker) else { return };
        link.awaiting_answer = false;
        let was_suspected = link.failures >= SUSPECT_AFTER;
        link.failures = 0;
        // A stamp smaller than the last one means that the worker has
        // restarted, and that it could not use the stamp in the request.
        let restarted =
            link.stamp_ms.is_some_and(|stamp_ms| report.stamp_ms < stamp_ms);
        link.stamp_ms = Some(report.stamp_ms);
        link.expires_at =
            now.plus_ms(control.worker_lease_ms).plus_ms(control.drift_ms);
        let first = !std::mem::replace(&mut link.answered, true);
        link.expired = false;
        if first || restarted {
            self.apply_first_report(*shard, worker, &report);
        } else if was_suspected {
            let worker = worker.clone();
            self.feed(*shard, &Event::WorkerAnswered { worker });
        }
        self.apply_refusals(*shard, worker, &report);
        self.apply_ends(*shard, worker, &report);
        self.apply_running(*shard, worker, &report);
        if report.leaving {
            let worker = worker.clone();
            self.feed(*shard, &Event::WorkerLeaving { worker });
        }
    }

    /// Applies the first report of a worker, or the first one after it
    /// restarted: learns its runs and tells the scheduler of the worker.
    fn apply_first_report(
        &mut self,
        shard: ShardId,
        worker: &WorkerId,
        report: &WorkerReport,
    ) {
        let Some(owned) = self.shards.get_mut(&shard) else { return };
        let Some(link) = owned.workers.get_mut(worker) else { return };
        link.runs = report
            .running
            .iter()
            .map(|running| {
                let run = RunId {
                    task: running.task,
                    epoch: running.epoch,
                    attempt: running.attempt,
                };
                (running.task, run)
            })
            .collect();
        let shape = link.entry.shape.clone();
        let missing = owned.missing_runs(worker, report);
        self.feed(shard, &Event::WorkerJoined { shape });
        for running in &report.running {
            self.feed(
                shard,
                &Event::TaskRunning {
                    task: running.task,
                    worker: worker.clone(),
                },
            );
        }
        for (task, attempt) in missing {
            self.record_missing_run(shard, worker, task, attempt);
        }
    }

    /// Applies the starts that the worker refused.
    fn apply_refusals(
        &mut self,
        shard: ShardId,
        worker: &WorkerId,
        report: &WorkerReport,
    ) {
        for &task in &report.refused {
            let Some(owned) = self.shards.get_mut(&shard) else { return };
            let link = owned.workers.get_mut(worker);
            if let Some(run) = link.and_then(|link| link.runs.remove(&task)) {
                let attempt = run.to_attempt();
                let record = Record::TaskNotStarted { task, attempt };
                owned.append(record, OnDurable::Nothing);
            }
            let worker = worker.clone();
            self.feed(shard, &Event::TaskNotStarted { task, worker });
        }
    }

    /// Applies the ended runs that the worker reports.
    fn apply_ends(
        &mut self,
        shard: ShardId,
        worker: &WorkerId,
        report: &WorkerReport,
    ) {
        let ended: BTreeSet<RunId> = report
            .ended
            .iter()
            .map(|ended| RunId {
                task: ended.task,
                epoch: ended.epoch,
                attempt: ended.attempt,
            })
            .collect();
        let Some(link) = self
            .shards
            .get_mut(&shard)
            .and_then(|owned| owned.workers.get_mut(worker))
        else {
            return;
        };
        // The worker stops reporting an end once it is acknowledged.
        link.recording.retain(|run| ended.contains(run));
        for ended in &report.ended {
            let run = RunId {
                task: ended.task,
                epoch: ended.epoch,
                attempt: ended.attempt,
            };
            self.apply_end(shard, worker, run, ended.outcome);
        }
    }

    /// Records the end of a run, unless that is being recorded already, and
    /// tells the scheduler unless another attempt has superseded the run.
    fn apply_end(
        &mut self,
        shard: ShardId,
        worker: &WorkerId,
        run: RunId,
        outcome: TaskOutcome,
    ) {
        let Some(owned) = self.shards.get_mut(&shard) else { return };
        let Some(link) = owned.workers.get_mut(worker) else { return };
        if !link.recording.insert(run) {
            return;
        }
        self.parts.metrics.add(Counter::TaskEnds, 1);
        let current = link.runs.get(&run.task) == Some(&run);
        let superseded = !current && link.runs.contains_key(&run.task);
        if current {
            link.runs.remove(&run.task);
        }
        let attempt = run.to_attempt();
        let record = Record::TaskEnded { task: run.task, attempt, outcome };
        owned.append(record, OnDurable::Acknowledge(worker.clone(), run));
        if superseded {
            return;
        }
        let task = run.task;
        if !current {
            // An earlier owner started the run, and no record names it: the
            // scheduler must learn of the run before its end.
            let worker = worker.clone();
            self.feed(shard, &Event::TaskRunning { task, worker });
        }
        let worker = worker.clone();
        self.feed(shard, &Event::TaskEnded { task, worker, outcome });
    }

    /// Applies the runs and usages that the worker reports, and records the
    /// runs as stopped that it doesn't report although they were started.
    fn apply_running(
        &mut self,
        shard: ShardId,
        worker: &WorkerId,
        report: &WorkerReport,
    ) {
        for running in &report.running {
            let worker = worker.clone();
            let task = running.task;
            self.feed(shard, &Event::TaskRunning { task, worker });
        }
        let usages = report
            .running
            .iter()
            .map(|running| TaskUsage {
                task: running.task,
                used: running.used,
            })
            .collect();
        self.feed(shard, &Event::UsageReported { usages });
        for run in self.remove_vanished_runs(shard, worker, report) {
            self.record_missing_run(shard, worker, run.task, run.to_attempt());
        }
    }

    /// Records as stopped a run that its worker doesn't know.
    fn record_missing_run(
        &mut self,
        shard: ShardId,
        worker: &WorkerId,
        task: TaskId,
        attempt: Attempt,
    ) {
        if let Some(owned) = self.shards.get_mut(&shard) {
            owned.append_stopped(task, attempt);
        }
        let worker = worker.clone();
        let outcome = TaskOutcome::Stopped;
        self.feed(shard, &Event::TaskEnded { task, worker, outcome });
    }

    /// Removes and returns the runs that the worker doesn't report as running
    /// and whose start command is not waiting to be sent. Runs that it reports
    /// as ended must have been removed before.
    fn remove_vanished_runs(
        &mut self,
        shard: ShardId,
        worker: &WorkerId,
        report: &WorkerReport,
    ) -> Vec<RunId> {
        let Some(link) = self
            .shards
            .get_mut(&shard)
            .and_then(|owned| owned.workers.get_mut(worker))
        else {
            return Vec::new();
        };
        let known: BTreeSet<TaskId> = report
            .running
            .iter()
            .map(|running| running.task)
            .chain(link.commands.iter().filter_map(started_task))
            .collect();
        let vanished: Vec<RunId> = link
            .runs
            .values()
            .copied()
            .filter(|run| !known.contains(&run.task))
            .collect();
        for run in &vanished {
            link.runs.remove(&run.task);
        }
        vanished
    }
}

/// Returns the task that a command starts, or `None` for any other command.
fn started_task(command: &WorkerCommand) -> Option<TaskId> {
    match command {
        WorkerCommand::Start { task, .. } => Some(*task),
        _ => None,
    }
}

impl OwnedShard {
    /// Returns the claimed runs of a worker that are missing in its first
    /// report and whose start command is not waiting to be sent.
    fn missing_runs(
        &self,
        worker: &WorkerId,
        report: &WorkerReport,
    ) -> Vec<(TaskId, Attempt)> {
        let inventory = to_inventory(report);
        let waits = |task: TaskId| {
            let link = self.workers.get(worker);
            link.is_some_and(|link| {
                link.commands.iter().any(|c| started_task(c) == Some(task))
            })
        };
        reconcile(&self.record, worker, Some(&inventory))
            .into_iter()
            .filter_map(|finding| match finding.record {
                Some(Record::TaskEnded { task, attempt, .. })
                    if !inventory.tasks.contains_key(&task)
                        && !report.refused.contains(&task)
                        && !waits(task) =>
                {
                    Some((task, attempt))
                }
                _ => None,
            })
            .collect()
    }

    /// Records every claimed task of a worker with expired leases as stopped,
    /// and withdraws the starts that are still waiting for their claims.
    fn record_expiry(&mut self, worker: &WorkerId) {
        let open: Vec<(TaskId, Attempt)> = self
            .record
            .open_tasks(worker)
            .map(|(task, claimed)| (task, claimed.attempt))
            .collect();
        for (task, attempt) in open {
            self.append_stopped(task, attempt);
        }
        let claiming: Vec<(TaskId, u32)> = self
            .claiming
            .iter()
            .filter(|(_, claiming)| claiming.worker == *worker)
            .map(|(&task, claiming)| (task, claiming.attempt))
            .collect();
        for (task, attempt) in claiming {
            self.claiming.remove(&task);
            let attempt = Attempt::new(self.epoch, attempt);
            let record = Record::TaskNotStarted { task, attempt };
            self.append(record, OnDurable::Nothing);
        }
    }
}

/// Returns the runs in a report in the form that `reconcile` compares with the
/// records.
fn to_inventory(report: &WorkerReport) -> Inventory {
    let running = report.running.iter().map(|running| {
        let attempt = Attempt::new(running.epoch, running.attempt);
        (running.task, InventoryTask { attempt, outcome: None })
    });
    let ended = report.ended.iter().map(|ended| {
        let attempt = Attempt::new(ended.epoch, ended.attempt);
        let outcome = Some(ended.outcome);
        (ended.task, InventoryTask { attempt, outcome })
    });
    Inventory { tasks: ended.chain(running).collect() }
}
