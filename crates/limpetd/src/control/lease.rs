use std::{
    hash::{Hash, Hasher},
    time::Duration,
};

use limpet_core::{Epoch, InstanceId, ShardId, TimeMs};
use limpet_platform::{
    CommitAnswer, Condition, MemberState, Row, Transaction, Write,
};
use slog::{info, warn};

use super::{ControlState, SharedState, key, recovery, state::CellShard};
use crate::metrics::Counter;

/// The most lease rows that one scan reads.
const LEASE_PAGE: usize = 1_000;
/// How long a release waits for the journal, in milliseconds.
const RELEASE_WAIT_MS: u64 = 2_000;
/// How often a release looks at the journal, in milliseconds.
const RELEASE_POLL_MS: u64 = 10;

/// The row that says who owns a shard.
///
/// It bears no time: clocks of instances aren't compared. An observer deems
/// an ownership lapsed when the row hasn't changed for the lease and the
/// drift on the observer's own clock.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub(super) struct LeaseRow {
    /// The owner; `None` after a release.
    pub(super) owner: Option<InstanceId>,
    /// Which start of the owner's process it was.
    pub(super) incarnation: u64,
    /// The count of ownerships.
    pub(super) epoch: Epoch,
    /// Where the owner's link is.
    pub(super) link_address: String,
}

/// A lease row as this instance last saw it.
#[derive(Clone, Debug)]
pub(super) struct LeaseView {
    pub(super) row: LeaseRow,
    pub(super) version: u64,
    /// When this version was first seen.
    pub(super) seen_at: TimeMs,
}

/// Renews what is owned and takes what nobody owns.
pub(super) async fn run(state: SharedState) {
    let renew_ms = state.borrow().parts.settings.control.renew_ms;
    loop {
        renew_all(&state).await;
        observe(&state).await;
        acquire_free(&state).await;
        actix_rt::time::sleep(Duration::from_millis(renew_ms)).await;
    }
}

async fn renew_all(state: &SharedState) {
    let shards: Vec<ShardId> = state.borrow().shards.keys().copied().collect();
    for shard in shards {
        renew(state, shard).await;
    }
}

async fn renew(state: &SharedState, shard: ShardId) {
    let Some((commit, transaction, sent_at)) = ({
        let mut state = state.borrow_mut();
        let commit = std::rc::Rc::clone(&state.parts.platform.table.commit);
        state
            .renewal(shard, true)
            .map(|transaction| (commit, transaction, state.now()))
    }) else {
        return;
    };
    let answer = commit(transaction.clone()).await;
    let mut state = state.borrow_mut();
    match answer {
        Ok(CommitAnswer::Committed { version }) => {
            state.parts.metrics.add(Counter::RowsWritten, 1);
            state.extend_lease(shard, version, sent_at);
        }
        // The row is settled by the next scan: either an earlier renewal of
        // ours took effect unseen, or somebody else owns the shard.
        Ok(CommitAnswer::Conflict { .. }) => {}
        Err(err) => {
            state.parts.metrics.add(Counter::TableFailures, 1);
            warn!(state.parts.log, "lease: renewal not confirmed";
                "shard" => shard.get(), "error" => %err);
        }
    }
}

async fn observe(state: &SharedState) {
    let scan = std::rc::Rc::clone(&state.borrow().parts.platform.table.scan);
    let rows =
        scan(key::LEASE_PREFIX.to_owned(), String::new(), LEASE_PAGE).await;
    let mut state = state.borrow_mut();
    match rows {
        Ok(rows) => {
            state.parts.metrics.add(Counter::RowsRead, rows.len() as u64);
            for row in &rows {
                state.observe_lease(row);
            }
        }
        Err(err) => {
            state.parts.metrics.add(Counter::TableFailures, 1);
            warn!(state.parts.log, "lease: leases not read"; "error" => %err);
        }
    }
}

async fn acquire_free(state: &SharedState) {
    let free: Vec<CellShard> = {
        let state = state.borrow();
        let cell_shards = state.cell_shards();
        cell_shards
            .into_iter()
            .filter(|cell_shard| state.may_acquire(cell_shard))
            .collect()
    };
    for cell_shard in free {
        acquire(state, cell_shard.shard).await;
    }
}

async fn acquire(state: &SharedState, shard: ShardId) {
    let (table, sent_at) = {
        let state = state.borrow();
        (state.parts.platform.table.clone(), state.now())
    };
    let Ok(epoch_row) = (table.read)(key::epoch(shard)).await else {
        return;
    };
    let epoch_version = epoch_row.map_or(0, |row| row.version);
    let (transaction, epoch) =
        state.borrow_mut().acquisition(shard, epoch_version);
    let version = match (table.commit)(transaction.clone()).await {
        Ok(CommitAnswer::Committed { version }) => version,
        Ok(CommitAnswer::Conflict { .. }) => return,
        // Where the write took effect all the same, nobody acts under the
        // new epoch, and the row lapses like that of a dead owner.
        Err(_) => return,
    };
    let valid_until = {
        let mut state = state.borrow_mut();
        state.parts.metrics.add(Counter::RowsWritten, 2);
        state.parts.metrics.add(Counter::ShardsTaken, 1);
        let lease_ms = state.parts.settings.control.lease_ms;
        info!(state.parts.log, "lease: shard taken";
            "shard" => shard.get(), "epoch" => epoch.get());
        state.note_own_lease(shard, epoch, version);
        sent_at.plus_ms(lease_ms)
    };
    recovery::start(
        state,
        recovery::Acquired { shard, epoch, version, valid_until },
    );
}

/// Gives up every owned shard once its journal is written.
pub(super) async fn release_all(state: &SharedState) {
    let shards: Vec<ShardId> = state.borrow().shards.keys().copied().collect();
    for shard in shards {
        wait_for_journal(state, shard).await;
        let (commit, transaction) = {
            let mut state = state.borrow_mut();
            let commit =
                std::rc::Rc::clone(&state.parts.platform.table.commit);
            (commit, state.renewal(shard, false))
        };
        state.borrow_mut().lose_shard(shard, "it was released");
        if let Some(transaction) = transaction
            && let Err(err) = commit(transaction).await
        {
            let state = state.borrow();
            warn!(state.parts.log, "lease: release not confirmed";
                "shard" => shard.get(), "error" => %err);
        }
    }
}

async fn wait_for_journal(state: &SharedState, shard: ShardId) {
    let mut waited_ms = 0;
    while waited_ms < RELEASE_WAIT_MS {
        let empty = state
            .borrow()
            .shards
            .get(&shard)
            .is_none_or(|owned| owned.pending.is_empty());
        if empty {
            return;
        }
        actix_rt::time::sleep(Duration::from_millis(RELEASE_POLL_MS)).await;
        waited_ms += RELEASE_POLL_MS;
    }
}

impl ControlState {
    /// Returns the transaction that renews an ownership, or gives it up.
    fn renewal(&mut self, shard: ShardId, keep: bool) -> Option<Transaction> {
        let token = self.draw_token();
        let owned = self.shards.get(&shard)?;
        let row = LeaseRow {
            owner: keep.then(|| self.instance().clone()),
            ..self.own_row(owned.epoch)
        };
        Some(Transaction {
            token,
            conditions: vec![Condition {
                key: key::lease(shard),
                version: owned.lease_version,
            }],
            writes: vec![Write {
                key: key::lease(shard),
                value: serde_json::to_string(&row).ok(),
            }],
        })
    }

    fn own_row(&self, epoch: Epoch) -> LeaseRow {
        LeaseRow {
            owner: Some(self.instance().clone()),
            incarnation: self.parts.incarnation,
            epoch,
            link_address: self
                .parts
                .settings
                .instance
                .link_address
                .to_string(),
        }
    }

    /// Returns the transaction that takes a shard, and the new epoch.
    fn acquisition(
        &mut self,
        shard: ShardId,
        epoch_version: u64,
    ) -> (Transaction, Epoch) {
        let token = self.draw_token();
        let seen = self.leases.get(&shard);
        let version = seen.map_or(0, |seen| seen.version);
        let epoch = seen.map_or(Epoch::new(0), |seen| seen.row.epoch).next();
        let row = self.own_row(epoch);
        let value = serde_json::to_string(&row).ok();
        let transaction = Transaction {
            token,
            conditions: vec![
                Condition { key: key::lease(shard), version },
                Condition { key: key::epoch(shard), version: epoch_version },
            ],
            writes: vec![
                Write { key: key::lease(shard), value },
                Write {
                    key: key::epoch(shard),
                    value: Some(epoch.to_string()),
                },
            ],
        };
        (transaction, epoch)
    }

    fn note_own_lease(&mut self, shard: ShardId, epoch: Epoch, version: u64) {
        let row = self.own_row(epoch);
        let seen_at = self.now();
        self.leases.insert(shard, LeaseView { row, version, seen_at });
    }

    fn extend_lease(&mut self, shard: ShardId, version: u64, sent_at: TimeMs) {
        let lease_ms = self.parts.settings.control.lease_ms;
        if let Some(owned) = self.shards.get_mut(&shard) {
            owned.lease_version = version;
            owned.valid_until = sent_at.plus_ms(lease_ms);
        }
    }

    fn observe_lease(&mut self, row: &Row) {
        let number = row.key.trim_start_matches(key::LEASE_PREFIX);
        let (Ok(shard), Ok(lease)) =
            (number.parse(), serde_json::from_str::<LeaseRow>(&row.value))
        else {
            warn!(self.parts.log, "lease: row not understood";
                "key" => &row.key);
            return;
        };
        self.check_ownership(shard, &lease, row.version);
        let now = self.now();
        match self.leases.get(&shard) {
            Some(seen) if seen.version >= row.version => {}
            _ => {
                let view = LeaseView {
                    row: lease,
                    version: row.version,
                    seen_at: now,
                };
                self.leases.insert(shard, view);
            }
        }
    }

    /// Learns from a lease row whether an owned shard is still owned.
    fn check_ownership(
        &mut self,
        shard: ShardId,
        lease: &LeaseRow,
        version: u64,
    ) {
        let incarnation = self.parts.incarnation;
        let Some(owned) = self.shards.get_mut(&shard) else { return };
        if lease.epoch > owned.epoch {
            self.lose_shard(shard, "another instance took it");
        } else if lease.incarnation == incarnation
            && version > owned.lease_version
        {
            // A renewal took effect whose answer was lost. Its time isn't
            // known any more, so it extends nothing; the next one will.
            owned.lease_version = version;
        }
    }

    fn may_acquire(&self, cell_shard: &CellShard) -> bool {
        let drained = self.config.drained_instances.contains(self.instance());
        if self.leaving
            || drained
            || self.config_version == 0
            || self.shards.contains_key(&cell_shard.shard)
        {
            return false;
        }
        let control = &self.parts.settings.control;
        let now = self.now();
        let rank_ms = self.rank(cell_shard) * control.renew_ms;
        match self.leases.get(&cell_shard.shard) {
            // Without a row only the first in rank moves, and the others
            // once they have seen the list long enough.
            None => now.as_ms() >= rank_ms,
            Some(seen) => {
                let unchanged_ms = now.ms_since(seen.seen_at);
                let lapse_ms = if seen.row.owner.is_none() {
                    0
                } else {
                    control.lease_ms + control.drift_ms
                };
                unchanged_ms >= lapse_ms + rank_ms
            }
        }
    }

    /// Returns this instance's place in the order in which the live
    /// instances try to take a shard: those of its data centre first, and
    /// otherwise a different order for each shard.
    fn rank(&self, cell_shard: &CellShard) -> u64 {
        let place = |instance: &InstanceId, local: bool| {
            let mut hasher = std::hash::DefaultHasher::new();
            (cell_shard.shard, instance.as_str()).hash(&mut hasher);
            (!local, hasher.finish())
        };
        let settings = &self.parts.settings.instance;
        let own = place(
            &settings.id,
            settings.data_centre == cell_shard.data_centre,
        );
        self.listing
            .instances
            .iter()
            .filter(|entry| {
                entry.state == MemberState::Live
                    && entry.instance != settings.id
            })
            .filter(|entry| {
                let local = entry.data_centre == cell_shard.data_centre;
                place(&entry.instance, local) < own
            })
            .count() as u64
    }
}
