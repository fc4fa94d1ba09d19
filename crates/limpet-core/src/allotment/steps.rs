use super::{AllotmentRow, Demand, PlanOptions, allotment_key, plan};
use crate::{
    Resources, Result, Revision, ShardId, TeamName,
    ownership::owner_key,
    table::{
        CommitAnswer, Row, Settled, Settlement, SettlementStep, StoreFault,
        Transaction,
    },
};

/// What to do next for a team's allotment.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AllotmentStep {
    /// Send this transaction, after a back-off where the last call failed.
    Commit(Transaction),
    /// Read this row, after a back-off where the last call failed.
    Read(String),
    /// Nothing is under way; the shard may run this at once.
    Settled(Resources),
}

/// One team's allotment in one shard, as the shard's owner sees it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Allotment {
    team: TeamName,
    shard: ShardId,
    owner_version: u64,
    allowed: Resources,
    pending: Option<Pending>,
    proposals: u64,
    /// Rows with a lower version are older than our last change.
    min_version: u64,
}

#[derive(Clone, Debug, Eq, PartialEq)]
struct Pending {
    settlement: Settlement,
    next: Resources,
    version: u64,
}

impl Allotment {
    /// Returns the allotment under a new ownership of the shard, which
    /// allows nothing until the row is read.
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

    /// Returns what the shard may run at once. While a change is under way
    /// it is the smaller of before and after, each resource by itself.
    pub fn allowed(&self) -> Resources {
        let Some(pending) = &self.pending else { return self.allowed };
        Resources::new(
            self.allowed.cores_milli.min(pending.next.cores_milli),
            self.allowed.memory_mb.min(pending.next.memory_mb),
            self.allowed.accelerators.min(pending.next.accelerators),
        )
    }

    /// Returns whether a change is under way.
    pub fn is_pending(&self) -> bool {
        self.pending.is_some()
    }

    /// Takes a read of the row and returns the change to make, where there
    /// is one. A read from before the last change is ignored.
    ///
    /// # Errors
    ///
    /// [`crate::ErrorKind::Internal`] where the row can't be read.
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
        // An owner that has not heard of the newest limit must not grow.
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

    fn propose(&mut self, next: AllotmentRow, version: u64) -> AllotmentStep {
        self.proposals += 1;
        let key = allotment_key(&self.team);
        let token = format!(
            "allotment/{}/{}/{}/{}",
            self.team, self.shard, self.owner_version, self.proposals
        );
        // The condition on the owner row keeps a late change of an earlier
        // owner from taking away what a later one already uses.
        let transaction = Transaction::new(token)
            .require(key.clone(), version)
            .require(owner_key(self.shard), self.owner_version)
            .put(key, &next);
        let settlement = Settlement::new(transaction.clone());
        let next = next.get(self.shard);
        self.pending = Some(Pending { settlement, next, version });
        AllotmentStep::Commit(transaction)
    }

    /// Takes the answer to a commit.
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

    /// Takes the answer to a read of [`AllotmentStep::Read`].
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
            // Another shard's change came first, or followed ours and hides
            // it. The smaller amount holds until the row is read again.
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

/// Rounds what is lacked up to a power of two, so that small changes of
/// demand cost no write.
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
