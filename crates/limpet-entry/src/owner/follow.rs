//! Follows the tables of jobs and of workers, and passes changes to the
//! engine.

use std::{collections::HashSet, rc::Rc};

use futures::{StreamExt, stream};
use limpet_adapter::{LISTING_TABLE, Row, StoreError, decode_listing};
use limpet_workflow::{JobKey, Moment, WorkerListing};
use slog::{info, warn};

use super::{
    Owner,
    load::{SLOW_PARTS_AT_ONCE, decode_job},
    table_reader::TableReader,
};
use crate::{
    clock,
    rows::{CancelRecord, JOBS_TABLE, JobsKey, Part, decode, parse_jobs_key},
};

/// How long a call of a feed waits for a change.
const FEED_WAIT_MS: u64 = 2_000;
/// The pause after a failed call.
const RETRY_MS: u64 = 50;
/// Within this time after an outage of the store, each worker that reaches it
/// has written its row again: "within about two seconds of its return"
/// (PROTOCOL.md, Service discovery).
const CAPACITY_DOUBT_MS: u64 = 2_000;
/// The pause between two calls of the feed of jobs, in which jobs accumulate.
const JOBS_PAUSE_MS: u64 = 20;
/// The pause between two calls of the feed of workers. Most of its rows only
/// confirm that a worker is still there.
const LISTINGS_PAUSE_MS: u64 = 400;
/// After an answer with this many rows the next call follows at once: the
/// store leaves rows out of long answers, and they may tell that a worker
/// leaves.
const LONG_ANSWER_ROWS: usize = 250;

impl Owner {
    /// Follows the table of jobs from a version until the ownership ends.
    pub(super) async fn follow_jobs(self: Rc<Owner>, mut version: u64) {
        let mut failures = 0u32;
        while self.alive.get() {
            let store = &self.node.store;
            match store.feed(JOBS_TABLE, version, FEED_WAIT_MS).await {
                Ok(feed) => {
                    failures = 0;
                    self.apply_jobs(&feed.rows);
                    version = feed.version.max(version);
                    self.remove_jobs(version);
                    clock::pause(JOBS_PAUSE_MS).await;
                }
                Err(StoreError::HistoryLost) => {
                    info!(self.node.log,
                        "jobs: feed history lost; reading all jobs";
                        "after" => version);
                    let Some(newest) = self.reread_jobs().await else {
                        return;
                    };
                    version = newest;
                    self.remove_jobs(version);
                }
                Err(err) => {
                    failures += 1;
                    // Logs the first failure, then each power of two.
                    if u32::is_power_of_two(failures) {
                        warn!(self.node.log, "jobs: feed failed; retrying";
                            "failures" => failures, "reason" => %err);
                    }
                    clock::pause(RETRY_MS).await;
                }
            }
        }
    }

    /// Reads all rows of the table of jobs. Returns the version from which to
    /// follow its feed; `None` if the ownership ended.
    async fn reread_jobs(&self) -> Option<u64> {
        let reader = &TableReader::new(self);
        let read_part = |part: Part| async move {
            let apply = |rows: Vec<Row>| self.apply_jobs(&rows);
            reader.read(JOBS_TABLE, &part.name(), apply).await
        };
        let versions: Vec<Option<u64>> = stream::iter(Part::all())
            .map(read_part)
            .buffered(SLOW_PARTS_AT_ONCE)
            .collect()
            .await;
        versions.into_iter().collect::<Option<Vec<u64>>>()?.into_iter().min()
    }

    /// Adds the jobs and applies the cancellations of changed rows, in their
    /// order: a cancellation of an expired job is not one of the next job with
    /// its id.
    fn apply_jobs(&self, rows: &[Row]) {
        if !self.alive.get() || rows.is_empty() {
            return;
        }
        let now = clock::moment();
        for row in rows {
            match parse_jobs_key(&row.name.key) {
                Some(JobsKey::Job(_)) => self.apply_job(row, now),
                Some(JobsKey::Cancel(job)) => self.apply_cancel(job, row, now),
                None => {}
            }
        }
        self.wake.notify_one();
    }

    /// Adds the job of a row, unless it is known. Cancels it if its
    /// cancellation came first.
    fn apply_job(&self, row: &Row, now: Moment) {
        let Some((key, record)) = decode_job(&self.node.log, row) else {
            return;
        };
        let mut engine = self.engine.borrow_mut();
        // A newer row means that the earlier job's was removed.
        if !self.job_rows.borrow_mut().record(key, row.version)
            || !engine.remove_job(key)
        {
            return;
        }
        let queue = record.queue.clone();
        if engine.add_job(key, record, now) {
            info!(self.node.log, "job: queued"; "job" => %key,
                "queue" => queue, "store_version" => row.version,
                "excess" => engine.is_excess(key));
        }
        if self.early_cancels.borrow_mut().take(key)
            && engine.cancel_job(key, now)
        {
            info!(self.node.log,
                "job: cancelled; its cancellation came first"; "job" => %key,
                "store_version" => row.version);
        }
    }

    /// Applies the row of a cancellation. Without its job it is kept for one
    /// that may still be written.
    pub(super) fn apply_cancel(&self, job: JobKey, row: &Row, now: Moment) {
        let Some(value) = &row.value else {
            self.early_cancels.borrow_mut().forget(job, row.version);
            return;
        };
        if self.job_rows.borrow().version(job).is_some() {
            if self.engine.borrow_mut().cancel_job(job, now) {
                info!(self.node.log, "job: cancelled"; "job" => %job,
                    "store_version" => row.version);
            }
            return;
        }
        let record: CancelRecord = decode(value).unwrap_or_default();
        let age_ms = now.unix_ms.saturating_sub(record.requested_unix_ms);
        self.early_cancels.borrow_mut().record(
            job,
            row.version,
            age_ms,
            now.steady,
        );
    }

    /// Removes from the engine the jobs whose rows were gone at a version. All
    /// that is read of the table from now on is as of that version or later.
    fn remove_jobs(&self, version: u64) {
        let mut engine = self.engine.borrow_mut();
        for job in self.job_rows.borrow_mut().take_removed(version) {
            engine.remove_job(job);
        }
    }

    /// Follows the list of workers until the ownership ends.
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
            let sent_at = clock::now();
            match store.feed(LISTING_TABLE, after, FEED_WAIT_MS).await {
                Ok(feed) => {
                    failures = 0;
                    for row in &feed.rows {
                        self.apply_listing(row);
                    }
                    if feed.rows.len() < LONG_ANSWER_ROWS {
                        self.doubt_capacities(feed.version.max(after));
                        self.listing_doubt.record_answer(sent_at);
                    }
                    self.start_polling();
                    self.wake.notify_one();
                    version = Some(feed.version.max(after));
                    if feed.rows.len() < LONG_ANSWER_ROWS {
                        clock::pause(LISTINGS_PAUSE_MS).await;
                    }
                }
                Err(StoreError::HistoryLost) => version = None,
                Err(err) => {
                    failures += 1;
                    self.listing_doubt.record_failure(clock::now());
                    // Logs the first failure, then each power of two.
                    if u32::is_power_of_two(failures) {
                        warn!(self.node.log, "workers: feed failed; retrying";
                            "failures" => failures, "reason" => %err);
                    }
                    clock::pause(RETRY_MS).await;
                }
            }
        }
    }

    /// Reads the complete list of workers. Returns the version from which to
    /// follow its feed; `None` if the ownership ended.
    pub(super) async fn load_listings(self: &Owner) -> Option<u64> {
        let mut seen = HashSet::new();
        let sent_at = clock::now();
        let version = TableReader::new(self)
            .read(LISTING_TABLE, "", |rows| {
                for row in rows {
                    self.apply_listing(&row);
                    seen.insert(row.name.key);
                }
            })
            .await?;
        self.remove_missing_listings(&seen);
        self.doubt_capacities(version);
        self.listing_doubt.record_answer(sent_at);
        Some(version)
    }

    /// After an outage of the store the rows of workers may be as old as the
    /// outage. Nothing starts on those that have not written theirs since, for
    /// up to [`CAPACITY_DOUBT_MS`]. `version` is that of the list.
    fn doubt_capacities(&self, version: u64) {
        let outage = self.node.recent_store_outage(CAPACITY_DOUBT_MS);
        let Some(since) = outage else { return };
        let mut engine = self.engine.borrow_mut();
        let listed = engine.listed_workers();
        if self.listing_doubt.begin(since, version, listed) {
            let until = clock::now().plus_ms(CAPACITY_DOUBT_MS);
            engine.doubt_capacities(until);
            info!(self.node.log,
                "workers: outage of the store; \
                 no new tasks until each has written its row";
                "term" => self.term, "store_version" => version);
        }
    }

    /// Removes the workers that are no longer in the list.
    fn remove_missing_listings(&self, seen: &HashSet<String>) {
        let mut engine = self.engine.borrow_mut();
        for id in engine.listed_workers() {
            if !seen.contains(&id) {
                info!(self.node.log, "worker: not listed; no new tasks";
                    "worker" => &id);
                engine.remove_listing(&id);
            }
        }
    }

    /// Applies a changed row of the list of workers. A worker whose row was
    /// removed or cannot be decoded counts as not listed.
    fn apply_listing(&self, row: &Row) {
        let id = &row.name.key;
        let mut engine = self.engine.borrow_mut();
        if self.listing_doubt.record_row(id, row.version) {
            engine.trust_capacity(id);
        }
        let Some(value) = &row.value else {
            info!(self.node.log, "worker: row removed; no new tasks";
                "worker" => id,
                "store_version" => row.version);
            engine.remove_listing(id);
            return;
        };
        match decode_listing(id, value) {
            Ok(listing) => {
                if listing.draining {
                    info!(self.node.log, "worker: draining; no new tasks";
                        "worker" => id, "store_version" => row.version);
                }
                let known = engine.listing_of(id).cloned();
                engine.set_listing(listing.clone(), clock::moment());
                drop(engine);
                self.log_listing_change(known.as_ref(), &listing);
            }
            Err(err) => {
                warn!(self.node.log,
                    "worker: invalid registration; no new tasks";
                    "worker" => id, "reason" => err);
                engine.remove_listing(id);
            }
        }
    }

    /// Logs a new life of a worker, and a change of its capacity. The list
    /// that a new owner loads is not logged.
    fn log_listing_change(
        &self,
        known: Option<&WorkerListing>,
        listing: &WorkerListing,
    ) {
        let life = |listing: &WorkerListing| listing.incarnation;
        let is_new = known.is_none_or(|known| life(known) != life(listing));
        if is_new && self.loaded.get() {
            info!(self.node.log, "worker: new life; may get tasks";
                "worker" => &listing.id, "incarnation" => listing.incarnation);
        }
        if let Some(known) = known
            && known.capacity != listing.capacity
        {
            info!(self.node.log, "worker: capacity changed";
                "worker" => &listing.id,
                "from" => %known.capacity, "to" => %listing.capacity);
        }
    }

    /// Starts polling the workers that are not polled yet.
    pub(super) fn start_polling(self: &Rc<Owner>) {
        let slots = self.engine.borrow().worker_slots();
        for slot in slots {
            if self.polled.borrow_mut().insert(slot) {
                actix_rt::spawn(Rc::clone(self).poll_worker(slot));
            }
        }
    }
}
