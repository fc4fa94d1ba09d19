use std::collections::{BTreeMap, BTreeSet};

use limpet_core::{
    Epoch, Resources, TaskId, TimeMs, WorkerId, journal::Attempt,
    scheduler::WorkerShape,
};
use limpet_platform::{MemberState, WorkerCommand, WorkerEntry};

/// A run of a task: attempts count from 1 in each epoch.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct RunId {
    pub(super) task: TaskId,
    pub(super) epoch: Epoch,
    pub(super) attempt: u32,
}

impl RunId {
    /// Returns the attempt without its task.
    pub(super) fn to_attempt(self) -> Attempt {
        Attempt::new(self.epoch, self.attempt)
    }
}

/// What the owner of a shard knows of one worker.
#[derive(Debug)]
pub(super) struct WorkerLink {
    pub(super) entry: WorkerEntry,
    /// The stamp of the last answer.
    pub(super) stamp_ms: Option<u64>,
    /// The time after which nothing can run there that this owner or an
    /// earlier one started, if no further answer comes.
    pub(super) lapses_at: TimeMs,
    /// When the last exchange began.
    pub(super) asked_at: Option<TimeMs>,
    /// Whether an exchange is under way.
    pub(super) busy: bool,
    /// Whether the worker has answered this owner since it last lapsed.
    pub(super) heard: bool,
    /// Whether its leases were declared lapsed.
    pub(super) lapsed: bool,
    /// Whether the scheduler was told that it takes no new tasks.
    pub(super) leaving: bool,
    /// The exchanges in a row that gave no answer.
    pub(super) failures: u32,
    /// What waits for the next exchange.
    pub(super) commands: Vec<WorkerCommand>,
    /// The runs that were commanded there or found there, by task.
    pub(super) runs: BTreeMap<TaskId, RunId>,
    /// Ends that are on their way to the journal.
    pub(super) recording: BTreeSet<RunId>,
}

impl WorkerLink {
    /// Returns the link to a worker that wasn't heard yet and whose older
    /// leases lapse at `lapses_at`.
    pub(super) fn new(entry: WorkerEntry, lapses_at: TimeMs) -> WorkerLink {
        WorkerLink {
            entry,
            stamp_ms: None,
            lapses_at,
            asked_at: None,
            busy: false,
            heard: false,
            lapsed: false,
            leaving: false,
            failures: 0,
            commands: Vec::new(),
            runs: BTreeMap::new(),
            recording: BTreeSet::new(),
        }
    }

    /// Returns the link to a worker of which only the name is known.
    pub(super) fn unlisted(worker: WorkerId, lapses_at: TimeMs) -> WorkerLink {
        let unknown = "unknown";
        let shape = WorkerShape {
            worker,
            data_centre: unknown.parse().expect("the name is valid"),
            rack: unknown.parse().expect("the name is valid"),
            held: Resources::ZERO,
        };
        let address = String::new();
        let state = MemberState::Live;
        WorkerLink::new(WorkerEntry { shape, address, state }, lapses_at)
    }

    /// Says whether it is time for an exchange.
    pub(super) fn is_due(&self, now: TimeMs, exchange_ms: u64) -> bool {
        if self.busy || self.entry.address.is_empty() {
            return false;
        }
        // A worker that doesn't answer is asked at the interval, whatever
        // waits for it.
        let urgent = !self.commands.is_empty() && self.failures == 0;
        urgent
            || self
                .asked_at
                .is_none_or(|asked_at| now.ms_since(asked_at) >= exchange_ms)
    }
}
