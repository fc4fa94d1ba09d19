use super::{Holder, LeaseOptions, OwnerRow, lease_key, owner_key};
use crate::{
    Epoch, Result, ShardId, TimeMs,
    table::{CommitAnswer, Condition, Row, StoreFault, Transaction},
};

/// An input of [`ShardLease::handle`].
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum LeaseEvent {
    /// Both rows were read, in one scan of the shard's prefix.
    Observed {
        /// The owner row, or `None` if the shard never had an owner.
        owner: Option<Row>,
        /// The lease row, or `None` if the shard never had an owner.
        lease: Option<Row>,
    },
    /// The call for the last [`LeaseEffect::Commit`] returned.
    Committed(std::result::Result<CommitAnswer, StoreFault>),
    /// Every instance that could take the shard over has granted not to do
    /// so before a certain time.
    PeersGranted {
        /// The epoch for which the grants were requested.
        epoch: Epoch,
        /// The earliest end of the grants, on this instance's clock.
        until: TimeMs,
    },
    /// A timer fired; renewals and takeovers that are due are sent.
    Tick {
        /// How this instance takes the shard over once its lease has
        /// expired; `None` if it must not.
        takeover: Option<Takeover>,
    },
    /// Another instance owns the shard under a later epoch.
    Superseded {
        /// The later epoch.
        epoch: Epoch,
    },
    /// The shard is to be released. The owner has stopped acting on it.
    Release,
}

/// The conditions under which an instance takes a shard over.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Takeover {
    /// How long the instance waits beyond the lease and its margin. It is
    /// shorter for instances closer to the shard, so that they are first.
    pub extra_wait_ms: u64,
    /// A condition of the takeover on a row that shows that this instance
    /// hasn't been fenced, if there is such a row.
    pub fence: Option<Condition>,
}

/// An action that [`ShardLease::handle`] asks its caller to perform.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum LeaseEffect {
    /// Send a transaction and pass the result to [`LeaseEvent::Committed`].
    /// There is never more than one in flight.
    Commit(Transaction),
    /// This instance owns the shard and has to recover its state.
    Acquired {
        /// The epoch of the new ownership.
        epoch: Epoch,
        /// The version of the owner row, on which writes are conditioned.
        owner_version: u64,
    },
    /// This instance no longer owns the shard and has to drop its state.
    Lost {
        /// The epoch of the ownership that ended.
        epoch: Epoch,
    },
}

/// The state machine of one shard's lease, in one instance.
///
/// It performs no input or output itself: the caller feeds events to
/// [`ShardLease::handle`] and performs the effects that it returns.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct ShardLease {
    shard: ShardId,
    holder: Holder,
    options: LeaseOptions,
    /// The number of transactions sent, which makes their tokens unique.
    transactions_sent: u64,
    observed: Option<ObservedRows>,
    owned: Option<Owned>,
    pending: Option<Pending>,
    /// The version of the owner row under the ownership that was lost last;
    /// 0 if none was. Rows of this version or an older one are ignored.
    last_lost_version: u64,
}

/// The rows as last read, and since when they haven't changed.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct ObservedRows {
    row: Option<OwnerRow>,
    owner_version: u64,
    lease_version: u64,
    unchanged_since: TimeMs,
}

/// This instance's ownership of the shard.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Owned {
    epoch: Epoch,
    owner_version: u64,
    /// The end of the lease, or of the peers' grants if that is later.
    valid_until: TimeMs,
    /// When the last successful renewal, or the acquisition, was sent; zero if
    /// a renewal is due at once.
    renewed_at: TimeMs,
    releasing: bool,
}

/// The transaction in flight.
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

    /// Returns whether this instance may act as the owner now.
    ///
    /// The owner checks this before each effect and again after each answer.
    /// A process that was paused in between finds by its own clock that its
    /// lease has expired, and doesn't act on outdated state.
    pub fn may_act(&self, now: TimeMs) -> bool {
        self.owned
            .as_ref()
            .is_some_and(|owned| !owned.releasing && now < owned.valid_until)
    }

    /// Returns the epoch of this instance's ownership. An ownership whose
    /// lease has expired counts until a takeover by another instance is
    /// known.
    pub fn epoch(&self) -> Option<Epoch> {
        self.owned.as_ref().map(|owned| owned.epoch)
    }

    /// Returns the version of the owner row on which this instance's writes
    /// as the owner are conditioned; `None` if it isn't the owner.
    pub fn owner_version(&self) -> Option<u64> {
        self.owned.as_ref().map(|owned| owned.owner_version)
    }

    /// Returns the end of the lease; `None` if this instance isn't the
    /// owner.
    pub fn valid_until(&self) -> Option<TimeMs> {
        self.owned.as_ref().map(|owned| owned.valid_until)
    }

    /// Returns the last known owner of the shard.
    pub fn current_holder(&self) -> Option<&Holder> {
        if self.owned.is_some() {
            return Some(&self.holder);
        }
        self.observed.as_ref()?.row.as_ref()?.holder.as_ref()
    }

    /// Applies an event and returns the actions that follow from it, in
    /// order.
    ///
    /// # Errors
    ///
    /// [`crate::ErrorKind::Internal`] if the value of a row can't be parsed.
    /// The state is then unchanged.
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

    /// Records the rows that were read, unless they are older than the known
    /// ones, and applies a change of the owner.
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

    /// Returns whether rows that were read are older than the known ones,
    /// because the answer to the read was delayed.
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

    /// Compares the owner row with this instance's own view of the
    /// ownership.
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
            // An acquisition took effect although its answer was lost. The
            // lease becomes valid with the first renewal.
            (None, Some(row)) => {
                let (epoch, version) = (row.epoch, observed.owner_version);
                self.take_ownership(epoch, version, TimeMs::ZERO, effects);
            }
            _ => {}
        }
    }

    /// Records that this instance owns the shard.
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

    /// Applies the answer to the transaction in flight. Leases count from
    /// when the transaction was sent.
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
            // Only a later ownership changes the owner row, so a renewal or
            // a release with a conflict means that the shard was taken over,
            // and a committed release ends the ownership. After a lost
            // answer, the next attempt or read of the rows decides.
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

    /// Ends this instance's ownership. A later takeover has to read the rows
    /// first.
    fn lose_ownership(&mut self, effects: &mut Vec<LeaseEffect>) {
        if let Some(owned) = self.owned.take() {
            self.last_lost_version = owned.owner_version;
            self.observed = None;
            effects.push(LeaseEffect::Lost { epoch: owned.epoch });
        }
    }

    /// Sends the release, the renewal or the takeover that is due, unless a
    /// transaction is in flight.
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

    /// Returns whether the rows have been unchanged long enough for any lease
    /// of the owner to have expired. A shard without an owner may be taken
    /// over after `extra_wait_ms`.
    fn may_take_over(&self, extra_wait_ms: u64, now: TimeMs) -> bool {
        let Some(observed) = &self.observed else { return false };
        let held =
            observed.row.as_ref().is_some_and(|row| row.holder.is_some());
        // The owner counts its lease from before it sent the renewal, and a
        // candidate counts from after it read the renewed row. The wait thus
        // covers the owner's whole lease.
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

    /// Returns the next epoch and the transaction that acquires the shard
    /// under it, on condition that neither row has changed since it was read.
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
