//! What the owner of a shard keeps for each worker.

use std::collections::{BTreeMap, BTreeSet};

use limpet_core::{
    Epoch, Resources, TaskId, TimeMs, WorkerId, journal::Attempt,
    scheduler::WorkerShape,
};
use limpet_platform::{MemberState, WorkerCommand, WorkerEntry};

/// Identifies a run of a task. Attempts count from 1 in each epoch.
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

/// What the owner of a shard knows of a worker.
#[derive(Debug)]
pub(super) struct WorkerLink {
    /// The worker's entry in the platform's list.
    pub(super) entry: WorkerEntry,
    /// The stamp in the worker's last report, which the next request returns;
    /// `None` before the first report and after the leases have expired.
    pub(super) stamp_ms: Option<u64>,
    /// When the worker's leases have certainly expired, so that everything
    /// that this owner or an earlier one started there has stopped. Each
    /// answer sets it anew.
    pub(super) expires_at: TimeMs,
    /// When the last request was sent.
    pub(super) last_sent_at: Option<TimeMs>,
    /// Whether a request is waiting for its answer.
    pub(super) awaiting_answer: bool,
    /// Whether the worker has answered this owner and its leases have not
    /// expired since.
    pub(super) answered: bool,
    /// Whether the leases have expired and the worker's tasks were recorded as
    /// stopped.
    pub(super) expired: bool,
    /// Whether the worker is leaving or drained, so that it gets no new tasks.
    pub(super) leaving: bool,
    /// How many exchanges in a row gave no answer.
    pub(super) failures: u32,
    /// The commands for the next exchange.
    pub(super) commands: Vec<WorkerCommand>,
    /// The runs that were started by command or reported by the worker, by
    /// task.
    pub(super) runs: BTreeMap<TaskId, RunId>,
    /// The ended runs whose records are not durable yet. The worker reports
    /// them again until they are acknowledged.
    pub(super) recording: BTreeSet<RunId>,
}

impl WorkerLink {
    /// Returns the link to a worker that has not answered yet and whose leases
    /// from earlier owners expire at `expires_at`.
    pub(super) fn new(entry: WorkerEntry, expires_at: TimeMs) -> WorkerLink {
        WorkerLink {
            entry,
            stamp_ms: None,
            expires_at,
            last_sent_at: None,
            awaiting_answer: false,
            answered: false,
            expired: false,
            leaving: false,
            failures: 0,
            commands: Vec::new(),
            runs: BTreeMap::new(),
            recording: BTreeSet::new(),
        }
    }

    /// Returns the link to a worker that the platform doesn't list. It has no
    /// address, so it only serves to wait until its leases expire.
    pub(super) fn unlisted(
        worker: WorkerId,
        expires_at: TimeMs,
    ) -> WorkerLink {
        let unknown = "unknown";
        let shape = WorkerShape {
            worker,
            data_centre: unknown.parse().expect("the name is valid"),
            rack: unknown.parse().expect("the name is valid"),
            held: Resources::ZERO,
        };
        let address = String::new();
        let state = MemberState::Live;
        WorkerLink::new(WorkerEntry { shape, address, state }, expires_at)
    }

    /// Returns whether a request is due at `now`, if one without commands is
    /// sent every `exchange_ms`.
    pub(super) fn is_due(&self, now: TimeMs, exchange_ms: u64) -> bool {
        if self.awaiting_answer || self.entry.address.is_empty() {
            return false;
        }
        // Commands make a request due at once, but not to a worker that has
        // failed to answer: such a worker is polled at the interval.
        let urgent = !self.commands.is_empty() && self.failures == 0;
        urgent
            || self.last_sent_at.is_none_or(|last_sent_at| {
                now.ms_since(last_sent_at) >= exchange_ms
            })
    }
}
