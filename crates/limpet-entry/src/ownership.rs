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

/// How often the owner renews. Two fit into the shortest lease that counts
/// on the row alone.
const RENEW_MS: u64 = 400;
/// How long one call of the feed waits.
const FEED_WAIT_MS: u64 = 500;
/// The pause between two calls of the feed; the link tells sooner.
const WATCH_PAUSE_MS: u64 = 800;
/// The shortest pause while the owner is doubted.
const DOUBT_PAUSE_MS: u64 = 50;
/// How long a call may take.
const CALL_TIMEOUT_MS: u64 = 700;
/// The pause after a failure.
const RETRY_MS: u64 = 100;
/// The pause after a takeover that got no answer.
const TAKEOVER_RETRY_MS: u64 = 300;
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
            clock::pause(RETRY_MS).await;
            continue;
        }
        let Some(seen) = &mut watch else { continue };
        publish(&node, seen);
        if node.stopping.get() || !may_take_over(&node, seen) {
            pause_watch(&node, seen).await;
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

/// Waits until the owner is to be looked at again.
async fn pause_watch(node: &Node, watch: &Watch) {
    let view = node.owner_view();
    let mut pause_ms = WATCH_PAUSE_MS;
    if view.is_doubtful() {
        let passed_ms = clock::now().ms_since(watch.unchanged_since);
        let left_ms = view.lease_ms().saturating_sub(passed_ms);
        pause_ms = left_ms.clamp(DOUBT_PAUSE_MS, WATCH_PAUSE_MS);
    }
    let pause = Duration::from_millis(pause_ms);
    let doubted = node.owner_doubted.notified();
    actix_rt::time::timeout(pause, doubted).await.ok();
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
    let after = watch.feed_version;
    // With an owner that is doubted, what the row says now decides.
    let wait_ms = match node.owner_view().is_doubtful() {
        true => 0,
        false => FEED_WAIT_MS,
    };
    let feed = tokio::select! {
        feed = node.store.feed(OWNER_TABLE, after, wait_ms) => feed?,
        () = node.owner_doubted.notified() => {
            node.store.feed(OWNER_TABLE, after, 0).await?
        }
    };
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
    if *node.owner_record.borrow() == watch.record {
        return;
    }
    info!(node.log, "owner: seen"; "term" => watch.record.term,
        "holder" => &watch.record.holder,
        "released" => watch.record.released,
        "store_version" => watch.row_version);
    node.note_owner_record(&watch.record);
}

/// Says whether the owner is certainly gone, or was silent for a lease.
fn may_take_over(node: &Node, watch: &Watch) -> bool {
    // A row of ours is of an earlier process, or of a takeover that got no
    // answer.
    let ours = watch.record.holder == node.settings.instance.name;
    let unchanged_ms = clock::now().ms_since(watch.unchanged_since);
    watch.record.released
        || ours
        || unchanged_ms >= node.owner_view().lease_ms()
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
async fn take_over(node: &Node, watch: &mut Watch) -> Takeover {
    clock::pause(rand::random_range(0..JITTER_MS)).await;
    // The owner may have answered meanwhile.
    if !may_take_over(node, watch) {
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
                "unchanged_ms" =>
                    clock::now().ms_since(watch.unchanged_since));
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
