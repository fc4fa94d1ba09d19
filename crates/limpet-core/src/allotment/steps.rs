use super::{AllotmentRow, Demand, PlanOptions, allotment_key, plan};
use crate::{
    Resources, Result, Revision, ShardId, TeamName,
    ownership::owner_key,
    table::{
        CommitAnswer, Row, Settled, Settlement, SettlementStep, StoreFault,
        Transaction,
    },
};

/// An action that an [`Allotment`] asks its caller to perform.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AllotmentStep {
    /// Send this transaction, after a back-off if the last call failed, and
    /// pass the result to [`Allotment::on_commit`].
    Commit(Transaction),
    /// Read the row with this key, after a back-off if the last call failed,
    /// and pass the result to [`Allotment::on_read`].
    Read(String),
    /// No action is needed; the shard may run this much at once.
    Settled(Resources),
}

/// The state machine by which the owner of a shard reads and changes the
/// shard's allotment of one team.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Allotment {
    team: TeamName,
    shard: ShardId,
    owner_version: u64,
    /// The last known allotment.
    allowed: Resources,
    pending: Option<Pending>,
    /// The number of changes proposed, which makes their tokens unique.
    proposals: u64,
    /// Rows with a lower version were read before this owner's last change.
    min_version: u64,
}

#[derive(Clone, Debug, Eq, PartialEq)]
struct Pending {
    settlement: Settlement,
    /// The shard's allotment after the change.
    next: Resources,
    /// The version of the row before the change.
    version: u64,
}

impl Allotment {
    /// Returns the allotment for a new owner of the shard. It allows nothing
    /// until the row has been read.
    pub fn new(
        team: TeamName,
        shard: ShardId,
        owner_version: u64,
    ) -> Allotment {
        Allotment {
            team,
            shard,
            owner_version,
            allowed: Resources::ZERO,
            pending: None,
            proposals: 0,
            min_version: 0,
        }
    }

    /// Returns what the shard may run at once. While a change is in flight,
    /// this is the smaller amount of before and after for each resource.
    pub fn allowed(&self) -> Resources {
        let Some(pending) = &self.pending else { return self.allowed };
        Resources::new(
            self.allowed.cores_milli.min(pending.next.cores_milli),
            self.allowed.memory_mb.min(pending.next.memory_mb),
            self.allowed.accelerators.min(pending.next.accelerators),
        )
    }

    /// Returns whether a change is in flight.
    pub fn is_pending(&self) -> bool {
        self.pending.is_some()
    }

    /// Applies the row that was read, `None` if it is absent, and returns the
    /// transaction that changes it, if a change is due. `limit` and
    /// `revision` are the team's limit and the revision that set it; `shards`
    /// are the shards that divide the limit if the row is absent.
    ///
    /// A row from before the last change is ignored.
    ///
    /// # Errors
    ///
    /// [`crate::ErrorKind::Internal`] if the value of the row can't be
    /// parsed.
    pub fn on_row(
        &mut self,
        row: Option<&Row>,
        demand: &Demand,
        limit: &Resources,
        revision: Revision,
        shards: &[ShardId],
    ) -> Result<AllotmentStep> {
        let version = row.map_or(0, |row| row.version);
        if self.pending.is_some() || version < self.min_version {
            return Ok(AllotmentStep::Settled(self.allowed()));
        }
        let Some(row) = row else {
            let first = AllotmentRow::divide(limit, shards, revision);
            return Ok(self.propose(first, 0));
        };
        let current = row.parse::<AllotmentRow>()?;
        self.allowed = current.get(self.shard);
        let next = self.next_row(&current, demand, limit, revision);
        if next == current {
            return Ok(AllotmentStep::Settled(self.allowed));
        }
        Ok(self.propose(next, row.version))
    }

    /// Returns the row after this shard's planned change; an equal one if
    /// nothing changes.
    fn next_row(
        &self,
        current: &AllotmentRow,
        demand: &Demand,
        limit: &Resources,
        revision: Revision,
    ) -> AllotmentRow {
        let mut next = current.clone();
        let planned =
            plan(current, self.shard, demand, limit, &PlanOptions::default());
        let held = current.get(self.shard);
        let part = planned.unwrap_or(held);
        // The newest limit may be lower than the one that this owner knows,
        // so it must not increase its allotment.
        if revision < current.revision && !part.fits_in(&held) {
            return next;
        }
        next.revision = revision.max(current.revision);
        next.shards.insert(self.shard, part);
        let need = demand.running.plus(&demand.waiting);
        let shortfall = need.minus(&part);
        if shortfall.is_zero() {
            next.wanted.remove(&self.shard);
        } else {
            next.wanted.insert(self.shard, round_up(&shortfall));
        }
        next
    }

    /// Starts a transaction that replaces the row of this version by `next`.
    fn propose(&mut self, next: AllotmentRow, version: u64) -> AllotmentStep {
        self.proposals += 1;
        let key = allotment_key(&self.team);
        let token = format!(
            "allotment/{}/{}/{}/{}",
            self.team, self.shard, self.owner_version, self.proposals
        );
        // The condition on the owner row prevents a delayed change by an
        // earlier owner from removing what a later owner already uses.
        let transaction = Transaction::new(token)
            .require(key.clone(), version)
            .require(owner_key(self.shard), self.owner_version)
            .put(key, &next);
        let settlement = Settlement::new(transaction.clone());
        let next = next.get(self.shard);
        self.pending = Some(Pending { settlement, next, version });
        AllotmentStep::Commit(transaction)
    }

    /// Applies the result of an [`AllotmentStep::Commit`].
    pub fn on_commit(
        &mut self,
        answer: std::result::Result<CommitAnswer, StoreFault>,
    ) -> AllotmentStep {
        let Some(pending) = &mut self.pending else {
            return AllotmentStep::Settled(self.allowed);
        };
        let step = pending.settlement.on_commit(answer);
        self.take_step(step)
    }

    /// Applies the result of an [`AllotmentStep::Read`].
    pub fn on_read(
        &mut self,
        answer: std::result::Result<Option<Row>, StoreFault>,
    ) -> AllotmentStep {
        let Some(pending) = &mut self.pending else {
            return AllotmentStep::Settled(self.allowed);
        };
        let step = pending.settlement.on_read(answer);
        self.take_step(step)
    }

    /// Turns a step of the settlement into one for the caller, and applies
    /// the outcome once it is known.
    fn take_step(&mut self, step: SettlementStep) -> AllotmentStep {
        match step {
            SettlementStep::Resend => {
                let pending = self.pending.as_ref();
                let transaction = pending
                    .map(|p| p.settlement.transaction().clone())
                    .unwrap_or_default();
                AllotmentStep::Commit(transaction)
            }
            SettlementStep::Read(key) => AllotmentStep::Read(key),
            SettlementStep::Done(Settled::Committed { version }) => {
                if let Some(pending) = self.pending.take() {
                    self.allowed = pending.next;
                    self.min_version = version;
                }
                AllotmentStep::Settled(self.allowed)
            }
            // Another shard's change came first, or it followed this one and
            // overwrote its token. The smaller amount holds until the row is
            // read again.
            SettlementStep::Done(Settled::Conflict { .. }) => {
                self.allowed = self.allowed();
                if let Some(pending) = self.pending.take() {
                    self.min_version = pending.version + 1;
                }
                AllotmentStep::Settled(self.allowed)
            }
        }
    }
}

/// Rounds each resource up to a power of two, so that a small change of
/// demand doesn't cause a write.
fn round_up(shortfall: &Resources) -> Resources {
    let rounded = |amount: u64| {
        if amount == 0 {
            0
        } else {
            amount.checked_next_power_of_two().unwrap_or(amount)
        }
    };
    Resources::new(
        rounded(shortfall.cores_milli),
        rounded(shortfall.memory_mb),
        rounded(shortfall.accelerators),
    )
}
