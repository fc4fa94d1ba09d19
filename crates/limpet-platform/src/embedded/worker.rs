use std::collections::{BTreeMap, HashMap};

use limpet_core::{
    Epoch, Resources, ShardId, TaskId, TaskOutcome, TimeMs,
    scheduler::WorkerShape,
};

use super::{
    seen::{Attempt, SeenAttempts},
    task::MemoryTask,
};
use crate::port::{
    EndedTask, RunningTask, WorkerCommand, WorkerReport, WorkerRequest,
};

/// How workers in memory run tasks.
#[derive(Clone, Copy, Debug)]
pub(super) struct Behaviour {
    /// The ratio of the actual run time of a task to the declared one.
    pub(super) run_time_scale: f64,
    /// What a task uses, in per cent of its size.
    pub(super) usage_percent: u64,
    /// How long a task runs before its use is reported, in milliseconds.
    pub(super) usage_lag_ms: u64,
}

/// What a worker knows about the owner of a shard: its epoch, and until when
/// the shard's tasks may run without another renewal.
#[derive(Clone, Copy, Debug, Default)]
struct Lease {
    epoch: Epoch,
    until: TimeMs,
}

/// A worker in memory. It runs tasks under the leases of their shards, stops
/// them when a lease expires, and refuses requests of superseded epochs.
#[derive(Clone, Debug)]
pub struct MemoryWorker {
    shape: WorkerShape,
    behaviour: Behaviour,
    leaving: bool,
    /// Whether tasks that start now fail at once.
    failing: bool,
    leases: HashMap<ShardId, Lease>,
    running: BTreeMap<TaskId, MemoryTask>,
    /// The ends that aren't acknowledged yet.
    ended: BTreeMap<TaskId, EndedTask>,
    seen: SeenAttempts,
    /// The changes since [`Self::take_changes`] was last called.
    changes: Vec<TaskChange>,
}

/// The start or the end of an attempt on a worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct TaskChange {
    pub(super) task: TaskId,
    pub(super) attempt: Attempt,
    pub(super) at: TimeMs,
    /// How the attempt ended; `None` for a start.
    pub(super) outcome: Option<TaskOutcome>,
}

/// What the commands of one request have in common.
struct Context {
    shard: ShardId,
    epoch: Epoch,
    now: TimeMs,
    lease_ms: u64,
    /// Whether the lease that the request's own stamp proves is still valid.
    is_lease_valid: bool,
}

impl MemoryWorker {
    pub(super) fn new(
        shape: WorkerShape,
        behaviour: Behaviour,
    ) -> MemoryWorker {
        MemoryWorker {
            shape,
            behaviour,
            leaving: false,
            failing: false,
            leases: HashMap::new(),
            running: BTreeMap::new(),
            ended: BTreeMap::new(),
            seen: SeenAttempts::default(),
            changes: Vec::new(),
        }
    }

    /// Returns the worker's name, place and resources.
    pub fn shape(&self) -> &WorkerShape {
        &self.shape
    }

    /// Sets whether the worker is leaving. A leaving worker reports this and
    /// refuses starts.
    pub fn set_leaving(&mut self, leaving: bool) {
        self.leaving = leaving;
    }

    /// Sets whether every task that starts from now on fails at once.
    pub fn set_failing(&mut self, failing: bool) {
        self.failing = failing;
    }

    /// Advances the worker to `now`: tasks finish when their run time is over,
    /// and expired leases stop the tasks that ran under them.
    pub fn advance(&mut self, now: TimeMs) {
        self.seen.advance(now);
        let due: Vec<_> = self
            .running
            .iter()
            .filter_map(|(&task, run)| {
                self.due(run, now).map(|(at, outcome)| (task, at, outcome))
            })
            .collect();
        for (task, at, outcome) in due {
            self.end(task, at, outcome);
        }
    }

    /// Advances the worker to `now`, carries out a request and returns the
    /// report. A request of a superseded epoch changes nothing.
    pub fn exchange(
        &mut self,
        request: &WorkerRequest,
        now: TimeMs,
    ) -> WorkerReport {
        self.advance(now);
        let lease = self.leases.entry(request.shard).or_default();
        if request.epoch < lease.epoch {
            let epoch = lease.epoch;
            return self.report(epoch, Vec::new(), now);
        }
        lease.epoch = request.epoch;
        // A stamp from the future must come from another clock. It is cut to
        // the present, so that the lease ends at most `lease_ms` from now.
        let proven = request
            .stamp_ms
            .map(|stamp| stamp.min(now.as_ms()))
            .map(|stamp| TimeMs::from_ms(stamp).plus_ms(request.lease_ms));
        lease.until = lease.until.max(proven.unwrap_or(TimeMs::ZERO));
        let context = Context {
            shard: request.shard,
            epoch: request.epoch,
            now,
            lease_ms: request.lease_ms,
            is_lease_valid: proven.is_some_and(|until| now < until),
        };
        let mut refused = Vec::new();
        for command in &request.commands {
            self.carry_out(command, &context, &mut refused);
        }
        self.report(request.epoch, refused, now)
    }

    /// Returns and clears the changes since the last call.
    pub(super) fn take_changes(&mut self) -> Vec<TaskChange> {
        std::mem::take(&mut self.changes)
    }

    /// Stops all tasks and forgets their ends, as a restart of the worker
    /// does.
    pub(super) fn restart(&mut self, now: TimeMs) {
        let running: Vec<_> = self.running.keys().copied().collect();
        for task in running {
            self.end(task, now, TaskOutcome::Stopped);
        }
        self.ended.clear();
    }

    /// Returns when and how a task ends by itself, if it is due by `now`.
    fn due(
        &self,
        run: &MemoryTask,
        now: TimeMs,
    ) -> Option<(TimeMs, TaskOutcome)> {
        let expiry = self.leases.get(&run.shard).map_or(now, |l| l.until);
        match run.finish_at {
            Some(at) if at <= now && at <= expiry => Some((
                at,
                if run.fails {
                    TaskOutcome::Failed
                } else {
                    TaskOutcome::Done
                },
            )),
            _ if expiry <= now => Some((expiry, TaskOutcome::Stopped)),
            _ => None,
        }
    }

    /// Carries out a command. Adds the task to `refused` if the command is a
    /// start that is refused.
    fn carry_out(
        &mut self,
        command: &WorkerCommand,
        context: &Context,
        refused: &mut Vec<TaskId>,
    ) {
        match *command {
            WorkerCommand::Start { task, attempt, size, run_time_ms } => {
                if !self.start(task, attempt, size, run_time_ms, context) {
                    refused.push(task);
                }
            }
            WorkerCommand::Stop { task } => {
                self.end(task, context.now, TaskOutcome::Stopped);
            }
            WorkerCommand::Checkpoint { task } => {
                self.end(task, context.now, TaskOutcome::Checkpointed);
            }
            WorkerCommand::Throttle { task } => {
                if let Some(run) = self.running.get_mut(&task) {
                    run.throttled = true;
                }
            }
            WorkerCommand::Acknowledge { task, epoch, attempt } => {
                let acknowledged =
                    |e: &EndedTask| e.epoch == epoch && e.attempt == attempt;
                if self.ended.get(&task).is_some_and(acknowledged) {
                    self.ended.remove(&task);
                }
            }
        }
    }

    /// Starts a task unless it runs already or has an end that isn't
    /// acknowledged yet. Returns `false` if the start is refused.
    fn start(
        &mut self,
        task: TaskId,
        attempt: u32,
        size: Resources,
        run_time_ms: Option<u64>,
        context: &Context,
    ) -> bool {
        if self.running.contains_key(&task) || self.ended.contains_key(&task) {
            return true;
        }
        // A refused attempt counts as seen. The owner may start the task
        // elsewhere after the refusal, so a repetition of the message must
        // not start it here.
        let attempt = Attempt { epoch: context.epoch, number: attempt };
        let repeated = self.seen.contains(task, attempt);
        self.seen.insert(task, attempt, context.now.plus_ms(context.lease_ms));
        let fits = self.committed().plus(&size).fits_in(&self.shape.held);
        if repeated || !fits || !context.is_lease_valid || self.leaving {
            return false;
        }
        let run_time_ms = if self.failing { Some(0) } else { run_time_ms };
        let scale = self.behaviour.run_time_scale;
        let scaled = |ms: u64| (ms as f64 * scale) as u64;
        let run = MemoryTask {
            attempt,
            shard: context.shard,
            size,
            started_at: context.now,
            finish_at: run_time_ms.map(|ms| context.now.plus_ms(scaled(ms))),
            throttled: false,
            fails: self.failing,
        };
        self.running.insert(task, run);
        self.changes.push(TaskChange {
            task,
            attempt,
            at: context.now,
            outcome: None,
        });
        true
    }

    /// Ends a task and keeps its end until it is acknowledged. Does nothing if
    /// the task isn't running.
    fn end(&mut self, task: TaskId, at: TimeMs, outcome: TaskOutcome) {
        let Some(run) = self.running.remove(&task) else {
            return;
        };
        let ended = EndedTask {
            task,
            epoch: run.attempt.epoch,
            attempt: run.attempt.number,
            outcome,
        };
        self.ended.insert(task, ended);
        self.changes.push(TaskChange {
            task,
            attempt: run.attempt,
            at,
            outcome: Some(outcome),
        });
    }

    /// Returns the sum of the sizes of the running tasks.
    pub fn committed(&self) -> Resources {
        self.running
            .values()
            .fold(Resources::ZERO, |sum, run| sum.plus(&run.size))
    }

    fn report(
        &self,
        epoch: Epoch,
        refused: Vec<TaskId>,
        now: TimeMs,
    ) -> WorkerReport {
        let behaviour = &self.behaviour;
        let running = self.running.iter().map(|(&task, run)| RunningTask {
            task,
            epoch: run.attempt.epoch,
            attempt: run.attempt.number,
            size: run.size,
            used: run.used(
                now,
                behaviour.usage_lag_ms,
                behaviour.usage_percent,
            ),
        });
        WorkerReport {
            epoch,
            stamp_ms: now.as_ms(),
            running: running.collect(),
            ended: self.ended.values().cloned().collect(),
            refused,
            leaving: self.leaving,
        }
    }
}
