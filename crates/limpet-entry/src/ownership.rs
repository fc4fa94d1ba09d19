//! Who owns the cell: renewed, watched, taken over, given up.
//!
//! The owner's lease decides only how soon another instance takes over. That
//! two owners do no harm rests on the store: each write of an owner depends
//! on the head row of its part, which a takeover replaces, and no start is
//! sent before its claim was written.

use std::{rc::Rc, time::Duration};

use limpet_adapter::{
    Row, RowExpectation, RowWrite, StoreError, Transaction, TransactionOutcome,
};
use limpet_core::TimeMs;
use slog::{info, warn};

use crate::{
    clock,
    metrics::Metrics,
    node::Node,
    owner::Owner,
    rows::{OWNER_KEY, OWNER_TABLE, OwnerRecord, decode, encode, owner_row},
};

/// How often the owner renews. Three fit into a lease.
const RENEW_MS: u64 = 400;
/// After this time without a renewal, while the store answers, another
/// instance takes over.
const LEASE_MS: u64 = 1_500;
/// How long one call of the feed waits.
const FEED_WAIT_MS: u64 = 500;
/// How long a call may take.
const CALL_TIMEOUT_MS: u64 = 700;
/// The pause after a failure.
const RETRY_MS: u64 = 100;
/// Takeovers wait a random part of this, so that few collide.
const JITTER_MS: u64 = 60;

/// The owner row as an instance has followed it.
struct Watch {
    record: OwnerRecord,
    row_version: u64,
    feed_version: u64,
    /// Since when the row has stood unchanged while the store answered.
    unchanged_since: TimeMs,
}

/// Takes part in the ownership of the cell, for good.
pub async fn take_part(node: Rc<Node>) {
    let mut watch = None;
    loop {
        let result = match &mut watch {
            None => read_owner(&node).await.map(|read| watch = Some(read)),
            Some(watch) => follow_owner(&node, watch).await,
        };
        if let Err(err) = result {
            // A gap in what was seen proves nothing about the owner.
            if err == StoreError::HistoryLost {
                watch = None;
            } else if let Some(watch) = &mut watch {
                watch.unchanged_since = clock::now();
            }
            actix_rt::time::sleep(Duration::from_millis(RETRY_MS)).await;
            continue;
        }
        let Some(seen) = &mut watch else { continue };
        publish(&node, seen);
        if node.stopping.get() || !may_take_over(&node, seen) {
            continue;
        }
        if let Some((term, version)) = take_over(&node, seen).await {
            own(&node, term, version).await;
            watch = None;
        }
    }
}

async fn read_owner(node: &Node) -> Result<Watch, StoreError> {
    let to = format!("{OWNER_KEY}\u{1}");
    let page = node
        .store
        .read(OWNER_TABLE, "", OWNER_KEY, &to, CALL_TIMEOUT_MS)
        .await?;
    let mut watch = Watch {
        record: OwnerRecord { released: true, ..OwnerRecord::default() },
        row_version: 0,
        feed_version: page.version,
        unchanged_since: clock::now(),
    };
    for row in &page.rows {
        watch.see(row);
    }
    Ok(watch)
}

async fn follow_owner(
    node: &Node,
    watch: &mut Watch,
) -> Result<(), StoreError> {
    let feed =
        node.store.feed(OWNER_TABLE, watch.feed_version, FEED_WAIT_MS).await?;
    for row in &feed.rows {
        watch.see(row);
    }
    watch.feed_version = feed.version.max(watch.feed_version);
    Ok(())
}

impl Watch {
    fn see(&mut self, row: &Row) {
        if row.name != owner_row() || row.version <= self.row_version {
            return;
        }
        self.row_version = row.version;
        self.unchanged_since = clock::now();
        if let Some(record) = row.value.as_deref().and_then(decode) {
            self.record = record;
        }
    }
}

fn publish(node: &Node, watch: &Watch) {
    let mut record = node.owner_record.borrow_mut();
    if *record != watch.record {
        info!(node.log, "owner: seen"; "term" => watch.record.term,
            "holder" => &watch.record.holder,
            "released" => watch.record.released,
            "store_version" => watch.row_version);
        *record = watch.record.clone();
    }
}

/// Says whether the owner is certainly gone, or was silent for a lease.
fn may_take_over(node: &Node, watch: &Watch) -> bool {
    let record = &watch.record;
    let ours = record.holder == node.settings.instance.name
        && record.incarnation != node.incarnation;
    record.released
        || ours
        || clock::now().ms_since(watch.unchanged_since) >= LEASE_MS
}

/// Writes this instance as the owner; returns its term and the row's
/// version.
async fn take_over(node: &Node, watch: &mut Watch) -> Option<(u64, u64)> {
    let jitter_ms = rand::random_range(0..JITTER_MS);
    actix_rt::time::sleep(Duration::from_millis(jitter_ms)).await;
    let record = OwnerRecord {
        term: watch.record.term + 1,
        holder: node.settings.instance.name.clone(),
        incarnation: node.incarnation,
        link_address: node.settings.instance.link_address.clone(),
        released: false,
    };
    let transaction = owner_write(&record, watch.row_version);
    match node.store.transact(&transaction, CALL_TIMEOUT_MS).await {
        Ok(TransactionOutcome::Applied(version)) => {
            info!(node.log, "owner: taken"; "term" => record.term,
                "before" => &watch.record.holder,
                "released" => watch.record.released);
            Metrics::count(&node.metrics.takeovers);
            *node.owner_record.borrow_mut() = record.clone();
            Some((record.term, version))
        }
        Ok(TransactionOutcome::Conflict(rows)) => {
            for row in &rows {
                watch.see(row);
            }
            // A write of ours whose answer was lost.
            (watch.record == record).then(|| {
                *node.owner_record.borrow_mut() = record.clone();
                (record.term, watch.row_version)
            })
        }
        Err(err) => {
            warn!(node.log, "owner: not taken"; "term" => record.term,
                "reason" => %err);
            None
        }
    }
}

fn owner_write(record: &OwnerRecord, version: u64) -> Transaction {
    Transaction {
        expect: vec![RowExpectation { name: owner_row(), version }],
        writes: vec![RowWrite { name: owner_row(), value: encode(record) }],
        removes: Vec::new(),
    }
}

/// Owns the cell until another instance does, or the process ends.
async fn own(node: &Rc<Node>, term: u64, mut version: u64) {
    let owner = Owner::new(node, term);
    *node.owner.borrow_mut() = Some(Rc::clone(&owner));
    actix_rt::spawn(Rc::clone(&owner).run());
    let record = node.owner_record.borrow().clone();
    while owner.is_alive() {
        actix_rt::time::timeout(
            Duration::from_millis(RENEW_MS),
            owner.wait_for_end(),
        )
        .await
        .ok();
        if node.stopping.get() {
            give_up(node, &owner, &record, version).await;
            break;
        }
        match renew(node, &record, version).await {
            Renewal::Done(newer) => {
                version = newer;
                owner.confirm(clock::now());
            }
            Renewal::Failed(err) => {
                warn!(node.log, "owner: not renewed"; "term" => term,
                    "reason" => %err);
            }
            Renewal::Lost(holder) => {
                warn!(node.log, "owner: lost"; "term" => term,
                    "holder" => holder);
                break;
            }
        }
    }
    owner.end();
    *node.owner.borrow_mut() = None;
}

enum Renewal {
    Done(u64),
    Failed(StoreError),
    Lost(String),
}

async fn renew(node: &Node, record: &OwnerRecord, version: u64) -> Renewal {
    let transaction = owner_write(record, version);
    match node.store.transact(&transaction, CALL_TIMEOUT_MS).await {
        Ok(TransactionOutcome::Applied(newer)) => Renewal::Done(newer),
        Ok(TransactionOutcome::Conflict(rows)) => {
            let row = rows.iter().find(|row| row.name == owner_row());
            let found: Option<OwnerRecord> =
                row.and_then(|row| row.value.as_deref()).and_then(decode);
            match (row, found) {
                // An earlier renewal was done after all.
                (Some(row), Some(found)) if found == *record => {
                    Renewal::Done(row.version)
                }
                (_, found) => Renewal::Lost(found.unwrap_or_default().holder),
            }
        }
        Err(err) => Renewal::Failed(err),
    }
}

/// Lets another instance take over at once.
async fn give_up(
    node: &Node,
    owner: &Owner,
    record: &OwnerRecord,
    version: u64,
) {
    owner.settle().await;
    owner.end();
    let released = OwnerRecord { released: true, ..record.clone() };
    let transaction = owner_write(&released, version);
    let result = node.store.transact(&transaction, CALL_TIMEOUT_MS).await;
    info!(node.log, "owner: given up"; "term" => record.term,
        "result" => ?result.is_ok());
}
