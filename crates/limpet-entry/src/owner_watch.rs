//! The row that names the owner, as followed by the other instances.

use std::time::Duration;

use limpet_adapter::{Row, StoreError};
use limpet_core::TimeMs;
use slog::info;

use crate::{
    clock,
    node::Node,
    owner_record::OwnerRecord,
    rows::{OWNER_KEY, OWNER_TABLE, owner_row},
};

/// How long a call of the feed waits for a change.
const FEED_WAIT_MS: u64 = 500;
/// The pause between two calls of the feed. The link usually shows a failure
/// earlier.
const WATCH_PAUSE_MS: u64 = 800;
/// The minimum pause while the owner is suspect.
const SUSPECT_PAUSE_MS: u64 = 50;
/// The time-out of a read.
const READ_TIMEOUT_MS: u64 = 700;
/// How long other instances leave a released cell to the named successor.
const SUCCESSOR_LEASE_MS: u64 = 300;
/// The maximum additional lease of an instance that is smaller than the owner,
/// in which larger ones take over first.
const MAX_SMALLER_DELAY_MS: u64 = 1_000;

/// The latest known state of the owner's row.
pub struct OwnerWatch {
    /// The owner of the cell.
    pub record: OwnerRecord,
    /// The version of the row.
    pub row_version: u64,
    /// The version from which to follow the feed.
    feed_version: u64,
    /// Since when the row has been unchanged while the store answered.
    unchanged_since: TimeMs,
}

impl OwnerWatch {
    /// Reads the row. A missing row counts as released.
    ///
    /// # Errors
    ///
    /// Returns the errors of the store.
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
            watch.apply_row(row);
        }
        Ok(watch)
    }

    /// Waits for a change of the row, up to the feed's waiting time, and no
    /// longer than until a released cell may be taken over. Returns at once
    /// while the owner is suspect.
    ///
    /// # Errors
    ///
    /// Returns the errors of the store.
    pub async fn follow(&mut self, node: &Node) -> Result<(), StoreError> {
        let after = self.feed_version;
        // While the owner is suspect, the current row decides.
        let wait_ms = if self.record.released && !node.stopping.get() {
            self.left_ms(node).min(FEED_WAIT_MS)
        } else if node.owner_view().is_suspect() {
            0
        } else {
            FEED_WAIT_MS
        };
        let feed = tokio::select! {
            feed = node.store.feed(OWNER_TABLE, after, wait_ms) => feed?,
            () = node.owner_suspected.notified() => {
                node.store.feed(OWNER_TABLE, after, 0).await?
            }
        };
        for row in &feed.rows {
            self.apply_row(row);
        }
        self.feed_version = feed.version.max(self.feed_version);
        Ok(())
    }

    /// Applies a row if it is a newer version of the owner's row.
    pub fn apply_row(&mut self, row: &Row) {
        if row.name != owner_row() || row.version <= self.row_version {
            return;
        }
        self.row_version = row.version;
        self.unchanged_since = clock::now();
        if let Some(record) =
            row.value.as_deref().and_then(OwnerRecord::decode)
        {
            self.record = record;
        }
    }

    /// Records the owner for the rest of the instance, if it has changed.
    pub fn publish(&self, node: &Node) {
        if *node.owner_record.borrow() == self.record {
            return;
        }
        info!(node.log, "owner: record changed"; "term" => self.record.term,
            "holder" => &self.record.holder,
            "released" => self.record.released,
            "successor" => &self.record.successor,
            "capacity_milli" => self.record.capacity_milli,
            "store_version" => self.row_version);
        node.set_owner_record(&self.record);
    }

    /// Returns whether this instance may take the cell over: the row has been
    /// unchanged for this instance's lease.
    pub fn may_take_over(&self, node: &Node) -> bool {
        self.left_ms(node) == 0
    }

    /// Returns whether the cell was released to this instance.
    pub fn is_successor(&self, node: &Node) -> bool {
        self.record.released
            && self.record.successor == node.settings.instance.name
    }

    /// Returns how much longer the row has to stay unchanged.
    fn left_ms(&self, node: &Node) -> u64 {
        self.lease_ms(node).saturating_sub(self.unchanged_ms())
    }

    /// Returns how long the row has to stay unchanged before this instance
    /// takes over. 0 if it is the named successor, and for a row with this
    /// instance's name, which is of an earlier process or of a takeover whose
    /// answer was lost.
    fn lease_ms(&self, node: &Node) -> u64 {
        let ours = self.record.holder == node.settings.instance.name;
        if self.is_successor(node) || ours && !self.record.released {
            return 0;
        }
        let lease_ms = match self.record.released {
            true if self.record.successor.is_empty() => 0,
            true => SUCCESSOR_LEASE_MS,
            false => node.owner_view().lease_ms(),
        };
        lease_ms + self.smaller_delay_ms(node)
    }

    /// Returns the additional lease of an instance that is smaller than the
    /// latest owner, in proportion to the difference.
    fn smaller_delay_ms(&self, node: &Node) -> u64 {
        let owner_milli = self.record.capacity_milli;
        let own_milli = node.settings.instance.capacity_milli();
        if own_milli >= owner_milli {
            return 0;
        }
        MAX_SMALLER_DELAY_MS * (owner_milli - own_milli) / owner_milli
    }

    /// Returns how long the row has been unchanged.
    pub fn unchanged_ms(&self) -> u64 {
        clock::now().ms_since(self.unchanged_since)
    }

    /// Restarts the lease after a failed call of the store: time in which the
    /// store does not answer proves nothing about the owner.
    pub fn restart_lease(&mut self) {
        self.unchanged_since = clock::now();
    }

    /// Waits until the row has to be checked again: when the lease ends for a
    /// suspect owner, or when the owner becomes suspect. Returns at once for a
    /// released cell, whose row is followed without a pause, except during a
    /// shutdown.
    pub async fn pause(&self, node: &Node) {
        if self.record.released && !node.stopping.get() {
            return;
        }
        let mut pause_ms = WATCH_PAUSE_MS;
        if node.owner_view().is_suspect() {
            let left_ms = self.left_ms(node);
            pause_ms = left_ms.clamp(SUSPECT_PAUSE_MS, WATCH_PAUSE_MS);
        }
        let pause = Duration::from_millis(pause_ms);
        let suspected = node.owner_suspected.notified();
        actix_rt::time::timeout(pause, suspected).await.ok();
    }
}
