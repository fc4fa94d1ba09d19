use std::{
    collections::{BTreeMap, VecDeque},
    rc::Rc,
};

use limpet_core::{Epoch, JobId, TimeMs, WorkerId, scheduler::Scheduler};
use tokio::sync::Notify;

use super::{journal::Pending, worker_link::WorkerLink};

/// A shard that this instance owns.
pub(crate) struct OwnedShard {
    pub(super) epoch: Epoch,
    /// The version of the epoch's row, on which every segment depends.
    pub(super) epoch_version: u64,
    /// The version of the lease's row.
    pub(super) lease_version: u64,
    /// The time up to which nobody else can own the shard.
    pub(super) valid_until: TimeMs,
    /// When the ownership began.
    pub(super) acquired_at: TimeMs,
    pub(super) scheduler: Scheduler,
    /// Whether the workers' inventories are still being read.
    pub(super) recovering: bool,
    pub(super) workers: BTreeMap<WorkerId, WorkerLink>,
    /// Records that wait for the table.
    pub(super) pending: VecDeque<Pending>,
    /// The sequence of the next segment.
    pub(super) sequence: u64,
    /// Jobs by the token of their submission.
    pub(super) tokens: BTreeMap<String, JobId>,
    /// The job numbers that are left of the current block.
    pub(super) job_numbers: std::ops::Range<u64>,
    /// Wakes the journal.
    pub(super) journal_wake: Rc<Notify>,
    /// Wakes the exchanges with workers.
    pub(super) worker_wake: Rc<Notify>,
}

impl OwnedShard {
    /// Says whether this instance may still act for the shard.
    ///
    /// It is asked before each effect leaves and after each answer, since
    /// the process may have been paused for longer than its lease.
    pub(super) fn may_act(&self, now: TimeMs) -> bool {
        now < self.valid_until
    }

    /// Takes the next job number, if the block has one left.
    pub(super) fn take_job_number(&mut self) -> Option<JobId> {
        self.job_numbers.next().map(JobId::new)
    }
}
