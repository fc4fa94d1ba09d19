//! Observes, renews, takes over and releases the leases of shards.

use std::{
    collections::BTreeMap,
    hash::{Hash, Hasher},
    rc::Rc,
    time::Duration,
};

use limpet_core::{
    InstanceId, ShardId,
    ownership::{
        Holder, LeaseEffect, LeaseEvent, LeaseOptions, ShardLease, Takeover,
        lease_key, owner_key, shard_prefix,
    },
    table::StoreFault,
};
use limpet_platform::{MemberState, PortError, Row, Transaction};
use slog::{error, info, warn};

use super::{
    ControlState, SharedState, owned_shard::Ownership, recovery,
    state::CellShard,
};
use crate::metrics::Counter;

/// The most lease and owner rows that one scan reads.
const SHARD_PAGE_ROWS: usize = 2_000;
/// How many times per renewal interval each lease is checked.
const CHECKS_PER_RENEWAL: u64 = 4;
/// The longest that a release waits for the journal to be written, and then
/// for the release to be confirmed, in milliseconds.
const RELEASE_WAIT_MS: u64 = 2_000;
/// The polling interval of a release, in milliseconds.
const RELEASE_POLL_MS: u64 = 10;

/// Reads the owners and leases of all shards at each renewal interval.
pub(super) async fn observe(state: SharedState) {
    let interval_ms = state.borrow().parts.settings.control.renew_ms;
    loop {
        observe_all(&state).await;
        actix_rt::time::sleep(Duration::from_millis(interval_ms)).await;
    }
}

/// Renews the leases of the owned shards and takes over shards without an
/// owner.
///
/// A drained instance releases its shards instead.
pub(super) async fn run(state: SharedState) {
    let renew_ms = state.borrow().parts.settings.control.renew_ms;
    let interval =
        Duration::from_millis((renew_ms / CHECKS_PER_RENEWAL).max(5));
    loop {
        let shards = state.borrow().cell_shards();
        for cell_shard in shards {
            let takeover = state.borrow().plan_takeover(&cell_shard);
            let event = LeaseEvent::Tick { takeover };
            handle(&state, cell_shard.shard, event);
        }
        release_if_drained(&state);
        actix_rt::time::sleep(interval).await;
    }
}

/// Reads the owner and lease rows of all shards in one scan and passes them to
/// the shards' leases.
async fn observe_all(state: &SharedState) {
    let (scan, lease_ms) = {
        let state = state.borrow();
        let scan = Rc::clone(&state.parts.platform.table.scan);
        (scan, state.parts.settings.control.lease_ms)
    };
    let rows = scan(shard_prefix().to_owned(), String::new(), SHARD_PAGE_ROWS);
    // Rows that arrive later say nothing about the leases.
    let limit = Duration::from_millis(lease_ms);
    let rows = actix_rt::time::timeout(limit, rows).await;
    let late = |_| PortError::Unknown(format!("took over {lease_ms} ms"));
    let rows = match rows.map_err(late).and_then(|rows| rows) {
        Ok(rows) => rows,
        Err(err) => {
            let state = state.borrow();
            state.parts.metrics.add(Counter::TableFailures, 1);
            warn!(
                state.parts.log,
                "lease: reading the lease rows failed; retrying";
                "error" => %err
            );
            return;
        }
    };
    let read = rows.len() as u64;
    state.borrow().parts.metrics.add(Counter::RowsRead, read);
    let mut rows: BTreeMap<String, Row> =
        rows.into_iter().map(|row| (row.key.clone(), row)).collect();
    let shards = state.borrow().cell_shards();
    for CellShard { shard, .. } in shards {
        let owner = rows.remove(&owner_key(shard));
        let lease = rows.remove(&lease_key(shard));
        handle(state, shard, LeaseEvent::Observed { owner, lease });
    }
}

/// Passes an event to the lease of a shard and carries out its effects.
pub(super) fn handle(state: &SharedState, shard: ShardId, event: LeaseEvent) {
    let handled = {
        let mut state = state.borrow_mut();
        let now = state.now();
        state.lease_mut(shard).handle(event, now)
    };
    match handled {
        Ok(effects) => {
            for effect in effects {
                perform(state, shard, effect);
            }
        }
        Err(err) => {
            let state = state.borrow();
            error!(
                state.parts.log,
                "lease: the shard's rows can't be decoded; ignoring them";
                "shard" => shard.get(), "error" => %err
            );
        }
    }
}

fn perform(state: &SharedState, shard: ShardId, effect: LeaseEffect) {
    match effect {
        LeaseEffect::Commit(transaction) => {
            actix_rt::spawn(commit(Rc::clone(state), shard, transaction));
        }
        LeaseEffect::Acquired { epoch, owner_version } => {
            let acquired_at = {
                let state = state.borrow();
                state.parts.metrics.add(Counter::ShardsTaken, 1);
                info!(
                    state.parts.log,
                    "lease: took over a shard; reading its records";
                    "shard" => shard.get(), "epoch" => epoch.get()
                );
                state.now()
            };
            recovery::start(
                state,
                Ownership { shard, epoch, owner_version, acquired_at },
            );
        }
        LeaseEffect::Lost { .. } => {
            state
                .borrow_mut()
                .lose_shard(shard, "the lease was released or lost");
        }
    }
}

/// Commits a transaction on a shard's rows and passes the answer to the
/// shard's lease.
async fn commit(state: SharedState, shard: ShardId, transaction: Transaction) {
    let commit = Rc::clone(&state.borrow().parts.platform.table.commit);
    let rows = transaction.writes.len() as u64;
    let answer = commit(transaction).await;
    state.borrow().count_table_call(&answer, rows);
    let answer = answer.map_err(|err| StoreFault::from(&err));
    handle(&state, shard, LeaseEvent::Committed(answer));
}

/// Releases every owned shard, each once its journal is written.
pub(super) async fn release_all(state: &SharedState) {
    let shards: Vec<ShardId> = state.borrow().shards.keys().copied().collect();
    for shard in shards {
        release(state, shard).await;
    }
}

/// Starts to release every owned shard if operators have drained this
/// instance.
fn release_if_drained(state: &SharedState) {
    let shards: Vec<ShardId> = {
        let state = state.borrow();
        if !state.is_drained() {
            return;
        }
        state.shards.keys().copied().collect()
    };
    for shard in shards {
        let state = Rc::clone(state);
        actix_rt::spawn(async move { release(&state, shard).await });
    }
}

/// Releases a shard. Waits a bounded time for its journal to be written
/// first, and drops the shard even if the release isn't confirmed in time.
async fn release(state: &SharedState, shard: ShardId) {
    wait_until(|| {
        let state = state.borrow();
        state.shards.get(&shard).is_none_or(|o| o.journal.is_empty())
    })
    .await;
    handle(state, shard, LeaseEvent::Release);
    handle(state, shard, LeaseEvent::Tick { takeover: None });
    let released =
        wait_until(|| !state.borrow().shards.contains_key(&shard)).await;
    if !released {
        let mut state = state.borrow_mut();
        state.lose_shard(shard, "its release was not confirmed");
    }
}

/// Waits until a condition holds, for [`RELEASE_WAIT_MS`] at most, and
/// returns whether it does.
async fn wait_until(is_true: impl Fn() -> bool) -> bool {
    let mut waited_ms = 0;
    while !is_true() {
        if waited_ms >= RELEASE_WAIT_MS {
            return false;
        }
        actix_rt::time::sleep(Duration::from_millis(RELEASE_POLL_MS)).await;
        waited_ms += RELEASE_POLL_MS;
    }
    true
}

impl ControlState {
    /// Returns this start of the instance as it is named in owner rows.
    pub(super) fn holder(&self) -> Holder {
        let settings = &self.parts.settings.instance;
        Holder {
            instance: settings.id.clone(),
            incarnation: self.parts.incarnation,
            link_address: settings.link_address.to_string(),
        }
    }

    /// Returns the lease of a shard, created when it is first used.
    pub(super) fn lease_mut(&mut self, shard: ShardId) -> &mut ShardLease {
        let holder = self.holder();
        let control = &self.parts.settings.control;
        let options = LeaseOptions::new()
            .lease_ms(control.lease_ms)
            .margin_ms(control.drift_ms)
            .renew_ms(control.renew_ms);
        self.leases
            .entry(shard)
            .or_insert_with(|| ShardLease::new(shard, holder, options))
    }

    /// Returns whether this instance's lease of a shard is certainly valid.
    ///
    /// Check it before each effect is sent and after each answer, since the
    /// process may have been paused for longer than its lease.
    pub(super) fn may_act(&self, shard: ShardId) -> bool {
        let now = self.now();
        self.leases.get(&shard).is_some_and(|lease| lease.may_act(now))
    }

    /// Returns whether operators have drained this instance.
    pub(super) fn is_drained(&self) -> bool {
        self.config.drained_instances.contains(self.instance())
    }

    /// Returns how to take over a shard, or `None` if this instance must not
    /// take it over: while it is leaving or drained, before it has read a
    /// configuration, and for a shard that it owns already.
    fn plan_takeover(&self, cell_shard: &CellShard) -> Option<Takeover> {
        let able = !self.leaving
            && !self.is_drained()
            && self.config_version > 0
            && !self.shards.contains_key(&cell_shard.shard);
        able.then(|| Takeover {
            extra_wait_ms: self.extra_wait_ms(cell_shard),
            fence: None,
        })
    }

    /// Returns how long this instance waits before it takes over a free
    /// shard, in milliseconds: one check interval for each instance that goes
    /// first, and another renewal interval if the shard's workers are in
    /// another data centre.
    ///
    /// The delay only avoids needless conflicts. Two instances that try at
    /// once do no harm, since the table lets one of them win; so it doesn't
    /// matter if the list still names dead instances.
    fn extra_wait_ms(&self, cell_shard: &CellShard) -> u64 {
        let renew_ms = self.parts.settings.control.renew_ms;
        let local =
            self.parts.settings.instance.data_centre == cell_shard.data_centre;
        let for_others_ms =
            self.rank(cell_shard) * (renew_ms / CHECKS_PER_RENEWAL);
        if local { for_others_ms } else { for_others_ms + renew_ms }
    }

    /// Returns this instance's position, from 0, in the order in which the
    /// live instances try to take over a shard: those of its data centre
    /// first, and otherwise a different order for each shard.
    fn rank(&self, cell_shard: &CellShard) -> u64 {
        let order_key = |instance: &InstanceId, local: bool| {
            let mut hasher = std::hash::DefaultHasher::new();
            (cell_shard.shard, instance.as_str()).hash(&mut hasher);
            (!local, hasher.finish())
        };
        let settings = &self.parts.settings.instance;
        let own = order_key(
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
                order_key(&entry.instance, local) < own
            })
            .count() as u64
    }
}
