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

use super::{journal::Waiting, worker_link::WorkerLink};

/// A shard that this instance owns.
pub(crate) struct OwnedShard {
    pub(super) epoch: Epoch,
    /// The version of the owner row, on which every write depends.
    pub(super) owner_version: u64,
    /// When the ownership began.
    pub(super) acquired_at: TimeMs,
    pub(super) scheduler: Scheduler,
    /// What all durable records amount to.
    pub(super) record: ShardRecord,
    /// Whether the records of earlier owners are still being read.
    pub(super) recovering: bool,
    pub(super) workers: BTreeMap<WorkerId, WorkerLink>,
    pub(super) journal: Journal,
    /// What follows once the records in the journal are durable.
    pub(super) waiting: VecDeque<Waiting>,
    /// The tasks whose starts wait for their claims.
    pub(super) claiming: BTreeMap<TaskId, Claiming>,
    /// The allotments of the teams that have limits.
    pub(super) allotments: BTreeMap<TeamName, Allotment>,
    /// What the scheduler was told that each of them may run at once.
    pub(super) allowed: BTreeMap<TeamName, Resources>,
    /// The segments that no snapshot covers.
    pub(super) segments: Vec<SegmentKey>,
    /// Whether a snapshot is on its way.
    pub(super) snapshotting: bool,
    /// Jobs by the token of their submission.
    pub(super) tokens: BTreeMap<String, JobId>,
    pub(super) job_ids: IdBlock,
    /// Held while a block of job numbers is taken.
    pub(super) taking_ids: Rc<Mutex<()>>,
    /// Wakes the journal.
    pub(super) journal_wake: Rc<Notify>,
    /// Wakes the exchanges with workers.
    pub(super) worker_wake: Rc<Notify>,
}

/// A start that waits for its claim.
#[derive(Clone, Debug)]
pub(super) struct Claiming {
    pub(super) worker: WorkerId,
    pub(super) attempt: u32,
    /// Whether the start is not wanted any more.
    pub(super) withdrawn: bool,
}

/// What is known of an ownership when it begins.
#[derive(Clone, Copy, Debug)]
pub(super) struct Acquired {
    pub(super) shard: ShardId,
    pub(super) epoch: Epoch,
    pub(super) owner_version: u64,
    pub(super) acquired_at: TimeMs,
}

impl OwnedShard {
    /// Returns a shard whose records have not been read yet.
    pub(super) fn new(
        acquired: &Acquired,
        options: JournalOptions,
    ) -> OwnedShard {
        let Acquired { shard, epoch, owner_version, acquired_at } = *acquired;
        OwnedShard {
            epoch,
            owner_version,
            acquired_at,
            scheduler: Scheduler::new(),
            record: ShardRecord::default(),
            recovering: true,
            workers: BTreeMap::new(),
            journal: Journal::new(shard, epoch, owner_version, options),
            waiting: VecDeque::new(),
            claiming: BTreeMap::new(),
            allotments: BTreeMap::new(),
            allowed: BTreeMap::new(),
            segments: Vec::new(),
            snapshotting: false,
            tokens: BTreeMap::new(),
            job_ids: IdBlock::default(),
            taking_ids: Rc::default(),
            journal_wake: Rc::new(Notify::new()),
            worker_wake: Rc::new(Notify::new()),
        }
    }

    /// Returns the number of workers that may be placed on.
    pub(super) fn heard_workers(&self) -> usize {
        self.workers.values().filter(|link| link.heard).count()
    }
}
