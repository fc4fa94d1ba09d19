//! Runs that are lost with a life of their worker: the process that ran them
//! is gone, or its lease has expired.

use limpet_core::TimeMs;

use super::{
    Engine, Moment,
    job::{Claim, ClaimPhase},
};
use crate::{
    effect::Effect,
    key::{JobKey, TaskKey},
    progress::CrashRecord,
    worker::{Worker, WorkerSlot},
};

/// How a life of a worker ended.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum LifeEnd {
    /// It was shutting down.
    Left,
    /// Its process is gone: a new one has taken its id, or its address refused
    /// connections until the lease had expired.
    Crashed,
    /// It gave no answer until its lease had expired. It may have crashed, or
    /// the network between may drop packets.
    Silent,
}

impl LifeEnd {
    /// Returns the name of the cause, for logs and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            LifeEnd::Left => "left",
            LifeEnd::Crashed => "crashed",
            LifeEnd::Silent => "silent",
        }
    }
}

/// A run that was lost with a life of its worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LostRun {
    /// The task.
    pub task: TaskKey,
    /// The number of the run.
    pub run: u32,
    /// Whether the worker had confirmed that the run began.
    pub began: bool,
    /// How long the run had lasted since then when its loss was noticed.
    pub lasted_ms: u64,
    /// Whether the loss is excused: others were lost with the worker.
    pub excused: bool,
    /// The workers that were lost under the task, this one included.
    pub crashes: CrashRecord,
}

impl Worker {
    /// Returns how its present life ends if its lease expires now.
    fn end_by_expiry(&self) -> LifeEnd {
        match (self.listing.draining, self.refused) {
            (true, _) => LifeEnd::Left,
            (false, true) => LifeEnd::Crashed,
            (false, false) => LifeEnd::Silent,
        }
    }
}

impl Claim {
    /// Returns whether the run may be in progress: an order to start it was
    /// sent, and no stop has been confirmed.
    fn may_be_in_progress(&self) -> bool {
        !matches!(self.phase, ClaimPhase::Committing | ClaimPhase::Stopped)
    }

    /// Returns the run as lost, or `None` if no order to start it was sent or
    /// it had been stopped.
    fn lost_run(&self, task: TaskKey, now: TimeMs) -> Option<LostRun> {
        if !self.life_ended && !self.may_be_in_progress() {
            return None;
        }
        let began = self.progress.has_started();
        let lasted_ms = match began {
            true => now.ms_since(self.progress.started_at),
            false => 0,
        };
        Some(LostRun {
            task,
            run: self.run,
            began,
            lasted_ms,
            excused: false,
            crashes: CrashRecord::default(),
        })
    }
}

impl Engine {
    /// Releases the claims of a worker whose lease has expired.
    pub(super) fn expire_lease(&mut self, slot: WorkerSlot, now: Moment) {
        self.apply_unread_ends(slot, now);
        self.record_life_end(slot);
        let end = self.workers[slot as usize].end_by_expiry();
        let tasks = self.claims_of(slot).into_iter().map(|(task, _)| task);
        self.lose_runs(slot, end, tasks.collect(), now);
    }

    /// Records which jobs a worker hosts as its life ends, and which of its
    /// runs may be in progress then.
    pub(super) fn record_life_end(&mut self, slot: WorkerSlot) {
        for (task, _) in self.claims_of(slot) {
            if let Some(claim) = self.claim_mut(task) {
                claim.life_ended |= claim.may_be_in_progress();
            }
        }
        let worker = &mut self.workers[slot as usize];
        let mut jobs: Vec<JobKey> =
            worker.claims.keys().map(|task| task.step.job).collect();
        jobs.sort();
        jobs.dedup();
        worker.jobs_at_end = jobs;
    }

    /// Releases claims of a worker whose life has ended, and reports the runs
    /// that were lost with it.
    pub(super) fn lose_runs(
        &mut self,
        slot: WorkerSlot,
        end: LifeEnd,
        tasks: Vec<TaskKey>,
        now: Moment,
    ) {
        let mut runs = Vec::new();
        for task in &tasks {
            let claim = self
                .jobs
                .get(&task.step.job)
                .and_then(|job| job.get_task(*task))
                .and_then(|task| task.claim.as_ref());
            runs.extend(
                claim.and_then(|claim| claim.lost_run(*task, now.steady)),
            );
            self.remember_released(*task);
        }
        self.requeue_tasks(&tasks, now);
        self.count_losses(slot, end, &mut runs, now);
        if !runs.is_empty() {
            self.effects.push(Effect::WorkerLost { worker: slot, end, runs });
        }
    }
}
