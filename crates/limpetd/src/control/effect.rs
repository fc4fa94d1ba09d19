use limpet_core::{
    Error, ErrorKind, Result, ShardId, TimeMs, WorkerId,
    journal::{Attempt, Record},
    scheduler::{Decision, Effect, Event},
};
use limpet_platform::WorkerCommand;
use slog::info;

use super::{
    ControlState,
    journal::Then,
    owned_shard::{Claiming, OwnedShard},
    worker_link::RunId,
};
use crate::metrics::Counter;

impl ControlState {
    /// Feeds an event to the scheduler of an owned shard and performs what
    /// it decides.
    pub(super) fn feed(&mut self, shard: ShardId, event: &Event) {
        let now = self.parts.wall_clock.now();
        self.feed_at(shard, event, now);
    }

    /// Feeds an event that happened at `at`.
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
                if !owned.withdraw_claim(task) {
                    owned.push_command(&worker, WorkerCommand::Stop { task });
                }
            }
            Effect::Checkpoint { task, worker, .. } => {
                let command = WorkerCommand::Checkpoint { task };
                if !owned.withdraw_claim(task) {
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
        info!(self.parts.log, "place: decided";
            "shard" => shard.get(), "task" => %decision.task,
            "worker" => worker, "reason" => &decision.reason);
    }

    /// Returns an owned shard that may be acted for.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::NotOwner`] where this instance doesn't own it, or can't
    /// be sure of that any more.
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
    /// Lets a start wait until its claim is durable.
    ///
    /// Also an idempotent one: the next owner has to know that the task may
    /// run at a worker which it can't reach.
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
        self.append(record, Then::Start(command));
    }

    /// Keeps a start from leaving, where it still waits for its claim.
    fn withdraw_claim(&mut self, task: limpet_core::TaskId) -> bool {
        let claiming = self.claiming.get_mut(&task);
        claiming.is_some_and(|claiming| {
            claiming.withdrawn = true;
            true
        })
    }

    /// Lets a command wait for the next exchange with its worker.
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
