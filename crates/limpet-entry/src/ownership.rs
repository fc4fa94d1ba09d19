//! Who owns the cell: renewed, watched, taken over, given up.
//!
//! The owner's lease decides only how soon another instance takes over. That
//! two owners do no harm rests on the store: each write of an owner depends
//! on the head row of its part, which a takeover replaces, and no start is
//! sent before its claim was written.

use std::{rc::Rc, time::Duration};

use limpet_adapter::{
    RowExpectation, RowWrite, StoreError, Transaction, TransactionOutcome,
};
use slog::{info, warn};

use crate::{
    clock,
    metrics::Metrics,
    node::Node,
    owner::Owner,
    owner_watch::OwnerWatch,
    rows::{OwnerRecord, decode, encode, owner_row},
};

/// How often the owner renews. Two fit into the shortest lease that counts
/// on the row alone.
const RENEW_MS: u64 = 400;
/// How long a call may take.
const CALL_TIMEOUT_MS: u64 = 700;
/// The pause after a failure.
const RETRY_MS: u64 = 100;
/// The pause after a takeover that got no answer.
const TAKEOVER_RETRY_MS: u64 = 300;
/// Takeovers wait a random part of this, so that few collide.
const JITTER_MS: u64 = 60;

/// Takes part in the ownership of the cell, for good.
pub async fn take_part(node: Rc<Node>) {
    let mut watch = None;
    loop {
        let result = match &mut watch {
            None => {
                OwnerWatch::read(&node).await.map(|read| watch = Some(read))
            }
            Some(watch) => watch.follow(&node).await,
        };
        if let Err(err) = result {
            if err == StoreError::HistoryLost {
                watch = None;
            } else if let Some(watch) = &mut watch {
                watch.note_gap();
            }
            clock::pause(RETRY_MS).await;
            continue;
        }
        let Some(seen) = &mut watch else { continue };
        seen.publish(&node);
        if node.stopping.get() || !seen.may_take_over(&node) {
            seen.pause(&node).await;
            continue;
        }
        match take_over(&node, seen).await {
            Takeover::Done { term, version } => {
                own(&node, term, version).await;
                watch = None;
            }
            Takeover::Lost => {}
            Takeover::Failed => clock::pause(TAKEOVER_RETRY_MS).await,
        }
    }
}

/// What came of a takeover.
enum Takeover {
    /// This instance owns the cell.
    Done { term: u64, version: u64 },
    /// The row changed or the owner answered meanwhile.
    Lost,
    /// The store gave no answer.
    Failed,
}

/// Writes this instance as the owner.
async fn take_over(node: &Node, watch: &mut OwnerWatch) -> Takeover {
    clock::pause(rand::random_range(0..JITTER_MS)).await;
    // The owner may have answered meanwhile.
    if !watch.may_take_over(node) {
        return Takeover::Lost;
    }
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
                "released" => watch.record.released,
                "view" => ?node.owner_view(),
                "unchanged_ms" => watch.unchanged_ms());
            Metrics::count(&node.metrics.takeovers);
            node.note_owner_record(&record);
            Takeover::Done { term: record.term, version }
        }
        Ok(TransactionOutcome::Conflict(rows)) => {
            for row in &rows {
                watch.see(row);
            }
            // A write of ours whose answer was lost.
            if watch.record != record {
                return Takeover::Lost;
            }
            node.note_owner_record(&record);
            Takeover::Done { term: record.term, version: watch.row_version }
        }
        Err(err) => {
            warn!(node.log, "owner: not taken"; "term" => record.term,
                "reason" => %err);
            Takeover::Failed
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
    let mut pause_ms = RENEW_MS;
    while owner.is_alive() {
        let pause = Duration::from_millis(pause_ms);
        let end = owner.wait_for_end();
        actix_rt::time::timeout(pause, end).await.ok();
        if node.stopping.get() {
            give_up(node, &owner, &record, version).await;
            break;
        }
        let renewal = renew(node, &record, version).await;
        node.note_store(!matches!(renewal, Renewal::Failed(_)));
        pause_ms = RENEW_MS;
        match renewal {
            Renewal::Done(newer) => {
                version = newer;
                owner.confirm(clock::now());
            }
            Renewal::Failed(err) => {
                pause_ms = RETRY_MS;
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
