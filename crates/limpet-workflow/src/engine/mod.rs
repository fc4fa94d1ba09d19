//! The state of an owner: jobs, workers, claims, and what to do next.

mod advice;
mod ends;
mod fleet;
mod gang;
mod intake;
mod job;
mod orders;
mod pace;
mod place;
mod preempt;
mod schedule;
mod turnover;
mod wait_cause;

use std::{collections::BTreeSet, sync::Arc};

use limpet_core::{Resources, TimeMs};
use rustc_hash::{FxHashMap, FxHashSet};

pub(crate) use self::schedule::SUSPECT_FAILURES;
pub use self::{
    advice::Ticket,
    orders::StartOutcome,
    wait_cause::{WaitCause, WaitCounts},
};
use self::{
    job::{Claim, Job},
    turnover::Turnover,
};
use crate::{
    config::{CellConfig, QueuePolicy},
    effect::{AskId, Effect},
    key::{JobKey, StepKey, TaskKey},
    progress::{JobPhase, JobProgress},
    worker::{Worker, WorkerSlot},
};

/// The time at which an event is seen.
#[derive(Clone, Copy, Debug)]
pub struct Moment {
    /// A clock that never goes back and counts suspended time.
    pub steady: TimeMs,
    /// The wall clock, for occurrences at set times.
    pub unix_ms: u64,
}

/// Figures that the platform's settings give.
#[derive(Clone, Copy, Debug)]
pub struct EngineOptions {
    /// The longest time a worker holds its tasks without a renewal.
    pub hold_ms: u64,
    /// How long an owner that lost the store may go on renewing.
    pub detached_ms: u64,
    /// How long the outcome of a job that has ended is kept.
    pub status_retention_ms: u64,
}

impl Default for EngineOptions {
    fn default() -> EngineOptions {
        EngineOptions {
            hold_ms: 6_000,
            detached_ms: 3_000,
            status_retention_ms: 120_000,
        }
    }
}

/// Counts for metrics and operators.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Counts {
    /// Jobs that have not ended.
    pub active_jobs: usize,
    /// Steps with tasks that wait for a place.
    pub waiting_steps: usize,
    /// Claims on workers.
    pub claims: usize,
    /// Workers that take new work.
    pub usable_workers: usize,
    /// Cores that claims take, in thousandths.
    pub used_cores_milli: u64,
    /// Free cores that are kept for steps, in thousandths.
    pub reserved_cores_milli: u64,
    /// Cores of the usable workers, in thousandths.
    pub usable_cores_milli: u64,
}

/// Decides where and when the tasks of all jobs run.
#[derive(Debug, Default)]
pub struct Engine {
    pub(crate) options: EngineOptions,
    config: Arc<CellConfig>,
    /// Whether a configuration is in force. Without one no team's limit is
    /// known, and nothing is started.
    configured: bool,
    /// The policies of the queues in force, by name.
    policies: FxHashMap<String, Arc<QueuePolicy>>,
    jobs: FxHashMap<JobKey, Job>,
    workers: Vec<Worker>,
    slots: FxHashMap<String, WorkerSlot>,
    teams: FxHashMap<String, Team>,
    /// Steps that are ready and have tasks without a claim.
    waiting: BTreeSet<StepKey>,
    /// Steps whose time has not come: `(due, step)`.
    timed: BTreeSet<(u64, StepKey)>,
    asks: FxHashMap<AskId, Ask>,
    next_ask: AskId,
    /// How many calls for advice can be under way at once.
    lanes: usize,
    /// The share of workers that each queue's policy allows.
    allowed_share: FxHashMap<String, f64>,
    /// What the last pass left waiting.
    wait_counts: WaitCounts,
    dirty: FxHashSet<JobKey>,
    effects: Vec<Effect>,
    /// Cores that are free in this pass, in thousandths.
    free_cores_milli: i64,
    /// Those that are kept for no step.
    open_cores_milli: i64,
    /// Those that are not spoken for, and those that come free soon.
    spare_cores_milli: i64,
    turnover: Turnover,
    /// Those of all usable workers.
    usable_cores_milli: i64,
    /// Those that are kept for the most urgent queue.
    headroom_milli: i64,
}

#[derive(Debug, Default)]
struct Team {
    running: Resources,
    tokens: f64,
    refilled_at: TimeMs,
}

#[derive(Debug)]
struct Ask {
    step: StepKey,
    workers: Vec<WorkerSlot>,
    /// What is to be placed once the answer is there.
    wanted_cores_milli: u64,
    /// Whether the step's tasks start together.
    gang: bool,
}

impl Engine {
    /// Returns an engine without jobs, workers or configuration.
    pub fn new(options: EngineOptions) -> Engine {
        Engine { options, lanes: 1, ..Engine::default() }
    }

    /// Sets how many calls for advice can be under way at once.
    pub fn set_advice_concurrency(&mut self, lanes: usize) {
        self.lanes = lanes.max(1);
    }

    /// Returns what there is to do since the last call.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// Returns up to `most` jobs with changes that are not committed, and
    /// forgets them; the caller commits [`Engine::progress`] of each.
    pub fn take_dirty(&mut self, most: usize) -> Vec<JobKey> {
        let taken: Vec<JobKey> =
            self.dirty.iter().copied().take(most).collect();
        for key in &taken {
            self.dirty.remove(key);
        }
        taken
    }

    /// Says whether [`Engine::take_dirty`] returns any.
    pub fn has_dirty(&self) -> bool {
        !self.dirty.is_empty()
    }

    /// Returns what to keep of a job, and the version of it.
    pub fn progress(&self, key: JobKey) -> Option<(u64, JobProgress)> {
        let job = self.jobs.get(&key)?;
        let name =
            |slot: WorkerSlot| self.workers[slot as usize].listing.id.clone();
        Some((job.version, job.progress(&name)))
    }

    /// Returns where a job stands, as far as it is durable.
    pub fn phase(&self, key: JobKey) -> Option<JobPhase> {
        let job = self.jobs.get(&key)?;
        if job.shown.has_ended() {
            return Some(job.shown);
        }
        if job.phase.has_ended() {
            return Some(JobPhase::Running);
        }
        Some(job.phase)
    }

    /// Returns when a job was accepted, while none of its tasks has started.
    pub fn accepted_unix_ms_if_queued(&self, key: JobKey) -> Option<u64> {
        let job = self.jobs.get(&key)?;
        (job.phase == JobPhase::Queued).then_some(job.record.accepted_unix_ms)
    }

    /// Returns the jobs of a queue for which no task has started.
    pub fn pending(&self, queue: &str) -> usize {
        let is_pending = |job: &&Job| {
            job.phase == JobPhase::Queued && job.record.queue == queue
        };
        self.jobs.values().filter(is_pending).count()
    }

    /// Returns counts for metrics and operators.
    pub fn counts(&self, now: TimeMs) -> Counts {
        Counts {
            active_jobs: self
                .jobs
                .values()
                .filter(|job| !job.phase.has_ended())
                .count(),
            waiting_steps: self.waiting.len(),
            claims: self.workers.iter().map(|one| one.claims.len()).sum(),
            usable_workers: self.usable(now).count(),
            used_cores_milli: self
                .workers
                .iter()
                .map(|one| one.used.cores_milli)
                .sum(),
            reserved_cores_milli: self
                .usable(now)
                .map(|one| one.kept_free().cores_milli)
                .sum(),
            usable_cores_milli: self
                .usable(now)
                .map(|one| one.listing.capacity.cores_milli)
                .sum(),
        }
    }

    fn usable(&self, now: TimeMs) -> impl Iterator<Item = &Worker> {
        self.workers.iter().filter(move |one| one.is_usable(now))
    }

    /// Returns the steps that the last pass left waiting, by cause.
    pub fn wait_counts(&self) -> &WaitCounts {
        &self.wait_counts
    }

    /// Records that a version of a job is durable, and releases what waited
    /// for it.
    pub fn mark_committed(&mut self, key: JobKey, version: u64, now: Moment) {
        let Some(job) = self.jobs.get_mut(&key) else { return };
        job.committed = job.committed.max(version);
        let committed = job.committed;
        if job.phase.has_ended() && committed == job.version {
            job.shown = job.phase;
        }
        let awaiting = std::mem::take(&mut job.awaiting);
        let ends_at = std::mem::take(&mut job.ends_at);
        let mut later = Vec::new();
        for task in awaiting {
            if !self.send_if_committed(task, committed, now) {
                later.push(task);
            }
        }
        for slot in ends_at {
            self.release_ends(slot);
        }
        if let Some(job) = self.jobs.get_mut(&key) {
            job.awaiting.append(&mut later);
        }
    }

    fn release_ends(&mut self, slot: WorkerSlot) {
        let worker = &mut self.workers[slot as usize];
        while let Some(end) = worker.uncommitted.front() {
            let durable = self
                .jobs
                .get(&end.job)
                .is_none_or(|job| job.committed >= end.version);
            if !durable {
                // The job of this end may have been committed for another
                // reason; ask again with its next commit.
                if let Some(job) = self.jobs.get_mut(&end.job)
                    && !job.ends_at.contains(&slot)
                {
                    job.ends_at.push(slot);
                }
                break;
            }
            worker.last_committed = end.number;
            worker.uncommitted.pop_front();
        }
    }

    fn mark_dirty(&mut self, key: JobKey) {
        if let Some(job) = self.jobs.get_mut(&key) {
            job.version += 1;
            self.dirty.insert(key);
        }
    }

    fn claim_mut(&mut self, key: TaskKey) -> Option<&mut Claim> {
        let job = self.jobs.get_mut(&key.step.job)?;
        job.get_task_mut(key)?.claim.as_mut()
    }

    fn team_limit(&self, team: &str) -> Resources {
        self.config.team(team).map_or(Resources::UNLIMITED, |team| team.limit)
    }

    /// Returns the claims that a worker has, for checks.
    pub fn claims_of(&self, slot: WorkerSlot) -> Vec<(TaskKey, u32)> {
        let worker = &self.workers[slot as usize];
        let mut claims: Vec<(TaskKey, u32)> =
            worker.claims.iter().map(|(task, run)| (*task, *run)).collect();
        claims.sort();
        claims
    }
}
