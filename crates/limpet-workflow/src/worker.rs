use std::collections::VecDeque;

use limpet_core::{Resources, TimeMs};
use rustc_hash::FxHashMap;

use crate::{
    engine::SUSPECT_FAILURES,
    key::{JobKey, StepKey, TaskKey},
};

/// Names a worker within one engine.
pub type WorkerSlot = u32;

/// What a worker says of itself in the platform's list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WorkerListing {
    /// Its id.
    pub id: String,
    /// Where it takes orders.
    pub address: String,
    /// The service whose tasks it runs.
    pub service: String,
    /// What it holds.
    pub capacity: Resources,
    /// Its kind and its rack.
    pub labels: Vec<String>,
    /// Whether it leaves.
    pub draining: bool,
    /// The time that is left at least while it leaves.
    pub drain_remaining_ms: Option<u64>,
    /// Which of its lives this is.
    pub incarnation: u64,
}

/// A run that a worker reports.
#[derive(Clone, Debug, PartialEq)]
pub struct RunningTask {
    /// The task.
    pub task: TaskKey,
    /// The number of the run.
    pub run: u32,
    /// The progress that was saved last.
    pub checkpoint: String,
    /// How much of the work is done.
    pub percent: f64,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EndKind {
    /// Its work is done.
    Done,
    /// It failed, by its own fault or the worker's.
    Failed,
    /// It was stopped.
    Stopped,
    /// The worker's lease lapsed.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// It waited in vain for the others of its gang.
    Alone,
}

/// The end of a run as a worker lists it.
#[derive(Clone, Debug, PartialEq)]
pub struct RunEnd {
    /// Counts the ends of one life of the worker.
    pub number: u64,
    /// The task.
    pub task: TaskKey,
    /// The number of the run.
    pub run: u32,
    /// How it ended.
    pub kind: EndKind,
    /// The progress that was saved last.
    pub checkpoint: String,
}

/// A worker's answer to a look.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HoldReport {
    /// The worker's clock.
    pub clock_ms: u64,
    /// Which of its lives answered, where it says so.
    pub incarnation: Option<u64>,
    /// What runs.
    pub running: Vec<RunningTask>,
    /// Ends that were not acknowledged yet.
    pub ended: Vec<RunEnd>,
}

/// An end that awaits the commit of what it changed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct UncommittedEnd {
    pub(crate) number: u64,
    pub(crate) job: JobKey,
    pub(crate) version: u64,
}

/// Room that is kept for a step while others make way.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Reservation {
    pub(crate) step: StepKey,
    pub(crate) priority: u32,
    pub(crate) room: Resources,
    pub(crate) until: TimeMs,
}

/// What reports say of a worker's pace.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Pace {
    /// The reports in a row in which all of its runs were slow.
    pub(crate) slow_reports: u32,
    /// When the last report counted.
    pub(crate) judged_at: TimeMs,
    /// Whether it was found slow and has done nothing well since.
    pub(crate) slow: bool,
}

/// A worker as the engine knows it.
#[derive(Clone, Debug)]
pub(crate) struct Worker {
    pub(crate) listing: WorkerListing,
    /// Whether the platform's list names it.
    pub(crate) listed: bool,
    /// Whether its last look was answered in this life.
    pub(crate) reachable: bool,
    /// When everything there has certainly lapsed.
    pub(crate) lapse_at: TimeMs,
    /// Its clock at `clock_seen_at`.
    pub(crate) clock_ms: u64,
    pub(crate) clock_seen_at: TimeMs,
    /// What its claims take.
    pub(crate) used: Resources,
    /// The part of it that stays for long.
    pub(crate) fixed: Resources,
    /// What runs there without a claim and is being stopped.
    pub(crate) strays: Resources,
    /// The claims of tasks on it.
    pub(crate) claims: FxHashMap<TaskKey, u32>,
    pub(crate) reservations: Vec<Reservation>,
    /// The last end that was handled.
    pub(crate) last_handled: u64,
    /// The last end whose effects are durable.
    pub(crate) last_committed: u64,
    pub(crate) uncommitted: VecDeque<UncommittedEnd>,
    /// Failed runs of different jobs since the last good one.
    pub(crate) failed_in_row: u32,
    pub(crate) quarantined_until: TimeMs,
    pub(crate) pace: Pace,
    /// Starts without an answer: `(task, run, when)`.
    pub(crate) unanswered: Vec<(TaskKey, u32, TimeMs)>,
}

impl Worker {
    pub(crate) fn new(listing: WorkerListing, lapse_at: TimeMs) -> Worker {
        Worker {
            listing,
            listed: true,
            reachable: false,
            lapse_at,
            clock_ms: 0,
            clock_seen_at: TimeMs::ZERO,
            used: Resources::ZERO,
            fixed: Resources::ZERO,
            strays: Resources::ZERO,
            claims: FxHashMap::default(),
            reservations: Vec::new(),
            last_handled: 0,
            last_committed: 0,
            uncommitted: VecDeque::new(),
            failed_in_row: 0,
            quarantined_until: TimeMs::ZERO,
            pace: Pace::default(),
            unanswered: Vec::new(),
        }
    }

    /// Says whether it may be given new work.
    pub(crate) fn is_usable(&self, now: TimeMs) -> bool {
        self.listed
            && self.reachable
            && !self.listing.draining
            && now >= self.quarantined_until
            && (self.failed_in_row < SUSPECT_FAILURES && !self.pace.slow
                || self.claims.is_empty())
    }

    /// Returns what a step may have once short tasks have ended.
    pub(crate) fn room_in_time(&self, step: StepKey) -> Resources {
        let mut taken = self.fixed.plus(&self.strays);
        for reservation in &self.reservations {
            if reservation.step != step {
                taken = taken.plus(&reservation.room);
            }
        }
        self.listing.capacity.minus(&taken)
    }

    /// Returns what is free for a step of `priority`.
    pub(crate) fn room_for(&self, step: StepKey, priority: u32) -> Resources {
        let mut taken = self.used.plus(&self.strays);
        for reservation in &self.reservations {
            if reservation.step != step && reservation.priority <= priority {
                taken = taken.plus(&reservation.room);
            }
        }
        self.listing.capacity.minus(&taken)
    }

    /// Says whether room is kept here for a step.
    pub(crate) fn is_kept_for(&self, step: StepKey) -> bool {
        self.reservations.iter().any(|one| one.step == step)
    }

    /// Says whether room is kept here for another step.
    pub(crate) fn is_kept_from(&self, step: StepKey) -> bool {
        self.reservations.iter().any(|one| one.step != step)
    }

    /// Returns what is kept for steps.
    pub(crate) fn reserved(&self) -> Resources {
        self.reservations
            .iter()
            .fold(Resources::ZERO, |sum, one| sum.plus(&one.room))
    }

    /// Returns what no run and no claim takes.
    pub(crate) fn free(&self) -> Resources {
        self.listing.capacity.minus(&self.used.plus(&self.strays))
    }

    /// Returns the part of what is free that is kept for steps.
    pub(crate) fn kept_free(&self) -> Resources {
        let free = self.free();
        free.minus(&free.minus(&self.reserved()))
    }

    pub(crate) fn has_label(&self, label: &str) -> bool {
        self.listing.labels.iter().any(|own| own == label)
    }
}

impl Worker {
    /// Says whether a start that was decided on may still be sent.
    pub(crate) fn is_alive_for_start(&self) -> bool {
        self.listed && self.reachable && !self.listing.draining
    }
}
