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
    ControlState, SharedState, journal::Then, owned_shard::OwnedShard,
    worker_link::RunId,
};
use crate::metrics::Counter;

/// How often the links are looked at when nothing wakes the loop, in
/// milliseconds.
const LOOK_MS: u64 = 20;
/// The exchanges in a row without an answer after which a worker is
/// suspected.
const SUSPECT_AFTER: u32 = 2;

/// Speaks with the workers of a shard for as long as the ownership lasts.
pub(super) async fn run(state: SharedState, shard: ShardId, epoch: Epoch) {
    loop {
        let wake = {
            let mut state = state.borrow_mut();
            if !state.owns(shard, epoch) {
                return;
            }
            state.declare_lapses(shard);
            state.feed(shard, &Event::Tick);
            let Some(owned) = state.shards.get(&shard) else { return };
            Rc::clone(&owned.worker_wake)
        };
        let due = state.borrow_mut().due_exchanges(shard);
        for exchange in due {
            actix_rt::spawn(carry_out(Rc::clone(&state), exchange));
        }
        // A burst of commands shares the exchanges of one look.
        let look = Duration::from_millis(LOOK_MS);
        let _ = actix_rt::time::timeout(look, wake.notified()).await;
    }
}

/// An exchange that is about to be carried out.
struct Exchange {
    shard: ShardId,
    epoch: Epoch,
    worker: WorkerId,
    address: String,
    request: WorkerRequest,
}

async fn carry_out(state: SharedState, exchange: Exchange) {
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
        Ok(report) => state.take_report(&exchange, report),
        Err(err) => state.take_failure(exchange, &err),
    }
    if let Some(owned) = state.shards.get(&shard) {
        owned.worker_wake.notify_one();
    }
}

impl ControlState {
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
        // Renewing what already runs goes on for a while without the table:
        // a new owner waits at least as long for a worker that it can't
        // reach, and one that it reaches refuses this epoch.
        let renewing = now < valid_until.plus_ms(control.detached_ms);
        if !renewing {
            return Vec::new();
        }
        let mut due = Vec::new();
        for (worker, link) in &mut owned.workers {
            if !link.is_due(now, control.exchange_ms) {
                continue;
            }
            link.busy = true;
            link.asked_at = Some(now);
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

    /// Declares what runs on silent workers lapsed.
    fn declare_lapses(&mut self, shard: ShardId) {
        let now = self.now();
        let Some(owned) = self.shards.get_mut(&shard) else { return };
        let mut lapsed = Vec::new();
        for (worker, link) in &mut owned.workers {
            if !link.lapsed && now >= link.lapses_at {
                link.lapsed = true;
                link.heard = false;
                link.stamp_ms = None;
                link.runs.clear();
                link.commands.clear();
                lapsed.push(worker.clone());
            }
        }
        for worker in &lapsed {
            owned.record_lapse(worker);
        }
        for worker in lapsed {
            warn!(self.parts.log, "place: worker lapsed";
                "shard" => shard.get(), "worker" => %worker);
            self.parts.metrics.add(Counter::WorkerLapses, 1);
            self.feed(shard, &Event::WorkerLapsed { worker });
        }
    }

    fn take_failure(&mut self, exchange: Exchange, err: &PortError) {
        let Exchange { shard, worker, request, .. } = exchange;
        self.parts.metrics.add(Counter::WorkerFailures, 1);
        let log = self.parts.log.clone();
        let Some(owned) = self.shards.get_mut(&shard) else { return };
        let Some(link) = owned.workers.get_mut(&worker) else { return };
        link.busy = false;
        link.failures += 1;
        if link.lapsed {
            return;
        }
        // The commands go again, with the same attempts: a worker carries
        // out an attempt once, and refuses one whose lease has passed.
        link.commands.splice(0..0, request.commands);
        if link.failures == SUSPECT_AFTER {
            warn!(log, "place: worker suspected";
                "worker" => %worker, "error" => %err);
            self.feed(shard, &Event::WorkerSuspected { worker });
        }
    }

    fn take_report(&mut self, exchange: &Exchange, report: WorkerReport) {
        let Exchange { shard, worker, .. } = exchange;
        let now = self.now();
        let control = self.parts.settings.control;
        let Some(owned) = self.shards.get_mut(shard) else { return };
        if report.epoch > owned.epoch {
            self.lose_shard(*shard, "a worker has seen a higher epoch");
            return;
        }
        let Some(link) = owned.workers.get_mut(worker) else { return };
        link.busy = false;
        let was_suspected = link.failures >= SUSPECT_AFTER;
        link.failures = 0;
        // A stamp that goes back means that the worker has started anew, and
        // that the request's stamp was of no use to it.
        let restarted =
            link.stamp_ms.is_some_and(|stamp_ms| report.stamp_ms < stamp_ms);
        link.stamp_ms = Some(report.stamp_ms);
        link.lapses_at =
            now.plus_ms(control.worker_lease_ms).plus_ms(control.drift_ms);
        let first = !std::mem::replace(&mut link.heard, true);
        link.lapsed = false;
        if first || restarted {
            self.take_inventory(*shard, worker, &report);
        } else if was_suspected {
            let worker = worker.clone();
            self.feed(*shard, &Event::WorkerAnswered { worker });
        }
        self.take_refusals(*shard, worker, &report);
        self.take_ends(*shard, worker, &report);
        self.take_running(*shard, worker, &report);
        if report.leaving {
            let worker = worker.clone();
            self.feed(*shard, &Event::WorkerLeaving { worker });
        }
    }

    /// Takes in everything that runs on a worker that wasn't heard before.
    fn take_inventory(
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
            self.stop_missing(shard, worker, task, attempt);
        }
    }

    fn take_refusals(
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
                owned.append(record, Then::Nothing);
            }
            let worker = worker.clone();
            self.feed(shard, &Event::TaskNotStarted { task, worker });
        }
    }

    fn take_ends(
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
        // What the worker doesn't name any more was acknowledged.
        link.recording.retain(|run| ended.contains(run));
        for ended in &report.ended {
            let run = RunId {
                task: ended.task,
                epoch: ended.epoch,
                attempt: ended.attempt,
            };
            self.take_end(shard, worker, run, ended.outcome);
        }
    }

    fn take_end(
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
        owned.append(record, Then::Acknowledge(worker.clone(), run));
        if superseded {
            return;
        }
        let task = run.task;
        if !current {
            // An end of a run that an earlier owner started, and of which
            // no record tells.
            let worker = worker.clone();
            self.feed(shard, &Event::TaskRunning { task, worker });
        }
        let worker = worker.clone();
        self.feed(shard, &Event::TaskEnded { task, worker, outcome });
    }

    fn take_running(
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
        for run in self.vanished(shard, worker, report) {
            self.stop_missing(shard, worker, run.task, run.to_attempt());
        }
    }

    /// Takes a run that its worker doesn't know for stopped.
    fn stop_missing(
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

    /// Takes out the runs that the worker neither runs nor says to have
    /// ended, and whose start doesn't wait any more.
    fn vanished(
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

fn started_task(command: &WorkerCommand) -> Option<TaskId> {
    match command {
        WorkerCommand::Start { task, .. } => Some(*task),
        _ => None,
    }
}

impl OwnedShard {
    /// Returns the claimed runs that should be at a worker but are not in
    /// its first report, and whose start is not on its way.
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

    /// Records that nothing runs at a worker any more whose leases have
    /// lapsed, and keeps starts from leaving for it.
    fn record_lapse(&mut self, worker: &WorkerId) {
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
            self.append(record, Then::Nothing);
        }
    }
}

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
