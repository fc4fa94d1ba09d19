use std::collections::{BTreeMap, BTreeSet, VecDeque};

use super::{
    Effect, Event, SchedulerOptions, backlog::Backlog, claim::RoomClaim,
    class::ClassTable, estimate::Estimates, fleet::Fleet, gang::WaitingGang,
    job::Job, reservation::GangReservation, slot::WorkerSlot, team::TeamTable,
};
use crate::{JobId, QueueName, TaskId, TimeMs, config::QueueConfig};

/// Decides where and when the tasks of one shard run.
///
/// The scheduler is a state machine without I/O: it turns [`Event`]s into
/// [`Effect`]s and reads no clock. The time to handle an event is nearly
/// independent of the number of jobs, workers and running tasks: work that
/// can't start is kept out of the backlog, and an equivalence class of tasks
/// that found no worker is skipped until a worker frees enough room for it.
/// docs/PLACEMENT.md gives the reasons for the policy.
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
    /// Gangs that wait to start as a whole.
    pub(super) gangs: BTreeMap<JobId, WaitingGang>,
    /// Room that is reserved for a gang, for at most one gang at a time.
    pub(super) reservation: Option<GangReservation>,
    /// Room that is reserved for work for which other tasks were preempted.
    pub(super) claims: Vec<RoomClaim>,
    /// Waiting tasks with the time before which they must not start.
    pub(super) delayed: BTreeSet<(TimeMs, TaskId)>,
    /// Checkpointing tasks with the time at which they are stopped if they
    /// still run.
    pub(super) checkpoints: BTreeSet<(TimeMs, TaskId)>,
    /// Workers that were put on probation. Those that are ready again are
    /// removed at the next tick.
    pub(super) probation: BTreeSet<WorkerSlot>,
    /// Workers on which room was freed since claims and the reservation were
    /// last checked.
    pub(super) freed: Vec<WorkerSlot>,
    pub(super) estimates: Estimates,
    /// Jobs in a final state, oldest first.
    pub(super) finished: VecDeque<JobId>,
    /// Gangs that became startable and have not been tried yet.
    pub(super) new_gangs: Vec<JobId>,
    /// Whether placement and preemption are suspended.
    pub(super) paused: bool,
    /// When room for urgent work may be searched for again.
    pub(super) urgent_retry_at: TimeMs,
    /// When the weighted usage of all teams was last recomputed.
    pub(super) refreshed_at: TimeMs,
    /// When the usage of teams was last compared with their shares.
    pub(super) rebalanced_at: TimeMs,
}

impl Scheduler {
    /// Creates a scheduler without workers, teams or jobs, with every part
    /// of the policy switched on.
    pub fn new() -> Scheduler {
        Scheduler::default()
    }

    /// Creates a scheduler without workers, teams or jobs that uses the
    /// parts of the policy that `options` switches on.
    pub fn with_options(options: SchedulerOptions) -> Scheduler {
        Scheduler { options, ..Scheduler::default() }
    }

    /// Applies an event and returns the effects to carry out, in order.
    ///
    /// `now` is the current time on the caller's clock. Unless placement is
    /// paused, the effects also start the waiting tasks for which there is
    /// room and allotment after the event.
    pub fn handle(&mut self, event: &Event, now: TimeMs) -> Vec<Effect> {
        let mut out = Vec::new();
        self.release_delayed(now);
        self.apply(event, now, &mut out);
        if !self.paused {
            self.place_waiting(now, &mut out);
        }
        out
    }

    fn apply(&mut self, event: &Event, now: TimeMs, out: &mut Vec<Effect>) {
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
                self.mark_leaving(worker, now, out);
            }
            Event::WorkerSuspected { worker } => {
                self.suspect_worker(worker, true);
            }
            Event::WorkerAnswered { worker } => {
                self.suspect_worker(worker, false);
            }
            Event::WorkerLapsed { worker } => {
                self.remove_lapsed_worker(worker, now, out);
            }
            Event::TaskRunning { task, worker } => {
                self.handle_running(*task, worker, now, out);
            }
            Event::TaskNotStarted { task, worker } => {
                self.handle_not_started(*task, worker, now, out);
            }
            Event::TaskEnded { task, worker, outcome } => {
                self.handle_task_end(*task, worker, *outcome, now, out);
            }
            Event::TaskClaimed { task, worker, attempt } => {
                self.adopt_claimed_task(*task, worker, *attempt, now);
            }
            Event::UsageReported { usages } => {
                self.record_usages(usages, out);
            }
            Event::AllotmentChanged { team, allotment } => {
                let team = self.teams.slot_or_insert(team);
                self.teams.get_mut(team).allotment = *allotment;
                self.teams.get_mut(team).reset_ready_classes();
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
