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
use limpet_platform::{MemberState, Row, Transaction};
use slog::{error, info, warn};

use super::{
    ControlState, SharedState, owned_shard::Acquired, recovery,
    state::CellShard,
};
use crate::metrics::Counter;

/// The most rows of shards that one scan reads.
const SHARD_PAGE: usize = 2_000;
/// How often leases are looked at within a renewal's interval.
const LOOKS_PER_RENEWAL: u64 = 4;
/// How long a release waits for the journal, in milliseconds.
const RELEASE_WAIT_MS: u64 = 2_000;
/// How often a release looks at the journal, in milliseconds.
const RELEASE_POLL_MS: u64 = 10;

/// Reads who owns what.
pub(super) async fn observe(state: SharedState) {
    let interval_ms = state.borrow().parts.settings.control.renew_ms;
    loop {
        observe_all(&state).await;
        actix_rt::time::sleep(Duration::from_millis(interval_ms)).await;
    }
}

/// Renews what is owned and takes what nobody owns.
pub(super) async fn run(state: SharedState) {
    let renew_ms = state.borrow().parts.settings.control.renew_ms;
    let look = Duration::from_millis((renew_ms / LOOKS_PER_RENEWAL).max(5));
    loop {
        let shards = state.borrow().cell_shards();
        for cell_shard in shards {
            let takeover = state.borrow().take_over(&cell_shard);
            let event = LeaseEvent::Tick { takeover };
            handle(&state, cell_shard.shard, event);
        }
        hand_over_drained(&state);
        actix_rt::time::sleep(look).await;
    }
}

async fn observe_all(state: &SharedState) {
    let scan = Rc::clone(&state.borrow().parts.platform.table.scan);
    let rows =
        scan(shard_prefix().to_owned(), String::new(), SHARD_PAGE).await;
    let rows = match rows {
        Ok(rows) => rows,
        Err(err) => {
            let state = state.borrow();
            state.parts.metrics.add(Counter::TableFailures, 1);
            warn!(state.parts.log, "lease: leases not read"; "error" => %err);
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

/// Feeds an event to the lease of a shard and performs what it decides.
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
            error!(state.parts.log, "lease: row not understood";
                "shard" => shard.get(), "error" => %err);
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
                info!(state.parts.log, "lease: shard taken";
                    "shard" => shard.get(), "epoch" => epoch.get());
                state.now()
            };
            recovery::start(
                state,
                Acquired { shard, epoch, owner_version, acquired_at },
            );
        }
        LeaseEffect::Lost { .. } => {
            state.borrow_mut().lose_shard(shard, "the lease was lost");
        }
    }
}

async fn commit(state: SharedState, shard: ShardId, transaction: Transaction) {
    let commit = Rc::clone(&state.borrow().parts.platform.table.commit);
    let rows = transaction.writes.len() as u64;
    let answer = commit(transaction).await;
    state.borrow().note_table(&answer, rows);
    let answer = answer.map_err(|err| StoreFault::from(&err));
    handle(&state, shard, LeaseEvent::Committed(answer));
}

/// Gives up every owned shard once its journal is written.
pub(super) async fn release_all(state: &SharedState) {
    let shards: Vec<ShardId> = state.borrow().shards.keys().copied().collect();
    for shard in shards {
        release(state, shard).await;
    }
}

/// An instance that operators have drained hands over what it owns.
fn hand_over_drained(state: &SharedState) {
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

async fn release(state: &SharedState, shard: ShardId) {
    wait_until(|| {
        let state = state.borrow();
        state.shards.get(&shard).is_none_or(|o| o.journal.is_empty())
    })
    .await;
    handle(state, shard, LeaseEvent::Release);
    handle(state, shard, LeaseEvent::Tick { takeover: None });
    let given_up =
        wait_until(|| !state.borrow().shards.contains_key(&shard)).await;
    if !given_up {
        let mut state = state.borrow_mut();
        state.lose_shard(shard, "its release was not confirmed");
    }
}

/// Waits for a condition, and says whether it came true in time.
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
    /// Returns this process as other instances know it.
    pub(super) fn holder(&self) -> Holder {
        let settings = &self.parts.settings.instance;
        Holder {
            instance: settings.id.clone(),
            incarnation: self.parts.incarnation,
            link_address: settings.link_address.to_string(),
        }
    }

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

    /// Says whether this instance may act for a shard that it owns.
    ///
    /// It is asked before each effect leaves and after each answer, since
    /// the process may have been paused for longer than its lease.
    pub(super) fn may_act(&self, shard: ShardId) -> bool {
        let now = self.now();
        self.leases.get(&shard).is_some_and(|lease| lease.may_act(now))
    }

    pub(super) fn is_drained(&self) -> bool {
        self.config.drained_instances.contains(self.instance())
    }

    fn take_over(&self, cell_shard: &CellShard) -> Option<Takeover> {
        let able = !self.leaving
            && !self.is_drained()
            && self.config_version > 0
            && !self.shards.contains_key(&cell_shard.shard);
        able.then(|| Takeover {
            extra_wait_ms: self.extra_wait_ms(cell_shard),
            fence: None,
        })
    }

    /// Returns how long this instance leaves a free shard to others: a look
    /// for each one that goes first, and a renewal's interval more where the
    /// shard's workers stand in another data centre.
    ///
    /// Two that move together do no harm, since the table lets one of them
    /// win, so the list may well name some that are dead.
    fn extra_wait_ms(&self, cell_shard: &CellShard) -> u64 {
        let renew_ms = self.parts.settings.control.renew_ms;
        let local =
            self.parts.settings.instance.data_centre == cell_shard.data_centre;
        let for_others_ms =
            self.rank(cell_shard) * (renew_ms / LOOKS_PER_RENEWAL);
        if local { for_others_ms } else { for_others_ms + renew_ms }
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
