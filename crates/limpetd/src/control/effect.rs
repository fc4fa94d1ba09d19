use limpet_core::{
    Error, ErrorKind, Result, ShardId, TimeMs, WorkerId,
    scheduler::{Decision, Effect, Event},
};
use limpet_platform::WorkerCommand;
use slog::info;

use super::{
    ControlState,
    journal::{Pending, Then},
    owned_shard::OwnedShard,
    record::Record,
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
                task,
                worker,
                attempt,
                size,
                run_time_ms,
                idempotent,
            } => {
                self.parts.metrics.add(Counter::TaskStarts, 1);
                let command =
                    WorkerCommand::Start { task, attempt, size, run_time_ms };
                if idempotent {
                    owned.push_command(&worker, command);
                } else {
                    owned.append(Pending {
                        record: Record::Claimed {
                            task,
                            worker: worker.clone(),
                            attempt,
                        },
                        then: Then::Command(worker, command),
                    });
                }
            }
            Effect::Stop { task, worker, .. } => {
                owned.push_command(&worker, WorkerCommand::Stop { task });
            }
            Effect::Checkpoint { task, worker, .. } => {
                owned
                    .push_command(&worker, WorkerCommand::Checkpoint { task });
            }
            Effect::Throttle { task, worker } => {
                owned.push_command(&worker, WorkerCommand::Throttle { task });
            }
            Effect::Finished { job, state } => {
                owned.append(Pending::of(Record::Finished { job, state }));
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
        let now = self.now();
        self.shards
            .get_mut(&shard)
            .filter(|owned| owned.may_act(now))
            .ok_or_else(|| {
                Error::new(
                    ErrorKind::NotOwner,
                    format!("this instance doesn't own shard {shard}"),
                )
            })
    }
}

impl OwnedShard {
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
