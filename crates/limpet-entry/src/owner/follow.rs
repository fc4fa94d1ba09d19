//! Jobs and workers as they come and go.

use std::{collections::HashSet, rc::Rc};

use limpet_adapter::{LISTING_TABLE, Row, StoreError, decode_listing};
use slog::{info, warn};

use super::{Owner, load::decode_job};
use crate::{
    clock,
    rows::{JOBS_TABLE, JobsKey, Part, parse_jobs_key},
};

/// How long one call of a feed waits.
const FEED_WAIT_MS: u64 = 2_000;
/// How long a read may take.
const READ_TIMEOUT_MS: u64 = 1_500;
/// The pause after a failure.
const RETRY_MS: u64 = 50;
/// The pause between two calls of the feed of jobs, in which some gather.
const JOBS_PAUSE_MS: u64 = 20;
/// The pause between two calls of the feed of workers; most of its rows only
/// say that a worker is still there.
const LISTINGS_PAUSE_MS: u64 = 400;

impl Owner {
    pub(super) async fn follow_jobs(self: Rc<Owner>, mut version: u64) {
        let mut failures = 0u32;
        while self.alive.get() {
            let store = &self.node.store;
            match store.feed(JOBS_TABLE, version, FEED_WAIT_MS).await {
                Ok(feed) => {
                    failures = 0;
                    self.take_jobs(&feed.rows);
                    version = feed.version.max(version);
                    clock::pause(JOBS_PAUSE_MS).await;
                }
                Err(StoreError::HistoryLost) => {
                    info!(self.node.log, "jobs: read anew";
                        "after" => version);
                    let Some(newest) = self.reread_jobs().await else {
                        return;
                    };
                    version = newest;
                }
                Err(err) => {
                    failures += 1;
                    // The first failure and then each power of two.
                    if u32::is_power_of_two(failures) {
                        warn!(self.node.log, "jobs: not followed";
                            "failures" => failures, "reason" => %err);
                    }
                    clock::pause(RETRY_MS).await;
                }
            }
        }
    }

    async fn reread_jobs(&self) -> Option<u64> {
        let mut version = u64::MAX;
        for part in Part::all() {
            let page = self.read_table(JOBS_TABLE, &part.name()).await?;
            version = version.min(page.version);
            self.take_jobs(&page.rows);
        }
        Some(version)
    }

    fn take_jobs(&self, rows: &[Row]) {
        if !self.alive.get() || rows.is_empty() {
            return;
        }
        let now = clock::moment();
        let mut engine = self.engine.borrow_mut();
        for row in rows {
            if let Some((key, record)) = decode_job(&self.node.log, row) {
                let queue = record.queue.clone();
                if engine.add_job(key, record, now) {
                    info!(self.node.log, "job: received"; "job" => %key,
                        "queue" => queue, "store_version" => row.version,
                        "excess" => engine.is_excess(key));
                }
            }
        }
        for row in rows.iter().filter(|row| row.value.is_some()) {
            if let Some(JobsKey::Cancel(key)) = parse_jobs_key(&row.name.key)
                && engine.cancel_job(key, now)
            {
                info!(self.node.log, "job: cancelled"; "job" => %key,
                    "store_version" => row.version);
            }
        }
        self.wake.notify_one();
    }

    pub(super) async fn follow_listings(self: Rc<Owner>) {
        let mut version = None;
        let mut failures = 0u32;
        while self.alive.get() {
            let Some(after) = version else {
                let Some(newest) = self.load_listings().await else { return };
                version = Some(newest);
                continue;
            };
            let store = &self.node.store;
            match store.feed(LISTING_TABLE, after, FEED_WAIT_MS).await {
                Ok(feed) => {
                    failures = 0;
                    for row in &feed.rows {
                        self.take_listing(row);
                    }
                    self.watch_workers();
                    self.wake.notify_one();
                    version = Some(feed.version.max(after));
                    clock::pause(LISTINGS_PAUSE_MS).await;
                }
                Err(StoreError::HistoryLost) => version = None,
                Err(err) => {
                    failures += 1;
                    // The first failure and then each power of two.
                    if u32::is_power_of_two(failures) {
                        warn!(self.node.log, "workers: not followed";
                            "failures" => failures, "reason" => %err);
                    }
                    clock::pause(RETRY_MS).await;
                }
            }
        }
    }

    /// Reads the whole list of workers; returns where its feed goes on.
    pub(super) async fn load_listings(self: &Owner) -> Option<u64> {
        while self.alive.get() {
            let store = &self.node.store;
            let page =
                store.read_all(LISTING_TABLE, "", READ_TIMEOUT_MS).await;
            match page {
                Ok(page) => {
                    let mut seen = HashSet::new();
                    for row in &page.rows {
                        seen.insert(row.name.key.clone());
                        self.take_listing(row);
                    }
                    self.unlist_missing(&seen);
                    return Some(page.version);
                }
                Err(err) => {
                    warn!(self.node.log, "workers: not read";
                        "reason" => %err);
                    clock::pause(RETRY_MS).await;
                }
            }
        }
        None
    }

    fn unlist_missing(&self, seen: &HashSet<String>) {
        let mut engine = self.engine.borrow_mut();
        for id in engine.listed_workers() {
            if !seen.contains(&id) {
                info!(self.node.log, "worker: unlisted"; "worker" => &id);
                engine.remove_listing(&id);
            }
        }
    }

    fn take_listing(&self, row: &Row) {
        let id = &row.name.key;
        let mut engine = self.engine.borrow_mut();
        let Some(value) = &row.value else {
            info!(self.node.log, "worker: unlisted"; "worker" => id,
                "store_version" => row.version);
            engine.remove_listing(id);
            return;
        };
        match decode_listing(id, value) {
            Ok(listing) => {
                if listing.draining {
                    info!(self.node.log, "worker: leaves"; "worker" => id,
                        "store_version" => row.version);
                }
                engine.set_listing(listing, clock::moment());
            }
            Err(err) => {
                warn!(self.node.log, "worker: bad registration";
                    "worker" => id, "reason" => err);
                engine.remove_listing(id);
            }
        }
    }

    /// Starts a loop for each worker that has none.
    pub(super) fn watch_workers(self: &Rc<Owner>) {
        let slots = self.engine.borrow().worker_slots();
        for slot in slots {
            if self.watched.borrow_mut().insert(slot) {
                actix_rt::spawn(Rc::clone(self).watch_worker(slot));
            }
        }
    }
}
