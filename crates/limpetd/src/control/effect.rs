//! Passes events to the schedulers of owned shards and carries out their
//! effects.

use limpet_core::{
    Error, ErrorKind, Result, ShardId, TimeMs, WorkerId,
    journal::{Attempt, Record},
    scheduler::{Decision, Effect, Event},
};
use limpet_platform::WorkerCommand;
use slog::info;

use super::{
    ControlState,
    journal::OnDurable,
    owned_shard::{Claiming, OwnedShard},
    worker_link::RunId,
};
use crate::metrics::Counter;

impl ControlState {
    /// Passes an event that happens now to the scheduler of an owned shard,
    /// and carries out the scheduler's effects.
    pub(super) fn feed(&mut self, shard: ShardId, event: &Event) {
        let now = self.parts.wall_clock.now();
        self.feed_at(shard, event, now);
    }

    /// Passes an event that happened at `at`, on the wall clock, to the
    /// scheduler of an owned shard, and carries out the scheduler's effects.
    pub(super) fn feed_at(
        &mut self,
        shard: ShardId,
        event: &Event,
        at: TimeMs,
    ) {
        let Some(owned) = self.shards.get_mut(&shard) else { return };
        let effects = owned.scheduler.handle(event, at);
        for effect in effects {
            self.perform(shard, effect);
        }
    }

    /// Carries out an effect of a shard's scheduler.
    fn perform(&mut self, shard: ShardId, effect: Effect) {
        let Some(owned) = self.shards.get_mut(&shard) else { return };
        match effect {
            Effect::Start {
                task, worker, attempt, size, run_time_ms, ..
            } => {
                self.parts.metrics.add(Counter::TaskStarts, 1);
                let command =
                    WorkerCommand::Start { task, attempt, size, run_time_ms };
                owned.claim(worker, command);
            }
            Effect::Stop { task, worker, .. } => {
                if !owned.withdraw_start(task) {
                    owned.push_command(&worker, WorkerCommand::Stop { task });
                }
            }
            Effect::Checkpoint { task, worker, .. } => {
                let command = WorkerCommand::Checkpoint { task };
                if !owned.withdraw_start(task) {
                    owned.push_command(&worker, command);
                }
            }
            Effect::Throttle { task, worker } => {
                owned.push_command(&worker, WorkerCommand::Throttle { task });
            }
            Effect::Finished { job, state } => {
                let at = self.parts.wall_clock.now();
                owned.append_finished(job, state, at);
            }
            Effect::Decided(decision) => self.log_decision(shard, &decision),
        }
    }

    fn log_decision(&self, shard: ShardId, decision: &Decision) {
        let worker = decision.worker.as_ref().map_or("-", WorkerId::as_str);
        info!(self.parts.log, "place: decision on a task";
            "shard" => shard.get(), "task" => %decision.task,
            "worker" => worker, "reason" => &decision.reason);
    }

    /// Returns an owned shard that is recovered and whose lease is valid.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::NotOwner`] if this instance doesn't own the shard, can't
    /// be sure that it still does, or is still reading its records.
    pub(super) fn acting_shard(
        &mut self,
        shard: ShardId,
    ) -> Result<&mut OwnedShard> {
        let may_act = self.may_act(shard);
        self.shards
            .get_mut(&shard)
            .filter(|owned| may_act && !owned.recovering)
            .ok_or_else(|| {
                Error::new(
                    ErrorKind::NotOwner,
                    format!("this instance doesn't own shard {shard}"),
                )
            })
    }
}

impl OwnedShard {
    /// Appends the claim of a start, which is sent once the claim is durable.
    ///
    /// Idempotent tasks are claimed too: the next owner has to know that the
    /// task may be running on a worker which it can't reach.
    fn claim(&mut self, worker: WorkerId, command: WorkerCommand) {
        let WorkerCommand::Start { task, attempt, .. } = command else {
            return;
        };
        let record = Record::TaskClaimed {
            task,
            attempt: Attempt::new(self.epoch, attempt),
            worker: worker.clone(),
        };
        self.claiming
            .insert(task, Claiming { worker, attempt, withdrawn: false });
        self.append(record, OnDurable::Start(command));
    }

    /// Withdraws the start of a task that is still waiting for its claim, and
    /// returns whether there was one.
    fn withdraw_start(&mut self, task: limpet_core::TaskId) -> bool {
        let claiming = self.claiming.get_mut(&task);
        claiming.is_some_and(|claiming| {
            claiming.withdrawn = true;
            true
        })
    }

    /// Queues a command for the next exchange with its worker.
    pub(super) fn push_command(
        &mut self,
        worker: &WorkerId,
        command: WorkerCommand,
    ) {
        let epoch = self.epoch;
        if let Some(link) = self.workers.get_mut(worker) {
            if let WorkerCommand::Start { task, attempt, .. } = &command {
                let run = RunId { task: *task, epoch, attempt: *attempt };
                link.runs.insert(*task, run);
            }
            link.commands.push(command);
            self.worker_wake.notify_one();
        }
    }
}
