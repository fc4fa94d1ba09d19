//! The state that the owner of a shard keeps for the time of its ownership.

use std::{
    collections::{BTreeMap, VecDeque},
    rc::Rc,
};

use limpet_core::{
    Epoch, JobId, Resources, ShardId, TaskId, TeamName, TimeMs, WorkerId,
    allotment::Allotment,
    journal::{Journal, JournalOptions, SegmentKey, ShardRecord},
    scheduler::Scheduler,
    table::IdBlock,
};
use tokio::sync::{Mutex, Notify};

use super::{journal::PendingRecord, worker_link::WorkerLink};

/// The state of a shard that this instance owns, for one ownership.
pub(crate) struct OwnedShard {
    /// The number of this ownership, higher than that of any earlier ownership
    /// of the shard.
    pub(super) epoch: Epoch,
    /// The version of the owner row. Every write of this ownership is
    /// conditional on it, so that a former owner's writes fail.
    pub(super) owner_version: u64,
    /// When the ownership began, on the monotonic clock.
    pub(super) acquired_at: TimeMs,
    pub(super) scheduler: Scheduler,
    /// The result of applying all durable records.
    pub(super) record: ShardRecord,
    /// Whether the records of earlier owners are still being read.
    pub(super) recovering: bool,
    /// The workers of the shard's data centre, and those that claims name.
    pub(super) workers: BTreeMap<WorkerId, WorkerLink>,
    pub(super) journal: Journal,
    /// The records that are not durable yet, oldest first, with what to do
    /// once they are.
    pub(super) pending: VecDeque<PendingRecord>,
    /// The starts whose claims are not durable yet, by task.
    pub(super) claiming: BTreeMap<TaskId, Claiming>,
    /// The allotments of this shard for the teams that have limits.
    pub(super) allotments: BTreeMap<TeamName, Allotment>,
    /// The allotments that the scheduler was last given.
    pub(super) allowed: BTreeMap<TeamName, Resources>,
    /// The durable segments that no snapshot covers, oldest first.
    pub(super) segments: Vec<SegmentKey>,
    /// Whether a snapshot is being stored.
    pub(super) snapshotting: bool,
    /// Accepted jobs by the token of their submission.
    pub(super) tokens: BTreeMap<String, JobId>,
    /// The reserved job numbers that are not used yet.
    pub(super) job_ids: IdBlock,
    /// Held while a block of job numbers is reserved, so that concurrent
    /// submissions reserve one block together.
    pub(super) id_reservation: Rc<Mutex<()>>,
    /// Wakes the loop that writes the journal.
    pub(super) journal_wake: Rc<Notify>,
    /// Wakes the loop that exchanges messages with workers.
    pub(super) worker_wake: Rc<Notify>,
}

/// A start that must not be sent before its claim is durable.
#[derive(Clone, Debug)]
pub(super) struct Claiming {
    pub(super) worker: WorkerId,
    pub(super) attempt: u32,
    /// Whether the scheduler has since stopped the task, so that the start
    /// must not be sent.
    pub(super) withdrawn: bool,
}

/// A new ownership of a shard.
#[derive(Clone, Copy, Debug)]
pub(super) struct Ownership {
    pub(super) shard: ShardId,
    pub(super) epoch: Epoch,
    pub(super) owner_version: u64,
    pub(super) acquired_at: TimeMs,
}

impl OwnedShard {
    /// Returns the state at the beginning of an ownership, before the
    /// records of earlier owners are read.
    pub(super) fn new(
        ownership: &Ownership,
        options: JournalOptions,
    ) -> OwnedShard {
        let Ownership { shard, epoch, owner_version, acquired_at } =
            *ownership;
        OwnedShard {
            epoch,
            owner_version,
            acquired_at,
            scheduler: Scheduler::new(),
            record: ShardRecord::default(),
            recovering: true,
            workers: BTreeMap::new(),
            journal: Journal::new(shard, epoch, owner_version, options),
            pending: VecDeque::new(),
            claiming: BTreeMap::new(),
            allotments: BTreeMap::new(),
            allowed: BTreeMap::new(),
            segments: Vec::new(),
            snapshotting: false,
            tokens: BTreeMap::new(),
            job_ids: IdBlock::default(),
            id_reservation: Rc::default(),
            journal_wake: Rc::new(Notify::new()),
            worker_wake: Rc::new(Notify::new()),
        }
    }

    /// Returns the number of workers that have answered this owner and whose
    /// leases have not expired.
    pub(super) fn answering_workers(&self) -> usize {
        self.workers.values().filter(|link| link.answered).count()
    }
}
