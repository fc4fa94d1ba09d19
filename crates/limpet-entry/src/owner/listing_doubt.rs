//! Whether the list of workers that the owner follows may be outdated.
//!
//! Workers shrink while the list can't be read or written. What is placed by
//! an outdated capacity could exceed what a worker has.

use std::{
    cell::{Cell, RefCell},
    collections::HashSet,
    time::Duration,
};

use limpet_core::TimeMs;
use tokio::sync::Notify;

/// How long a start order waits at most for the list to be read again.
const MAX_WAIT_MS: u64 = 1_000;

/// Whether the list may be outdated, and since when.
#[derive(Debug, Default)]
pub(super) struct ListingDoubt {
    /// When the store was last seen failing since the list was read.
    failed_at: Cell<Option<TimeMs>>,
    /// Notified when the list was read again.
    confirmed: Notify,
    /// When the outage began after which workers have to write their rows
    /// again.
    outage_since: Cell<TimeMs>,
    /// The version of the list right after that outage.
    version: Cell<u64>,
    /// The workers that have not written their rows since.
    unwritten: RefCell<HashSet<String>>,
}

impl ListingDoubt {
    /// Records that a read of the list or another call of the store failed.
    pub(super) fn record_failure(&self, now: TimeMs) {
        self.failed_at.set(Some(now));
    }

    /// Records an answer to a read of the list that was sent at `sent_at`. An
    /// answer that was sent before the latest failure proves nothing.
    pub(super) fn record_answer(&self, sent_at: TimeMs) {
        if self.failed_at.get().is_some_and(|at| at <= sent_at) {
            self.failed_at.set(None);
            self.confirmed.notify_waiters();
        }
    }

    /// Returns whether the list may be outdated.
    pub(super) fn is_outdated(&self) -> bool {
        self.failed_at.get().is_some()
    }

    /// Waits until the list is up to date, up to [`MAX_WAIT_MS`]. Returns
    /// whether it is.
    pub(super) async fn wait(&self) -> bool {
        if self.is_outdated() {
            let limit = Duration::from_millis(MAX_WAIT_MS);
            let confirmed = self.confirmed.notified();
            actix_rt::time::timeout(limit, confirmed).await.ok();
        }
        !self.is_outdated()
    }

    /// Records that the list was read, as of `version`, after an outage of the
    /// store that began at `since`. Returns whether that is news: the rows of
    /// the `listed` workers may be as old as the outage then.
    pub(super) fn begin(
        &self,
        since: TimeMs,
        version: u64,
        listed: Vec<String>,
    ) -> bool {
        if since <= self.outage_since.get() {
            return false;
        }
        self.outage_since.set(since);
        self.version.set(version);
        *self.unwritten.borrow_mut() = listed.into_iter().collect();
        true
    }

    /// Records a row of a worker. Returns whether the worker has written it
    /// after the outage, and none before.
    pub(super) fn record_row(&self, id: &str, version: u64) -> bool {
        version > self.version.get() && self.unwritten.borrow_mut().remove(id)
    }
}
