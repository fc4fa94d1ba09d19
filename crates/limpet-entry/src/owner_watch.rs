//! The owner's row, as an instance that doesn't own the cell follows it.

use std::time::Duration;

use limpet_adapter::{Row, StoreError};
use limpet_core::TimeMs;
use slog::info;

use crate::{
    clock,
    node::Node,
    rows::{OWNER_KEY, OWNER_TABLE, OwnerRecord, decode, owner_row},
};

/// How long one call of the feed waits.
const FEED_WAIT_MS: u64 = 500;
/// The pause between two calls of the feed; the link tells sooner.
const WATCH_PAUSE_MS: u64 = 800;
/// The shortest pause while the owner is doubted.
const DOUBT_PAUSE_MS: u64 = 50;
/// How long a read may take.
const READ_TIMEOUT_MS: u64 = 700;

/// The owner's row as it was seen last.
pub struct OwnerWatch {
    /// Who owns the cell.
    pub record: OwnerRecord,
    /// The version of the row.
    pub row_version: u64,
    feed_version: u64,
    /// Since when the row has stood unchanged while the store answered.
    unchanged_since: TimeMs,
}

impl OwnerWatch {
    /// Reads the row.
    ///
    /// # Errors
    ///
    /// Those of the store.
    pub async fn read(node: &Node) -> Result<OwnerWatch, StoreError> {
        let to = format!("{OWNER_KEY}\u{1}");
        let page = node
            .store
            .read(OWNER_TABLE, "", OWNER_KEY, &to, READ_TIMEOUT_MS)
            .await?;
        let mut watch = OwnerWatch {
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

    /// Follows the row until it changes, or for a while.
    ///
    /// # Errors
    ///
    /// Those of the store.
    pub async fn follow(&mut self, node: &Node) -> Result<(), StoreError> {
        let after = self.feed_version;
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
            self.see(row);
        }
        self.feed_version = feed.version.max(self.feed_version);
        Ok(())
    }

    /// Takes in a row that was read.
    pub fn see(&mut self, row: &Row) {
        if row.name != owner_row() || row.version <= self.row_version {
            return;
        }
        self.row_version = row.version;
        self.unchanged_since = clock::now();
        if let Some(record) = row.value.as_deref().and_then(decode) {
            self.record = record;
        }
    }

    /// Lets the instance know who owns the cell.
    pub fn publish(&self, node: &Node) {
        if *node.owner_record.borrow() == self.record {
            return;
        }
        info!(node.log, "owner: seen"; "term" => self.record.term,
            "holder" => &self.record.holder,
            "released" => self.record.released,
            "store_version" => self.row_version);
        node.note_owner_record(&self.record);
    }

    /// Says whether the owner is certainly gone, or was silent for a lease.
    pub fn may_take_over(&self, node: &Node) -> bool {
        // A row of ours is of an earlier process, or of a takeover that got no
        // answer.
        let ours = self.record.holder == node.settings.instance.name;
        self.record.released
            || ours
            || self.unchanged_ms() >= node.owner_view().lease_ms()
    }

    /// Returns how long the row has stood unchanged.
    pub fn unchanged_ms(&self) -> u64 {
        clock::now().ms_since(self.unchanged_since)
    }

    /// Records a time in which the store didn't answer: it proves nothing
    /// about the owner.
    pub fn note_gap(&mut self) {
        self.unchanged_since = clock::now();
    }

    /// Waits until the owner is to be looked at again.
    pub async fn pause(&self, node: &Node) {
        let view = node.owner_view();
        let mut pause_ms = WATCH_PAUSE_MS;
        if view.is_doubtful() {
            let passed_ms = self.unchanged_ms();
            let left_ms = view.lease_ms().saturating_sub(passed_ms);
            pause_ms = left_ms.clamp(DOUBT_PAUSE_MS, WATCH_PAUSE_MS);
        }
        let pause = Duration::from_millis(pause_ms);
        let doubted = node.owner_doubted.notified();
        actix_rt::time::timeout(pause, doubted).await.ok();
    }
}
