//! The engine: the state of all jobs, workers and claims of the owner of a
//! cell, and the events that change it.

mod advice;
mod common_cause;
mod dirty;
mod ends;
mod evacuation;
mod evacuation_moves;
mod examined;
mod fleet;
mod gang;
mod gang_admission;
mod inherited_leases;
mod intake;
mod interference;
mod job;
mod largest;
mod lasting;
mod late_ends;
mod lives;
mod lost_runs;
mod member_options;
mod no_room;
mod occurrences;
mod orders;
mod pace;
mod place;
mod preempt;
mod preemptible;
mod rank;
mod renewal;
mod reports;
mod reserve;
mod schedule;
mod service_rooms;
mod speeds;
mod step_context;
mod stranded;
mod suspects;
mod tasks;
mod timeline;
mod turnover;
mod wait_cause;
mod yielding;

use std::{cell::Cell, collections::BTreeSet, sync::Arc};

use limpet_core::{Resources, TimeMs};
use rustc_hash::{FxHashMap, FxHashSet};

pub use self::{
    advice::Ticket,
    dirty::CommitWait,
    evacuation::{EvacuationState, EvacuationStays},
    inherited_leases::SilentWorker,
    interference::InterferingPair,
    lasting::LastingAway,
    lost_runs::{LifeEnd, LostRun},
    orders::StartOutcome,
    speeds::MachineSpeed,
    timeline::{Activity, EndedJob, Timeline},
    wait_cause::{WaitCause, WaitCounts},
};
use self::{
    dirty::DirtyJobs,
    evacuation::Evacuation,
    inherited_leases::ReleasedLeases,
    interference::Interference,
    job::{Claim, Job},
    largest::LargestCapacities,
    lasting::LastingWait,
    no_room::NoRoom,
    service_rooms::ServiceRooms,
};
pub(crate) use self::{
    late_ends::ReleasedRun,
    preemptible::{Preemptible, PreemptibleTask},
    schedule::SUSPECT_FAILURES,
    speeds::Speed,
};
use crate::{
    config::{CellConfig, QueuePolicy},
    effect::{AdviceRequestId, Effect},
    key::{JobKey, StepKey, TaskKey},
    progress::{JobPhase, JobProgress},
    worker::{Worker, WorkerSlot},
};

/// The time at which an event is observed.
#[derive(Clone, Copy, Debug)]
pub struct Moment {
    /// A monotonic clock that keeps counting while the machine is suspended.
    pub steady: TimeMs,
    /// Wall-clock time since the Unix epoch, for occurrences that are due at
    /// set times.
    pub unix_ms: u64,
}

/// Durations that come from the settings.
#[derive(Clone, Copy, Debug)]
pub struct EngineOptions {
    /// How long a worker keeps its tasks running without a lease renewal.
    pub hold_ms: u64,
    /// The longest lease that a worker takes; it shortens longer ones.
    pub max_hold_ms: u64,
    /// How long an owner without confirmation by the store may renew the
    /// leases of workers.
    pub detached_ms: u64,
    /// How long the state of an ended job is retained.
    pub status_retention_ms: u64,
    /// Whether the speed of workers is learnt and considered.
    pub worker_speeds: bool,
    /// Whether to learn which tasks slow each other down, and to prefer
    /// workers on which a task neither is slowed nor slows others.
    pub keep_apart: bool,
}

impl Default for EngineOptions {
    fn default() -> EngineOptions {
        EngineOptions {
            hold_ms: 6_000,
            max_hold_ms: 6_000,
            detached_ms: 3_000,
            status_retention_ms: 120_000,
            worker_speeds: true,
            keep_apart: false,
        }
    }
}

/// Counts for metrics and operators.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Counts {
    /// Jobs that have not ended.
    pub active_jobs: usize,
    /// Steps with tasks that wait to be placed.
    pub waiting_steps: usize,
    /// Tasks that may crash their workers.
    pub suspect_tasks: usize,
    /// Claims on workers: runs that may be in progress.
    pub claims: usize,
    /// Workers that may be given new tasks.
    pub usable_workers: usize,
    /// Cores of all claims, in thousandths.
    pub used_cores_milli: u64,
    /// Free cores that are reserved for steps, in thousandths.
    pub reserved_cores_milli: u64,
    /// Cores of the usable workers, in thousandths.
    pub usable_cores_milli: u64,
    /// Pairs of images of which one is known to slow the other.
    pub interfering_pairs: usize,
    /// Pairs of images of which anything is known.
    pub learnt_pairs: usize,
    /// Starts on another worker than without the preference for one without
    /// interfering tasks.
    pub starts_kept_apart: u64,
}

/// Decides where and when the tasks of all jobs run.
///
/// Workers are addressed by [`WorkerSlot`], which [`Engine::set_listing`]
/// returns; methods that take a slot panic if the engine never issued it.
#[derive(Debug, Default)]
pub struct Engine {
    pub(crate) options: EngineOptions,
    config: Arc<CellConfig>,
    /// Whether a configuration was set. Without one the limits of teams are
    /// unknown, and nothing is started.
    configured: bool,
    /// The policies of the configured queues, by name.
    policies: FxHashMap<String, Arc<QueuePolicy>>,
    jobs: FxHashMap<JobKey, Job>,
    /// All workers that were ever listed or claimed, indexed by slot.
    workers: Vec<Worker>,
    /// The slot of each worker, by its id.
    slots: FxHashMap<String, WorkerSlot>,
    /// Workers of which [`Worker::preemptible`] is outdated.
    changed_claims: FxHashSet<WorkerSlot>,
    /// The workers with a reservation for each step.
    reserved_by: FxHashMap<StepKey, Vec<WorkerSlot>>,
    /// The teams that have submitted jobs or have claims, by name.
    teams: FxHashMap<String, Team>,
    /// What the owner before has told of the leases; `None` if it has not
    /// released the cell.
    released_leases: Option<ReleasedLeases>,
    /// The cores of each service.
    service_rooms: ServiceRooms,
    /// Steps that are ready and have tasks to place.
    waiting: BTreeSet<StepKey>,
    /// Jobs with a schedule, by when their next occurrence is due:
    /// `(due_unix_ms, job)`.
    timed: BTreeSet<(u64, JobKey)>,
    /// Advice requests without an answer yet.
    advice_requests: FxHashMap<AdviceRequestId, AdviceRequest>,
    /// The id of the latest advice request.
    last_request_id: AdviceRequestId,
    /// The number of advice requests that can be in progress at once.
    advice_concurrency: usize,
    /// The moving average of the fraction of the named workers that advice
    /// allows, by queue.
    allowed_share: FxHashMap<String, f64>,
    /// The steps that the latest scheduling pass left waiting.
    wait_counts: WaitCounts,
    /// Steps with an answer to an advice request that no scheduling pass has
    /// used yet.
    answered: FxHashSet<StepKey>,
    /// Since when scheduling passes have left each step without a turn.
    left_since: FxHashMap<StepKey, TimeMs>,
    /// The waiting steps of tasks that last.
    lasting: FxHashMap<StepKey, LastingWait>,
    /// The kinds of tasks that found no room in this pass.
    no_room: Vec<NoRoom>,
    largest_capacities: LargestCapacities,
    evacuation: Evacuation,
    /// Tasks under which workers were lost, of jobs that have not ended.
    suspects: FxHashSet<TaskKey>,
    /// The worker that is the latest life of each machine.
    machines: FxHashMap<String, WorkerSlot>,
    /// Jobs with changes that [`Engine::take_dirty`] has not returned yet.
    dirty: DirtyJobs,
    /// Effects that [`Engine::take_effects`] has not returned yet.
    effects: Vec<Effect>,
    /// When the speed bands of the workers were last updated.
    bands_updated_at: TimeMs,
    /// What [`Engine::examined`] returns.
    examined: Cell<u64>,
    /// What is known of images that slow each other down.
    interference: Interference,
}

/// The resource usage of a team, and the token bucket that limits its rate of
/// submissions.
#[derive(Debug, Default)]
struct Team {
    /// The resources of its tasks that have a claim.
    running: Resources,
    /// The submissions that it may make without exceeding its rate.
    tokens: f64,
    /// When `tokens` was last updated; zero before the first submission.
    refilled_at: TimeMs,
}

/// An advice request without an answer yet.
#[derive(Debug)]
struct AdviceRequest {
    step: StepKey,
    /// The workers that the request names.
    workers: Vec<WorkerSlot>,
    /// Cores of the tasks to place once the answer arrives, in thousandths.
    requested_cores_milli: u64,
    /// Whether the step is a gang.
    gang: bool,
}

impl AdviceRequest {
    /// Returns the cores that the step is expected to use on each of the
    /// workers, in thousandths.
    fn promised_cores_milli(&self) -> u64 {
        self.requested_cores_milli / self.workers.len().max(1) as u64
    }
}

impl Engine {
    /// Creates an engine without jobs, workers or configuration.
    pub fn new(options: EngineOptions) -> Engine {
        Engine { options, advice_concurrency: 1, ..Engine::default() }
    }

    /// Sets the number of advice requests that can be in progress at once;
    /// 0 counts as 1.
    pub fn set_advice_concurrency(&mut self, advice_concurrency: usize) {
        self.advice_concurrency = advice_concurrency.max(1);
    }

    /// Takes the effects that were produced since the previous call.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// Returns the version and the progress of a job for the store, or `None`
    /// for an unknown job.
    pub fn progress(&self, key: JobKey) -> Option<(u64, JobProgress)> {
        let job = self.jobs.get(&key)?;
        let name =
            |slot: WorkerSlot| self.workers[slot as usize].listing.id.clone();
        Some((job.version, job.progress(&name)))
    }

    /// Returns the phase of a job to show to clients, or `None` for an unknown
    /// job. A final phase is shown only once it is durable.
    pub fn phase(&self, key: JobKey) -> Option<JobPhase> {
        let job = self.jobs.get(&key)?;
        if job.durable_phase.has_ended() {
            return Some(job.durable_phase);
        }
        if job.phase.has_ended() {
            return Some(JobPhase::Running);
        }
        Some(job.phase)
    }

    /// Returns when a job was accepted, in milliseconds since the Unix epoch;
    /// `None` once one of its tasks has started.
    pub fn accepted_unix_ms_if_queued(&self, key: JobKey) -> Option<u64> {
        let job = self.jobs.get(&key)?;
        (job.phase == JobPhase::Queued).then_some(job.record.accepted_unix_ms)
    }

    /// Returns the number of jobs of a queue of which no task has started.
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
            suspect_tasks: self.suspects.len(),
            claims: self
                .workers
                .iter()
                .map(|worker| worker.claims.len())
                .sum(),
            usable_workers: self.usable(now).count(),
            used_cores_milli: self
                .workers
                .iter()
                .map(|worker| worker.used.cores_milli)
                .sum(),
            reserved_cores_milli: self
                .usable(now)
                .map(|worker| worker.reserved_free().cores_milli)
                .sum(),
            usable_cores_milli: self
                .usable(now)
                .map(|worker| worker.listing.capacity.cores_milli)
                .sum(),
            interfering_pairs: self.interference.interfering_count(),
            learnt_pairs: self.interference.len(),
            starts_kept_apart: self.interference.starts_kept_apart,
        }
    }

    /// Returns the workers that may be given new tasks.
    fn usable(&self, now: TimeMs) -> impl Iterator<Item = &Worker> {
        self.workers.iter().filter(move |worker| worker.is_usable(now))
    }

    /// Returns the number of steps that the latest scheduling pass left
    /// waiting, by cause.
    pub fn wait_counts(&self) -> &WaitCounts {
        &self.wait_counts
    }

    /// Records that a version of a job is durable. Sends the start orders that
    /// waited for it, and allows the ended runs that it contains to be
    /// acknowledged.
    pub fn mark_committed(&mut self, key: JobKey, version: u64, now: Moment) {
        let Some(job) = self.jobs.get_mut(&key) else { return };
        job.committed = job.committed.max(version);
        let committed = job.committed;
        let is_end = job.phase.has_ended()
            && committed == job.version
            && !job.durable_phase.has_ended();
        if is_end {
            job.durable_phase = job.phase;
        }
        let uncommitted_claims = std::mem::take(&mut job.uncommitted_claims);
        let workers_with_ends = std::mem::take(&mut job.workers_with_ends);
        let mut later = Vec::new();
        for task in uncommitted_claims {
            if !self.send_if_committed(task, committed, now) {
                later.push(task);
            }
        }
        for slot in workers_with_ends {
            self.release_ends(slot);
        }
        if let Some(job) = self.jobs.get_mut(&key) {
            job.uncommitted_claims.append(&mut later);
        }
        match is_end {
            true => self.report_ended_job(key, now),
            false => self.advance_timeline(key, now.steady),
        }
    }

    /// Starts a new version of a job, which has to be committed.
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

    /// Returns the limit of a team; an unknown team has none.
    fn team_limit(&self, team: &str) -> Resources {
        self.config.team(team).map_or(Resources::UNLIMITED, |team| team.limit)
    }

    /// Returns the task and run number of each claim on a worker, sorted by
    /// task.
    pub fn claims_of(&self, slot: WorkerSlot) -> Vec<(TaskKey, u32)> {
        let worker = &self.workers[slot as usize];
        let mut claims: Vec<(TaskKey, u32)> =
            worker.claims.iter().map(|(task, run)| (*task, *run)).collect();
        claims.sort();
        claims
    }
}
