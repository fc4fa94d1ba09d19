//! Ownership of the cell: takeover, renewal and release.
//!
//! The owner's lease decides only how soon another instance takes over. Two
//! owners at the same time do no harm: each write of an owner is conditional
//! on the head row of the progress, which a takeover replaces, and a start
//! order is sent only after its claim was written.

use std::{rc::Rc, time::Duration};

use limpet_adapter::{
    RowExpectation, RowWrite, StoreError, Transaction, TransactionOutcome,
};
use slog::{info, warn};

use crate::{
    candidates::Candidate,
    clock,
    metrics::Metrics,
    node::Node,
    owner::Owner,
    owner_record::OwnerRecord,
    owner_watch::OwnerWatch,
    rows::{encode, owner_row},
};

/// How often the owner renews its row. Three renewals fit into the lease of an
/// owner that is not suspect.
const RENEW_MS: u64 = 400;
/// The time-out of a call of the store.
const CALL_TIMEOUT_MS: u64 = 700;
/// The pause after a failed call.
const RETRY_MS: u64 = 100;
/// The pause after a takeover without an answer.
const TAKEOVER_RETRY_MS: u64 = 300;
/// The maximum random delay of a takeover, so that instances rarely try at the
/// same time.
const JITTER_MS: u64 = 60;
/// How long the ownership lasts at most after its release was sent. Other
/// instances learn of its end on the link, and then find the row released.
const RELEASE_WAIT_MS: u64 = 50;

/// Watches the owner, takes the cell over if the owner fails, and owns it
/// until another instance does. Never returns.
pub async fn contend_for_ownership(node: Rc<Node>) {
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
                watch.restart_lease();
            }
            clock::pause(RETRY_MS).await;
            continue;
        }
        let Some(seen) = &mut watch else { continue };
        seen.publish(&node);
        if node.stopping.get() || !seen.may_take_over(&node) {
            node.taking_over.set(false);
            seen.pause(&node).await;
            continue;
        }
        match take_over(&node, seen).await {
            Takeover::Done { term, version } => {
                node.taking_over.set(false);
                let owner = Owner::new(&node, term);
                owner.inherit_leases(&seen.record);
                hold_ownership(&node, owner, version).await;
                watch = None;
            }
            Takeover::Lost => node.taking_over.set(false),
            Takeover::Failed => clock::pause(TAKEOVER_RETRY_MS).await,
        }
    }
}

/// The outcome of a takeover.
enum Takeover {
    /// This instance owns the cell.
    Done { term: u64, version: u64 },
    /// The row changed, or the owner replied meanwhile.
    Lost,
    /// The store did not answer or rejected the write.
    Failed,
}

/// Writes this instance to the owner's row, on the condition that the row is
/// unchanged.
async fn take_over(node: &Node, watch: &mut OwnerWatch) -> Takeover {
    if !watch.is_successor(node) {
        clock::pause(rand::random_range(0..JITTER_MS)).await;
    }
    // The owner may have replied during the delay.
    if !watch.may_take_over(node) {
        return Takeover::Lost;
    }
    let record = OwnerRecord {
        term: watch.record.term + 1,
        holder: node.settings.instance.name.clone(),
        incarnation: node.incarnation,
        link_address: node.settings.instance.link_address.clone(),
        released: false,
        capacity_milli: node.settings.instance.capacity_milli(),
        successor: String::new(),
        silent_workers: None,
    };
    let transaction = owner_write(&record, watch.row_version);
    node.taking_over.set(true);
    match node.store.transact(&transaction, CALL_TIMEOUT_MS).await {
        Ok(TransactionOutcome::Applied(version)) => {
            info!(node.log, "owner: took the cell over"; "term" => record.term,
                "capacity_milli" => record.capacity_milli,
                "before" => &watch.record.holder,
                "released" => watch.record.released,
                "silent_workers" => watch.record.released_workers()
                    .map(<[_]>::len),
                "view" => ?node.owner_view(),
                "unchanged_ms" => watch.unchanged_ms());
            Metrics::count(&node.metrics.takeovers);
            node.set_owner_record(&record);
            Takeover::Done { term: record.term, version }
        }
        Ok(TransactionOutcome::Conflict(rows)) => {
            for row in &rows {
                watch.apply_row(row);
            }
            // The record is ours if an earlier try succeeded and its answer
            // was lost.
            if watch.record != record {
                return Takeover::Lost;
            }
            node.set_owner_record(&record);
            Takeover::Done { term: record.term, version: watch.row_version }
        }
        Err(err) => {
            warn!(node.log, "owner: takeover failed; retrying";
                "term" => record.term, "reason" => %err);
            Takeover::Failed
        }
    }
}

/// Returns a transaction that replaces a version of the owner's row.
fn owner_write(record: &OwnerRecord, version: u64) -> Transaction {
    Transaction {
        expect: vec![RowExpectation { name: owner_row(), version }],
        writes: vec![RowWrite { name: owner_row(), value: encode(record) }],
        removes: Vec::new(),
    }
}

/// Runs the ownership and renews it until another instance owns the cell or
/// the process shuts down.
async fn hold_ownership(node: &Rc<Node>, owner: Rc<Owner>, mut version: u64) {
    let term = owner.term();
    *node.owner.borrow_mut() = Some(Rc::clone(&owner));
    actix_rt::spawn(Rc::clone(&owner).run());
    let record = node.owner_record.borrow().clone();
    let mut pause_ms = RENEW_MS;
    while owner.is_alive() {
        let pause = Duration::from_millis(pause_ms);
        let end = owner.wait_for_end();
        actix_rt::time::timeout(pause, end).await.ok();
        // While the store is lost nobody else can take over, and the holds of
        // all workers would expire.
        if node.stopping.get() && !node.store_is_lost() {
            shut_down(node, &owner, &record, version).await;
            break;
        }
        let renewal = renew(node, &record, version).await;
        node.record_store_call(!matches!(renewal, Renewal::Failed(_)));
        pause_ms = RENEW_MS;
        match renewal {
            Renewal::Done(newer) => {
                version = newer;
                owner.confirm(clock::now());
                let now = clock::now();
                let own_milli = record.capacity_milli;
                let larger = owner.candidates.larger_than(own_milli, now);
                if let Some(larger) = larger {
                    hand_over(node, &owner, &record, version, larger).await;
                    break;
                }
            }
            Renewal::Failed(err) => {
                owner.record_store_failure();
                pause_ms = RETRY_MS;
                warn!(node.log, "owner: not renewed in the store; retrying";
                    "term" => term, "reason" => %err);
            }
            Renewal::Lost(holder) => {
                warn!(node.log, "owner: replaced in the store; stepping down";
                    "term" => term, "holder" => holder);
                break;
            }
        }
    }
    owner.end();
    *node.owner.borrow_mut() = None;
}

/// The outcome of a renewal.
enum Renewal {
    /// The row has this version now.
    Done(u64),
    /// The store did not answer or rejected the write.
    Failed(StoreError),
    /// This instance owns the cell instead.
    Lost(String),
}

/// Writes the owner's row again, so that its version changes.
async fn renew(node: &Node, record: &OwnerRecord, version: u64) -> Renewal {
    let transaction = owner_write(record, version);
    match node.store.transact(&transaction, CALL_TIMEOUT_MS).await {
        Ok(TransactionOutcome::Applied(newer)) => Renewal::Done(newer),
        Ok(TransactionOutcome::Conflict(rows)) => {
            let row = rows.iter().find(|row| row.name == owner_row());
            let found: Option<OwnerRecord> = row
                .and_then(|row| row.value.as_deref())
                .and_then(OwnerRecord::decode);
            match (row, found) {
                // An earlier renewal succeeded although its answer was lost.
                (Some(row), Some(found)) if found == *record => {
                    Renewal::Done(row.version)
                }
                (_, found) => Renewal::Lost(found.unwrap_or_default().holder),
            }
        }
        Err(err) => Renewal::Failed(err),
    }
}

/// Releases the cell for a shutdown, to the largest instance that is ready.
async fn shut_down(
    node: &Node,
    owner: &Owner,
    record: &OwnerRecord,
    version: u64,
) {
    let successor = owner.candidates.largest(clock::now());
    let is_released =
        release(node, owner, record, version, successor.as_ref()).await;
    info!(node.log, "owner: tried to release the cell for shutdown";
        "term" => record.term,
        "successor" => successor.map(|successor| successor.instance),
        "result" => is_released);
}

/// Releases the cell to a larger instance.
async fn hand_over(
    node: &Node,
    owner: &Owner,
    record: &OwnerRecord,
    version: u64,
    larger: Candidate,
) {
    info!(node.log,
        "owner: handing the cell over; a larger instance is ready";
        "term" => record.term, "capacity_milli" => record.capacity_milli,
        "successor" => &larger.instance,
        "successor_capacity_milli" => larger.capacity_milli);
    if !release(node, owner, record, version, Some(&larger)).await {
        warn!(node.log,
            "owner: cell not released; the lease decides the next owner";
            "term" => record.term, "successor" => &larger.instance);
    }
}

/// Ends the ownership and marks the owner's row as released, so that the
/// successor takes over at once, or any instance if there is none. The row
/// names the workers that this owner did not reach. No lease is granted from
/// before the row is written on. Returns whether it was.
async fn release(
    node: &Node,
    owner: &Owner,
    record: &OwnerRecord,
    version: u64,
    successor: Option<&Candidate>,
) -> bool {
    owner.drain().await;
    let mut released = record.release(owner.end_renewals());
    if let Some(successor) = successor {
        released.successor.clone_from(&successor.instance);
        released.capacity_milli =
            record.capacity_milli.max(successor.capacity_milli);
    }
    let transaction = owner_write(&released, version);
    let write = node.store.transact(&transaction, CALL_TIMEOUT_MS);
    tokio::pin!(write);
    let wait = Duration::from_millis(RELEASE_WAIT_MS);
    let early = actix_rt::time::timeout(wait, &mut write).await;
    owner.end();
    let result = match early {
        Ok(result) => result,
        Err(_) => write.await,
    };
    matches!(result, Ok(TransactionOutcome::Applied(_)))
}
