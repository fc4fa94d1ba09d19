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

/// How one worker in memory behaves.
#[derive(Clone, Copy, Debug)]
pub(super) struct Behaviour {
    /// The run time of a task over its declared one.
    pub(super) run_time_scale: f64,
    /// What a task uses, in hundredths of its size.
    pub(super) usage_percent: u64,
    /// How long a task runs before its use is reported, in milliseconds.
    pub(super) usage_lag_ms: u64,
}

/// Ownership of a shard as a worker knows it.
#[derive(Clone, Copy, Debug, Default)]
struct Lease {
    epoch: Epoch,
    until: TimeMs,
}

/// A worker in memory: it runs tasks under leases and refuses older epochs.
#[derive(Clone, Debug)]
pub struct MemoryWorker {
    shape: WorkerShape,
    behaviour: Behaviour,
    leaving: bool,
    failing: bool,
    leases: HashMap<ShardId, Lease>,
    running: BTreeMap<TaskId, MemoryTask>,
    ended: BTreeMap<TaskId, EndedTask>,
    seen: SeenAttempts,
    changes: Vec<TaskChange>,
}

/// What happened to an attempt at a worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct TaskChange {
    pub(super) task: TaskId,
    pub(super) run: Attempt,
    pub(super) at: TimeMs,
    /// How it ended; `None` where it started.
    pub(super) outcome: Option<TaskOutcome>,
}

/// What is common to the commands of one request.
struct Context {
    shard: ShardId,
    epoch: Epoch,
    now: TimeMs,
    lease_ms: u64,
    /// Whether the leases that the request itself proves have not lapsed.
    fresh: bool,
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

    /// Returns what the worker is.
    pub fn shape(&self) -> &WorkerShape {
        &self.shape
    }

    /// Makes the worker say that it is leaving; it starts nothing more.
    pub fn set_leaving(&mut self, leaving: bool) {
        self.leaving = leaving;
    }

    /// Makes every task that starts from now on fail at once.
    pub fn set_failing(&mut self, failing: bool) {
        self.failing = failing;
    }

    /// Lets time pass: tasks finish, and the leases that lapsed stop what
    /// ran under them.
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

    /// Carries out a request and reports.
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
        // A stamp from the future can only be another clock's.
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
            fresh: proven.is_some_and(|until| now < until),
        };
        let mut refused = Vec::new();
        for command in &request.commands {
            self.carry_out(command, &context, &mut refused);
        }
        self.report(request.epoch, refused, now)
    }

    /// Takes what happened to attempts since the last call.
    pub(super) fn take_changes(&mut self) -> Vec<TaskChange> {
        std::mem::take(&mut self.changes)
    }

    /// Forgets everything, as a worker that was restarted does.
    pub(super) fn restart(&mut self, now: TimeMs) {
        let running: Vec<_> = self.running.keys().copied().collect();
        for task in running {
            self.end(task, now, TaskOutcome::Stopped);
        }
        self.ended.clear();
    }

    fn due(
        &self,
        run: &MemoryTask,
        now: TimeMs,
    ) -> Option<(TimeMs, TaskOutcome)> {
        let lapse = self.leases.get(&run.shard).map_or(now, |l| l.until);
        match run.finish_at {
            Some(at) if at <= now && at <= lapse => Some((
                at,
                if run.fails {
                    TaskOutcome::Failed
                } else {
                    TaskOutcome::Done
                },
            )),
            _ if lapse <= now => Some((lapse, TaskOutcome::Stopped)),
            _ => None,
        }
    }

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

    /// Starts a task unless the worker knows it; returns whether it knows
    /// it afterwards.
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
        // A refused attempt counts as seen: its refusal lets the owner start
        // the task elsewhere, so a repeated message must not start it here.
        let attempt = Attempt { epoch: context.epoch, number: attempt };
        let repeated = self.seen.contains(task, attempt);
        self.seen.insert(task, attempt, context.now.plus_ms(context.lease_ms));
        let fits = self.committed().plus(&size).fits_in(&self.shape.held);
        if repeated || !fits || !context.fresh || self.leaving {
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
            run: attempt,
            at: context.now,
            outcome: None,
        });
        true
    }

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
            run: run.attempt,
            at,
            outcome: Some(outcome),
        });
    }

    /// Returns what runs here takes together.
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
