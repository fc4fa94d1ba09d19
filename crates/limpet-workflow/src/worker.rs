//! Workers: their registrations, their reports and the engine's state of them.

use std::collections::VecDeque;

use limpet_core::{Resources, TimeMs};
use rustc_hash::FxHashMap;

use crate::{
    engine::{
        LifeEnd, LostRun, Preemptible, ReleasedRun, SUSPECT_FAILURES, Speed,
    },
    key::{JobKey, StepKey, TaskKey},
    tenure::Tenure,
};

/// Identifies a worker within one engine.
pub type WorkerSlot = u32;

/// A worker's registration in the platform's list of workers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WorkerListing {
    /// The id of the worker.
    pub id: String,
    /// The `IP:PORT` at which the worker accepts orders; empty if unknown.
    pub address: String,
    /// The service that the worker belongs to.
    pub service: String,
    /// The total resources of the worker.
    pub capacity: Resources,
    /// The data centre that it is in; empty if unknown.
    pub data_centre: String,
    /// How much longer it stays slow after a time without work.
    pub cold_left_ms: u64,
    /// Its labels, such as its kind and its rack.
    pub labels: Vec<String>,
    /// Whether the worker is shutting down and accepts no new tasks.
    pub draining: bool,
    /// The minimum time until a draining worker is gone.
    pub drain_remaining_ms: Option<u64>,
    /// The machine that the worker is a life of; empty if unknown.
    pub machine: String,
    /// The incarnation: grows with each restart under the same id; 0 if
    /// unknown.
    pub incarnation: u64,
}

/// A run in progress, as its worker reports it.
#[derive(Clone, Debug, PartialEq)]
pub struct RunningTask {
    /// The task.
    pub task: TaskKey,
    /// The number of the run.
    pub run: u32,
    /// The latest checkpoint; empty if there is none.
    pub checkpoint: String,
    /// The completed fraction of the work, in percent.
    pub percent: f64,
    /// The tail latency in milliseconds of a serving task, the cores in use of
    /// any other; `None` if it is not reported.
    pub load: Option<f64>,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EndKind {
    /// It succeeded.
    Done,
    /// It failed, because of the task or of the worker.
    Failed,
    /// It was stopped by an order.
    Stopped,
    /// The worker's lease on its tasks expired.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// It timed out waiting for the other members of its gang to start.
    Alone,
    /// In a way that this version doesn't know. The task is started again.
    Unknown,
}

/// The end of a run, as its worker reports it.
#[derive(Clone, Debug, PartialEq)]
pub struct RunEnd {
    /// The sequence number of the end within the worker's incarnation.
    pub number: u64,
    /// The task.
    pub task: TaskKey,
    /// The number of the run.
    pub run: u32,
    /// How it ended.
    pub kind: EndKind,
    /// The latest checkpoint; empty if there is none.
    pub checkpoint: String,
}

/// Why a hold request got no reply.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MissedPoll {
    /// The worker's host refused the connection: no process listens there.
    Refused,
    /// There was no answer, or one that is of no use.
    NoAnswer,
}

/// A worker's reply to a hold request: the poll that renews its lease.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HoldReport {
    /// The time on the worker's clock.
    pub clock_ms: u64,
    /// The incarnation that replied, if the worker reports it.
    pub incarnation: Option<u64>,
    /// The runs in progress.
    pub running: Vec<RunningTask>,
    /// The ended runs that have not been acknowledged yet, oldest first.
    pub ended: Vec<RunEnd>,
    /// Whether there may be later ones, which the report has no place for.
    pub more_ends: bool,
}

/// An ended run that is acknowledged to its worker once the job's progress
/// is committed with at least `version`.
#[derive(Clone, Copy, Debug)]
pub(crate) struct UncommittedEnd {
    /// The sequence number of the end within the worker's incarnation.
    pub(crate) number: u64,
    pub(crate) job: JobKey,
    pub(crate) version: u64,
}

/// Resources of a worker that are reserved for a step until other tasks have
/// ended or been stopped.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Reservation {
    pub(crate) step: StepKey,
    /// The priority of the step's queue; 0 is the most urgent.
    pub(crate) priority: u32,
    /// The reserved resources.
    pub(crate) room: Resources,
    /// When the reservation expires.
    pub(crate) until: TimeMs,
}

/// How fast a worker's runs progress, judged from its reports.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Pace {
    /// Consecutive reports in which all of its runs were slow.
    pub(crate) slow_reports: u32,
    /// When a report was last evaluated.
    pub(crate) updated_at: TimeMs,
    /// Whether it was found slow and no run has had a normal pace since.
    pub(crate) slow: bool,
}

/// The engine's state of a worker.
#[derive(Clone, Debug)]
pub(crate) struct Worker {
    pub(crate) listing: WorkerListing,
    /// Whether the platform's list contains the worker.
    pub(crate) listed: bool,
    /// Whether it is in an evacuated data centre, where nothing new starts.
    pub(crate) evacuated: bool,
    /// Whether it was still slow after a time without work in the latest
    /// scheduling pass.
    pub(crate) is_cold: bool,
    /// When it stops being slow after a time without work.
    pub(crate) cold_until: TimeMs,
    /// Whether its current incarnation answered the latest hold request.
    pub(crate) reachable: bool,
    /// Whether its host has refused a connection since its latest reply.
    pub(crate) refused: bool,
    /// When it first left a hold request without a reply; `None` while it
    /// replies.
    pub(crate) silent_since: Option<TimeMs>,
    /// When its latest earlier life ended.
    pub(crate) life_ended_at: Option<TimeMs>,
    /// How that life ended.
    pub(crate) life_end: LifeEnd,
    /// The jobs of which it had claims when its latest life ended.
    pub(crate) jobs_at_end: Vec<JobKey>,
    /// The runs that were counted as lost since it fell silent.
    pub(crate) silent_losses: Vec<LostRun>,
    /// The runs whose claims were released for the loss of the worker since its
    /// latest report.
    pub(crate) released_runs: Vec<ReleasedRun>,
    /// The ends that it listed during the load of this owner, before any
    /// report of it was applied.
    pub(crate) unread_ends: Vec<RunEnd>,
    /// The job that has the worker to itself, since it may crash it.
    pub(crate) apart_job: Option<JobKey>,
    /// How many lives of it this owner has known, after the first.
    pub(crate) lives: u64,
    /// When the fencing token of calls to it was last raised.
    pub(crate) fence_raised_at: Option<TimeMs>,
    /// When its lease has certainly expired, and with it all of its runs.
    pub(crate) lease_expires_at: TimeMs,
    /// The time on its clock at `clock_seen_at`.
    pub(crate) clock_ms: u64,
    /// Zero while its clock is unknown.
    pub(crate) clock_seen_at: TimeMs,
    /// The resources of its claims.
    pub(crate) used: Resources,
    /// The resources of those claims that end neither soon nor by preemption.
    pub(crate) pinned: Resources,
    /// The resources of runs that have no claim and are being stopped.
    pub(crate) strays: Resources,
    /// The run number of each task with a claim on it.
    pub(crate) claims: FxHashMap<TaskKey, u32>,
    /// How many of these tasks last.
    pub(crate) lasting: usize,
    /// The resources of the claims of tasks that last.
    pub(crate) lasting_used: Resources,
    /// Cores that steps are expected to use once their advice requests are
    /// answered, in thousandths.
    pub(crate) promised_cores_milli: u64,
    /// The claimed tasks that may be preempted.
    pub(crate) preemptible: Preemptible,
    pub(crate) reservations: Vec<Reservation>,
    /// The sequence number of the latest end that was applied.
    pub(crate) last_handled: u64,
    /// The sequence number of the latest end whose effects are durable.
    pub(crate) last_committed: u64,
    /// The applied ends whose effects are not durable, oldest first.
    pub(crate) uncommitted: VecDeque<UncommittedEnd>,
    /// Failed runs of different jobs since the last successful run.
    pub(crate) consecutive_failures: u32,
    /// The worker gets no new tasks before this time.
    pub(crate) quarantined_until: TimeMs,
    /// Its capacity may be outdated until this time, and it gets no new tasks.
    pub(crate) doubted_until: TimeMs,
    pub(crate) pace: Pace,
    /// How fast its machine is.
    pub(crate) speed: Speed,
    /// The band of its speed: 0 for the median, more for faster workers.
    pub(crate) speed_band: i32,
    /// The start orders in a row without a reply, and when the latest of them
    /// timed out.
    pub(crate) unanswered_in_a_row: (u32, TimeMs),
    /// Start orders without a reply: `(task, run, timed out at)`.
    pub(crate) unanswered: Vec<(TaskKey, u32, TimeMs)>,
}

/// A worker that left this many start orders in a row without a reply gets no
/// new tasks. Single replies get lost now and then.
const MAX_UNANSWERED_IN_A_ROW: u32 = 2;

impl Worker {
    pub(crate) fn new(
        listing: WorkerListing,
        lease_expires_at: TimeMs,
    ) -> Worker {
        Worker {
            listing,
            listed: true,
            evacuated: false,
            is_cold: false,
            cold_until: TimeMs::ZERO,
            reachable: false,
            refused: false,
            silent_since: None,
            life_ended_at: None,
            life_end: LifeEnd::Crashed,
            jobs_at_end: Vec::new(),
            silent_losses: Vec::new(),
            released_runs: Vec::new(),
            unread_ends: Vec::new(),
            apart_job: None,
            lives: 0,
            fence_raised_at: None,
            lease_expires_at,
            clock_ms: 0,
            clock_seen_at: TimeMs::ZERO,
            used: Resources::ZERO,
            pinned: Resources::ZERO,
            strays: Resources::ZERO,
            claims: FxHashMap::default(),
            lasting: 0,
            lasting_used: Resources::ZERO,
            promised_cores_milli: 0,
            preemptible: Preemptible::default(),
            reservations: Vec::new(),
            last_handled: 0,
            last_committed: 0,
            uncommitted: VecDeque::new(),
            consecutive_failures: 0,
            quarantined_until: TimeMs::ZERO,
            doubted_until: TimeMs::ZERO,
            pace: Pace::default(),
            speed: Speed::default(),
            speed_band: 0,
            unanswered_in_a_row: (0, TimeMs::ZERO),
            unanswered: Vec::new(),
        }
    }

    /// Returns whether it may be given new tasks. A worker that is still
    /// suspect after its quarantine gets tasks as a trial, while it hosts none
    /// whose end or pace is to tell whether it is sound.
    pub(crate) fn is_usable(&self, now: TimeMs) -> bool {
        self.is_alive_for_start()
            && !self.evacuated
            && now >= self.quarantined_until
            && now >= self.doubted_until
            && (!self.is_suspect() || self.claims.len() == self.lasting)
    }

    /// Returns whether it was found slow or failing, and no run has shown
    /// since that it is sound.
    pub(crate) fn is_suspect(&self) -> bool {
        self.consecutive_failures >= SUSPECT_FAILURES || self.pace.slow
    }

    /// Accounts for a claim with these resources, of which `counted` count
    /// against its capacity.
    pub(crate) fn add_claim(
        &mut self,
        task: TaskKey,
        run: u32,
        counted: &Resources,
        tenure: Tenure,
    ) {
        self.used = self.used.plus(counted);
        if tenure.is_pinned() {
            self.pinned = self.pinned.plus(counted);
        }
        if tenure == Tenure::Lasting {
            self.lasting += 1;
            self.lasting_used = self.lasting_used.plus(counted);
        }
        self.claims.insert(task, run);
    }

    /// Takes a claim back that [`Worker::add_claim`] has accounted for.
    pub(crate) fn remove_claim(
        &mut self,
        task: TaskKey,
        counted: &Resources,
        tenure: Tenure,
    ) {
        self.claims.remove(&task);
        if self.claims.is_empty() {
            self.apart_job = None;
        }
        self.used = self.used.minus(counted);
        if tenure.is_pinned() {
            self.pinned = self.pinned.minus(counted);
        }
        if tenure == Tenure::Lasting {
            self.lasting -= 1;
            self.lasting_used = self.lasting_used.minus(counted);
        }
    }

    /// Returns the resources that a step could use once all tasks that end
    /// soon or can be stopped have made room.
    pub(crate) fn gatherable_room(&self, step: StepKey) -> Resources {
        let mut taken = self.pinned.plus(&self.strays);
        for reservation in &self.reservations {
            if reservation.step != step {
                taken = taken.plus(&reservation.room);
            }
        }
        self.listing.capacity.minus(&taken)
    }

    /// Returns the resources that are free for a step of `priority`: those
    /// reserved for less urgent steps count as free.
    pub(crate) fn room_for(&self, step: StepKey, priority: u32) -> Resources {
        let mut taken = self.used.plus(&self.strays);
        for reservation in &self.reservations {
            if reservation.step != step && reservation.priority <= priority {
                taken = taken.plus(&reservation.room);
            }
        }
        self.listing.capacity.minus(&taken)
    }

    /// Returns whether resources are reserved for `step`.
    pub(crate) fn has_reservation_for(&self, step: StepKey) -> bool {
        self.reservations.iter().any(|reservation| reservation.step == step)
    }

    /// Returns the cores that are reserved for `step`, in thousandths.
    pub(crate) fn reserved_cores_milli_for(&self, step: StepKey) -> u64 {
        self.reservations
            .iter()
            .filter(|reservation| reservation.step == step)
            .map(|reservation| reservation.room.cores_milli)
            .sum()
    }

    /// Returns whether resources are reserved for another step.
    pub(crate) fn has_other_reservation(&self, step: StepKey) -> bool {
        self.reservations.iter().any(|reservation| reservation.step != step)
    }

    /// Returns the sum of all reservations.
    pub(crate) fn reserved(&self) -> Resources {
        self.reservations.iter().fold(Resources::ZERO, |sum, reservation| {
            sum.plus(&reservation.room)
        })
    }

    /// Returns the resources that neither a claim nor a stray run uses.
    pub(crate) fn free(&self) -> Resources {
        self.listing.capacity.minus(&self.used.plus(&self.strays))
    }

    /// Returns whether its claims and stray runs exceed its capacity, which
    /// may have shrunk since they were placed.
    pub(crate) fn is_overcommitted(&self) -> bool {
        !self.used.plus(&self.strays).fits_in(&self.listing.capacity)
    }

    /// Returns the free resources that are reserved.
    pub(crate) fn reserved_free(&self) -> Resources {
        let free = self.free();
        free.minus(&free.minus(&self.reserved()))
    }

    /// Returns the machine whose speed it has: its id if that is unknown.
    pub(crate) fn speed_key(&self) -> &str {
        match self.listing.machine.is_empty() {
            true => &self.listing.id,
            false => &self.listing.machine,
        }
    }

    pub(crate) fn has_label(&self, label: &str) -> bool {
        self.listing.labels.iter().any(|own| own == label)
    }
}

impl Worker {
    /// Returns whether a start order for a committed claim may still be sent.
    /// A quarantine since the claim does not prevent it.
    pub(crate) fn is_alive_for_start(&self) -> bool {
        self.listed
            && self.reachable
            && !self.listing.draining
            && self.unanswered_in_a_row.0 < MAX_UNANSWERED_IN_A_ROW
    }

    /// Records whether a start order had a reply. After
    /// [`MAX_UNANSWERED_IN_A_ROW`] without one, the worker gets no new tasks
    /// until it answers an order or a later poll: a network that drops the
    /// packets of orders may still deliver an earlier poll's answer.
    pub(crate) fn record_order(&mut self, is_answered: bool, now: TimeMs) {
        let count =
            if is_answered { 0 } else { self.unanswered_in_a_row.0 + 1 };
        self.unanswered_in_a_row = (count, now);
    }

    /// Records the reply to a poll that was sent at `sent_at`.
    pub(crate) fn record_poll(&mut self, sent_at: TimeMs) {
        if sent_at > self.unanswered_in_a_row.1 {
            self.unanswered_in_a_row.0 = 0;
        }
    }
}
