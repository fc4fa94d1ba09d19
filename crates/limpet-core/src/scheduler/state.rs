use std::collections::{BTreeMap, BTreeSet, VecDeque};

use super::{
    Effect, Event, SchedulerOptions, backlog::Backlog, claim::Claim,
    class::ClassTable, estimate::RunTimeEstimates, fleet::Fleet,
    gang::WaitingGang, job::Job, reservation::GangReservation,
    slot::WorkerSlot, team::TeamTable,
};
use crate::{JobId, QueueName, TaskId, TimeMs, config::QueueConfig};

/// Decides where and when the tasks of one shard run.
///
/// It is fed [`Event`]s and answers with [`Effect`]s; it reads no clock.
/// An event costs time near constant in the number of jobs, workers and
/// running tasks: work that can't start is not looked at, and classes of
/// like tasks that found no room are passed over until some is freed.
/// docs/PLACEMENT.md argues the policy.
///
/// # Examples
///
/// ```
/// use limpet_core::{
///     DataCentre, Rack, Resources, TimeMs, WorkerId,
///     scheduler::{Event, Scheduler, WorkerShape},
/// };
///
/// let mut scheduler = Scheduler::new();
/// let shape = WorkerShape {
///     worker: WorkerId::new("w1")?,
///     data_centre: DataCentre::new("athens")?,
///     rack: Rack::new("r1")?,
///     held: Resources::new(16_000, 65_536, 0),
/// };
/// let joined = Event::WorkerJoined { shape };
/// assert!(scheduler.handle(&joined, TimeMs::ZERO).is_empty());
/// assert_eq!(scheduler.workers().len(), 1);
/// # Ok::<(), limpet_core::Error>(())
/// ```
#[derive(Clone, Debug, Default)]
pub struct Scheduler {
    pub(super) options: SchedulerOptions,
    pub(super) jobs: BTreeMap<JobId, Job>,
    pub(super) fleet: Fleet,
    pub(super) teams: TeamTable,
    pub(super) classes: ClassTable,
    pub(super) queues: BTreeMap<QueueName, QueueConfig>,
    pub(super) backlog: Backlog,
    pub(super) gangs: BTreeMap<JobId, WaitingGang>,
    pub(super) reservation: Option<GangReservation>,
    pub(super) claims: Vec<Claim>,
    /// Waiting tasks that may not start before some time.
    pub(super) delayed: BTreeSet<(TimeMs, TaskId)>,
    /// Checkpoints that turn into stops at some time.
    pub(super) checkpoints: BTreeSet<(TimeMs, TaskId)>,
    /// Workers that may be on probation.
    pub(super) probation: BTreeSet<WorkerSlot>,
    /// Workers on which room was freed during this event.
    pub(super) freed: Vec<WorkerSlot>,
    pub(super) estimates: RunTimeEstimates,
    /// Jobs in a final state, oldest first.
    pub(super) finished: VecDeque<JobId>,
    /// Gangs that have come and were not yet tried.
    pub(super) new_gangs: Vec<JobId>,
    /// Whether nothing is placed or preempted at present.
    pub(super) paused: bool,
    pub(super) urgent_retry_at: TimeMs,
    pub(super) refreshed_at: TimeMs,
    pub(super) rebalanced_at: TimeMs,
}

impl Scheduler {
    /// Returns a scheduler without workers, teams or jobs.
    pub fn new() -> Scheduler {
        Scheduler::default()
    }

    /// Returns a scheduler with some parts of the policy switched off.
    pub fn with_options(options: SchedulerOptions) -> Scheduler {
        Scheduler { options, ..Scheduler::default() }
    }

    /// Takes an event in and returns what has to be done because of it, in
    /// the order in which it has to be done.
    pub fn handle(&mut self, event: &Event, now: TimeMs) -> Vec<Effect> {
        let mut out = Vec::new();
        self.release_delayed(now);
        self.take_in(event, now, &mut out);
        if !self.paused {
            self.place_waiting(now, &mut out);
        }
        out
    }

    fn take_in(&mut self, event: &Event, now: TimeMs, out: &mut Vec<Effect>) {
        match event {
            Event::JobAccepted { job, spec } => {
                self.accept_job(*job, spec, now, out);
            }
            Event::JobRestored { job, spec, state, tasks, ended_at } => {
                self.restore_job(*job, spec, *state, tasks, now, *ended_at);
            }
            Event::JobCancelled { job } => self.cancel_job(*job, now, out),
            Event::JobHeld { job, held } => self.hold_job(*job, *held),
            Event::WorkerJoined { shape } => self.join_worker(shape, now),
            Event::WorkerLeaving { worker } => {
                self.leave_worker(worker, now, out);
            }
            Event::WorkerSuspected { worker } => {
                self.suspect_worker(worker, true);
            }
            Event::WorkerAnswered { worker } => {
                self.suspect_worker(worker, false);
            }
            Event::WorkerLapsed { worker } => {
                self.lapse_worker(worker, now, out);
            }
            Event::TaskRunning { task, worker } => {
                self.adopt_task(*task, worker, now, out);
            }
            Event::TaskNotStarted { task, worker } => {
                self.return_task(*task, worker, now, out);
            }
            Event::TaskEnded { task, worker, outcome } => {
                self.take_end(*task, worker, *outcome, now, out);
            }
            Event::TaskClaimed { task, worker, attempt } => {
                self.claim_task(*task, worker, *attempt, now);
            }
            Event::UsageReported { usages } => {
                self.take_usages(usages, out);
            }
            Event::AllotmentChanged { team, allotment } => {
                let team = self.teams.slot_or_insert(team);
                self.teams.get_mut(team).allotment = *allotment;
                self.teams.get_mut(team).ready_all();
            }
            Event::ShareChanged { team, weight } => {
                let team = self.teams.slot_or_insert(team);
                self.teams.get_mut(team).weight = *weight;
                self.teams.refresh(team, self.fleet.held(), now);
            }
            Event::QueueChanged { queue, config } => {
                self.queues.insert(queue.clone(), config.clone());
            }
            Event::PlacementPaused { paused } => {
                self.pause_placement(*paused, out);
            }
            Event::Tick if self.paused => {}
            Event::Tick => self.tick(now, out),
        }
    }
}
