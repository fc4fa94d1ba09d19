use super::{Holder, LeaseOptions, OwnerRow, lease_key, owner_key};
use crate::{
    Epoch, Result, ShardId, TimeMs,
    table::{CommitAnswer, Condition, Row, StoreFault, Transaction},
};

/// Something that the lease of a shard has to know.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum LeaseEvent {
    /// Both rows were read, in one scan of the shard's prefix.
    Observed {
        /// The owner row.
        owner: Option<Row>,
        /// The lease row.
        lease: Option<Row>,
    },
    /// The answer to the last [`LeaseEffect::Commit`] arrived.
    Committed(std::result::Result<CommitAnswer, StoreFault>),
    /// Every instance that could take the shard over has granted that it
    /// won't before this time on our clock.
    PeersGranted {
        /// The epoch that they were asked for.
        epoch: Epoch,
        /// The earliest end of their grants.
        until: TimeMs,
    },
    /// Time passed.
    Tick {
        /// How this instance would take the shard over if nobody owned it;
        /// `None` where it shouldn't.
        takeover: Option<Takeover>,
    },
    /// Another instance owns the shard under this later epoch.
    Superseded {
        /// The later epoch.
        epoch: Epoch,
    },
    /// Give the shard up; effects of the owner have stopped.
    Release,
}

/// How an instance takes a shard over.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Takeover {
    /// What it waits beyond the margin, so that the instances closest to
    /// the shard go first.
    pub extra_wait_ms: u64,
    /// The row that shows that this instance may act, where there is one.
    pub fence: Option<Condition>,
}

/// Something to do for the lease of a shard.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum LeaseEffect {
    /// Send a transaction; only one is under way at a time.
    Commit(Transaction),
    /// The shard is owned from now on and has to be recovered.
    Acquired {
        /// The epoch of the ownership.
        epoch: Epoch,
        /// The version of the owner row, for the conditions of writes.
        owner_version: u64,
    },
    /// The shard is no longer owned, and its state has to be dropped.
    Lost {
        /// The epoch that ended.
        epoch: Epoch,
    },
}

/// This instance's view of one shard's lease.
///
/// It never acts on its own: it takes events in and returns effects.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct ShardLease {
    shard: ShardId,
    holder: Holder,
    options: LeaseOptions,
    transactions_sent: u64,
    observed: Option<ObservedRows>,
    owned: Option<Owned>,
    pending: Option<Pending>,
    /// The version of the owner row at the last loss; what is as old as
    /// that says nothing any more.
    last_lost_version: u64,
}

/// The rows as last seen, and since when the lease row stands still.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct ObservedRows {
    row: Option<OwnerRow>,
    owner_version: u64,
    lease_version: u64,
    unchanged_since: TimeMs,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Owned {
    epoch: Epoch,
    owner_version: u64,
    valid_until: TimeMs,
    renewed_at: TimeMs,
    releasing: bool,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Pending {
    kind: PendingKind,
    sent_at: TimeMs,
}

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum PendingKind {
    Acquire(Epoch),
    Renew,
    Release,
}

impl ShardLease {
    /// Returns the lease of a shard that this process doesn't own yet.
    pub fn new(
        shard: ShardId,
        holder: Holder,
        options: LeaseOptions,
    ) -> ShardLease {
        ShardLease {
            shard,
            holder,
            options,
            transactions_sent: 0,
            observed: None,
            owned: None,
            pending: None,
            last_lost_version: 0,
        }
    }

    /// Returns whether an effect of the owner may leave now.
    ///
    /// It is asked before each effect and again after each answer: a
    /// process that was paused in between finds its lease lapsed on its own
    /// clock, whatever it was about to do.
    pub fn may_act(&self, now: TimeMs) -> bool {
        self.owned
            .as_ref()
            .is_some_and(|owned| !owned.releasing && now < owned.valid_until)
    }

    /// Returns the epoch while this instance takes itself for the owner,
    /// also after a lapse that nobody has used yet.
    pub fn epoch(&self) -> Option<Epoch> {
        self.owned.as_ref().map(|owned| owned.epoch)
    }

    /// Returns the version of the owner row, on which the owner's writes
    /// are conditioned.
    pub fn owner_version(&self) -> Option<u64> {
        self.owned.as_ref().map(|owned| owned.owner_version)
    }

    /// Returns when the ownership was last confirmed: the end of the lease.
    pub fn valid_until(&self) -> Option<TimeMs> {
        self.owned.as_ref().map(|owned| owned.valid_until)
    }

    /// Returns who was last seen to own the shard.
    pub fn current_holder(&self) -> Option<&Holder> {
        if self.owned.is_some() {
            return Some(&self.holder);
        }
        self.observed.as_ref()?.row.as_ref()?.holder.as_ref()
    }

    /// Takes an event in and returns what has to be done because of it.
    ///
    /// # Errors
    ///
    /// [`crate::ErrorKind::Internal`] where a row can't be read; the state
    /// stays as it was.
    pub fn handle(
        &mut self,
        event: LeaseEvent,
        now: TimeMs,
    ) -> Result<Vec<LeaseEffect>> {
        let mut effects = Vec::new();
        match event {
            LeaseEvent::Observed { owner, lease } => {
                self.observe(owner, lease, now, &mut effects)?;
            }
            LeaseEvent::Committed(answer) => {
                self.on_commit_answer(answer, &mut effects);
            }
            LeaseEvent::PeersGranted { epoch, until } => {
                if let Some(owned) = &mut self.owned
                    && owned.epoch == epoch
                {
                    owned.valid_until = owned.valid_until.max(until);
                }
            }
            LeaseEvent::Tick { takeover } => {
                self.tick(takeover, now, &mut effects);
            }
            LeaseEvent::Superseded { epoch } => {
                if self.epoch().is_some_and(|current| current < epoch) {
                    self.lose_ownership(&mut effects);
                }
            }
            LeaseEvent::Release => {
                if let Some(owned) = &mut self.owned {
                    owned.releasing = true;
                }
            }
        }
        Ok(effects)
    }

    fn observe(
        &mut self,
        owner: Option<Row>,
        lease: Option<Row>,
        now: TimeMs,
        effects: &mut Vec<LeaseEffect>,
    ) -> Result<()> {
        let row = owner.as_ref().map(Row::parse::<OwnerRow>).transpose()?;
        let owner_version = owner.map_or(0, |owner| owner.version);
        let lease_version = lease.map_or(0, |lease| lease.version);
        if self.is_stale(owner_version, lease_version) {
            return Ok(());
        }
        let unchanged = self.observed.as_ref().is_some_and(|observed| {
            (observed.owner_version, observed.lease_version)
                == (owner_version, lease_version)
        });
        if !unchanged {
            self.observed = Some(ObservedRows {
                row,
                owner_version,
                lease_version,
                unchanged_since: now,
            });
        }
        self.compare_owner(effects);
        Ok(())
    }

    /// Returns whether an observation is older than what is known, because
    /// its answer was delayed on the way.
    fn is_stale(&self, owner_version: u64, lease_version: u64) -> bool {
        let seen = self.observed.as_ref().is_some_and(|observed| {
            owner_version < observed.owner_version
                || lease_version < observed.lease_version
        });
        let held = self
            .owned
            .as_ref()
            .is_some_and(|owned| owner_version < owned.owner_version);
        let lost = self.last_lost_version > 0
            && owner_version <= self.last_lost_version;
        seen || held || lost
    }

    /// Compares the owner row with what this instance takes itself for.
    fn compare_owner(&mut self, effects: &mut Vec<LeaseEffect>) {
        let Some(observed) = &self.observed else { return };
        let own_row = observed
            .row
            .as_ref()
            .filter(|row| row.holder.as_ref() == Some(&self.holder));
        match (&self.owned, own_row) {
            (Some(owned), _)
                if owned.owner_version != observed.owner_version =>
            {
                self.last_lost_version = owned.owner_version;
                let epoch = owned.epoch;
                self.owned = None;
                effects.push(LeaseEffect::Lost { epoch });
                self.compare_owner(effects);
            }
            // An acquisition whose answer was lost had taken effect. Its
            // lease counts from a renewal that is still to be sent.
            (None, Some(row)) => {
                let (epoch, version) = (row.epoch, observed.owner_version);
                self.take_ownership(epoch, version, TimeMs::ZERO, effects);
            }
            _ => {}
        }
    }

    fn take_ownership(
        &mut self,
        epoch: Epoch,
        owner_version: u64,
        valid_until: TimeMs,
        effects: &mut Vec<LeaseEffect>,
    ) {
        self.owned = Some(Owned {
            epoch,
            owner_version,
            valid_until,
            renewed_at: TimeMs::ZERO,
            releasing: false,
        });
        effects.push(LeaseEffect::Acquired { epoch, owner_version });
    }

    fn on_commit_answer(
        &mut self,
        answer: std::result::Result<CommitAnswer, StoreFault>,
        effects: &mut Vec<LeaseEffect>,
    ) {
        let Some(pending) = self.pending.take() else { return };
        let until = pending.sent_at.plus_ms(self.options.lease_ms);
        match (pending.kind, answer) {
            (
                PendingKind::Acquire(epoch),
                Ok(CommitAnswer::Committed { version }),
            ) if self.owned.is_none() => {
                self.take_ownership(epoch, version, until, effects);
                if let Some(owned) = &mut self.owned {
                    owned.renewed_at = pending.sent_at;
                }
            }
            (PendingKind::Renew, Ok(CommitAnswer::Committed { .. })) => {
                if let Some(owned) = &mut self.owned {
                    owned.valid_until = owned.valid_until.max(until);
                    owned.renewed_at = pending.sent_at;
                }
            }
            // Only a later ownership moves the owner row, so a renewal or a
            // release that meets another version has lost the shard, and a
            // release that committed has given it up. A lost answer says
            // nothing; the next attempt or observation settles it.
            (
                PendingKind::Renew | PendingKind::Release,
                Ok(CommitAnswer::Conflict { .. }),
            )
            | (PendingKind::Release, Ok(CommitAnswer::Committed { .. })) => {
                self.lose_ownership(effects);
            }
            _ => {}
        }
    }

    fn lose_ownership(&mut self, effects: &mut Vec<LeaseEffect>) {
        if let Some(owned) = self.owned.take() {
            self.last_lost_version = owned.owner_version;
            self.observed = None;
            effects.push(LeaseEffect::Lost { epoch: owned.epoch });
        }
    }

    fn tick(
        &mut self,
        takeover: Option<Takeover>,
        now: TimeMs,
        effects: &mut Vec<LeaseEffect>,
    ) {
        if self.pending.is_some() {
            return;
        }
        if let Some(owned) = &self.owned {
            let due = now.ms_since(owned.renewed_at) >= self.options.renew_ms
                || owned.renewed_at == TimeMs::ZERO;
            if owned.releasing {
                let transaction = self.release_transaction();
                self.send(PendingKind::Release, transaction, now, effects);
            } else if due {
                let transaction = self.renew_transaction();
                self.send(PendingKind::Renew, transaction, now, effects);
            }
        } else if let Some(takeover) = takeover
            && self.may_take_over(takeover.extra_wait_ms, now)
        {
            let (epoch, mut transaction) = self.acquire_transaction();
            transaction.conditions.extend(takeover.fence);
            self.send(PendingKind::Acquire(epoch), transaction, now, effects);
        }
    }

    fn may_take_over(&self, extra_wait_ms: u64, now: TimeMs) -> bool {
        let Some(observed) = &self.observed else { return false };
        let held =
            observed.row.as_ref().is_some_and(|row| row.holder.is_some());
        // The owner counts its lease from before the renewal left, and we
        // count from after we saw it, so our wait covers its whole lease.
        let wait_ms = self.options.lease_ms + self.options.margin_ms;
        let wait_ms =
            if held { wait_ms + extra_wait_ms } else { extra_wait_ms };
        now.ms_since(observed.unchanged_since) >= wait_ms
    }

    fn send(
        &mut self,
        kind: PendingKind,
        transaction: Transaction,
        now: TimeMs,
        effects: &mut Vec<LeaseEffect>,
    ) {
        self.transactions_sent += 1;
        self.pending = Some(Pending { kind, sent_at: now });
        effects.push(LeaseEffect::Commit(transaction));
    }

    fn token(&self) -> String {
        format!(
            "lease/{}/{}/{}",
            self.shard, self.holder, self.transactions_sent
        )
    }

    fn acquire_transaction(&self) -> (Epoch, Transaction) {
        let observed = self.observed.as_ref();
        let epoch = observed
            .and_then(|observed| observed.row.as_ref())
            .map_or(Epoch::new(1), |row| row.epoch.next());
        let (owner_version, lease_version) =
            observed.map_or((0, 0), |w| (w.owner_version, w.lease_version));
        let row = OwnerRow { epoch, holder: Some(self.holder.clone()) };
        let transaction = Transaction::new(self.token())
            .require(owner_key(self.shard), owner_version)
            .require(lease_key(self.shard), lease_version)
            .put(owner_key(self.shard), &row)
            .put(lease_key(self.shard), &epoch);
        (epoch, transaction)
    }

    fn renew_transaction(&self) -> Transaction {
        let epoch = self.epoch().unwrap_or_default();
        Transaction::new(self.token())
            .require(
                owner_key(self.shard),
                self.owner_version().unwrap_or_default(),
            )
            .put(lease_key(self.shard), &epoch)
    }

    fn release_transaction(&self) -> Transaction {
        let row =
            OwnerRow { epoch: self.epoch().unwrap_or_default(), holder: None };
        Transaction::new(self.token())
            .require(
                owner_key(self.shard),
                self.owner_version().unwrap_or_default(),
            )
            .put(owner_key(self.shard), &row)
    }
}
