//! Writes the progress of jobs, one transaction at a time.
//!
//! Each transaction is conditional on the version of the head row and replaces
//! it. A takeover replaces it too, so an earlier owner can no longer write.

use std::{collections::BTreeSet, rc::Rc, time::Duration};

use limpet_adapter::{
    RowExpectation, RowWrite, StoreError, Transaction, TransactionOutcome,
};
use limpet_workflow::JobKey;
use slog::warn;

use super::{
    Owner,
    pending_rows::{PendingRows, REJECTED_RETRY_MS},
};
use crate::{
    clock,
    metrics::Metrics,
    rows::{
        HeadRecord, MAX_BATCH_BYTES, decode, encode, head_row, progress_row,
        row_bytes,
    },
    store_wait::{AnswerTimes, transact},
};

/// The maximum number of rows in a transaction beside the head row; the store
/// allows 100 entries.
const MAX_ROWS: usize = 90;
/// The pause before a write, in which changes accumulate.
const GATHER_MS: u64 = 4;
/// The additional pause while no step is waiting. It delays starts a little
/// but saves calls of the store, each of which has a cost.
const CALM_GATHER_MS: u64 = 25;
/// The pause after a failed write grows by this with each failure.
const RETRY_MS: u64 = 20;
/// The maximum pause after a failed write.
const MAX_RETRY_MS: u64 = 120;

/// What became of a batch.
enum Written {
    Done,
    /// The store rejected it.
    Rejected,
    /// The ownership ended.
    Ended,
}

/// A transaction and the versions of the jobs that it makes durable.
struct Batch {
    transaction: Transaction,
    /// Each job with its version.
    versions: Vec<(JobKey, u64)>,
    /// The jobs whose progress it removes.
    removed: Vec<JobKey>,
}

impl Owner {
    /// Writes the progress of changed jobs until the ownership ends. `head` is
    /// the version of the head row.
    pub(super) async fn write_progress(self: Rc<Owner>, head: u64) {
        let mut head_version = head;
        let mut sequence = 0;
        let times = AnswerTimes::default();
        let mut pending = PendingRows::new(MAX_ROWS);
        while self.alive.get() {
            sequence += 1;
            pending.retry_rejected(clock::now());
            if pending.is_empty() && !self.has_changes() {
                let notified = self.dirty.notified();
                if !pending.has_rejected() {
                    notified.await;
                } else {
                    let pause = Duration::from_millis(REJECTED_RETRY_MS);
                    actix_rt::time::timeout(pause, notified).await.ok();
                }
                clock::pause(GATHER_MS).await;
            }
            if self.engine.borrow().wait_counts().is_empty() {
                clock::pause(CALM_GATHER_MS).await;
            }
            let Some(mut batch) = self.next_batch(sequence, &mut pending)
            else {
                sequence -= 1;
                continue;
            };
            self.write_started_at.set(Some(clock::now()));
            let written = self
                .write_batch(&mut batch, sequence, &mut head_version, &times)
                .await;
            self.write_started_at.set(None);
            match written {
                Written::Done => pending.grow(),
                Written::Rejected => {
                    sequence -= 1;
                    let jobs = batch.versions.iter().map(|(job, _)| *job);
                    if let Some(job) = pending.postpone(jobs, clock::now()) {
                        warn!(self.node.log,
                            "owner: progress rejected; the job waits";
                            "job" => %job);
                    }
                }
                Written::Ended => return,
            }
        }
    }

    /// Returns whether there is progress to write or to remove.
    fn has_changes(&self) -> bool {
        self.engine.borrow().has_dirty()
            || self.job_rows.borrow().has_progress_left()
    }

    /// Returns the changes of as many jobs as fit in a transaction; `None` if
    /// there are none.
    fn next_batch(
        &self,
        sequence: u64,
        pending: &mut PendingRows,
    ) -> Option<Batch> {
        let mut engine = self.engine.borrow_mut();
        let mut rows = Vec::new();
        let mut versions = Vec::new();
        let mut jobs = BTreeSet::new();
        let mut bytes = 0;
        while jobs.len() < pending.max_rows() {
            let job = pending.take_next();
            let job = job.or_else(|| engine.take_dirty(1).pop());
            let Some(job) = job else { break };
            if jobs.contains(&job) {
                continue;
            }
            let Some((version, progress)) = engine.progress(job) else {
                continue;
            };
            let row =
                RowWrite { name: progress_row(job), value: encode(&progress) };
            bytes += row_bytes(&row.value);
            if bytes > MAX_BATCH_BYTES && !jobs.is_empty() {
                pending.put_back(job);
                break;
            }
            jobs.insert(job);
            versions.push((job, version));
            rows.push(row);
        }
        let limit = pending.max_rows() - jobs.len();
        let mut removed = self.job_rows.borrow().progress_left(limit);
        removed.retain(|job| !jobs.contains(job));
        if jobs.is_empty() && removed.is_empty() {
            return None;
        }
        let record = HeadRecord { term: self.term, sequence };
        let head = RowWrite { name: head_row(), value: encode(&record) };
        Some(Batch {
            transaction: Transaction {
                expect: Vec::new(),
                writes: std::iter::once(head).chain(rows).collect(),
                removes: removed
                    .iter()
                    .map(|job| progress_row(*job))
                    .collect(),
            },
            versions,
            removed,
        })
    }

    /// Tries to write a batch until it succeeds, and updates the version of
    /// the head row. If that already has the batch's `sequence`, an earlier try
    /// succeeded.
    async fn write_batch(
        self: &Rc<Owner>,
        batch: &mut Batch,
        sequence: u64,
        head_version: &mut u64,
        times: &AnswerTimes,
    ) -> Written {
        let mut failures = 0u32;
        while self.alive.get() {
            batch.transaction.expect = vec![RowExpectation {
                name: head_row(),
                version: *head_version,
            }];
            let sent_at = clock::now();
            let result = transact(&self.node, times, &batch.transaction).await;
            let took_ms = clock::now().ms_since(sent_at);
            match result {
                Ok(TransactionOutcome::Applied(version)) => {
                    self.node.metrics.progress_write.record_ms(took_ms);
                    *head_version = version;
                    self.finish_batch(batch, version);
                    return Written::Done;
                }
                Ok(TransactionOutcome::Conflict(rows)) => {
                    let row = rows.iter().find(|row| row.name == head_row());
                    let Some(row) = row else {
                        failures += 1;
                        clock::pause(retry_ms(failures)).await;
                        continue;
                    };
                    let found: HeadRecord = row
                        .value
                        .as_deref()
                        .and_then(decode)
                        .unwrap_or_default();
                    if found.term != self.term {
                        warn!(self.node.log,
                            "owner: replaced in the head row; stepping down";
                            "term" => self.term, "by_term" => found.term);
                        self.end();
                        return Written::Ended;
                    }
                    *head_version = row.version;
                    if found.sequence == sequence {
                        self.finish_batch(batch, row.version);
                        return Written::Done;
                    }
                }
                Err(StoreError::Rejected(_)) if !batch.versions.is_empty() => {
                    Metrics::count(&self.node.metrics.store_failures);
                    return Written::Rejected;
                }
                Err(err) => {
                    Metrics::count(&self.node.metrics.store_failures);
                    failures += 1;
                    // Logs the first failure, then each power of two.
                    if u32::is_power_of_two(failures) {
                        warn!(self.node.log,
                            "owner: progress not written; retrying";
                            "sequence" => sequence,
                            "rows" => batch.versions.len(),
                            "failures" => failures,
                            "took_ms" => took_ms, "reason" => %err);
                    }
                    clock::pause(retry_ms(failures)).await;
                }
            }
        }
        Written::Ended
    }

    /// Reports a batch that was written at a version to the engine, and sends
    /// the orders that waited for it.
    fn finish_batch(self: &Rc<Owner>, batch: &Batch, version: u64) {
        for job in &batch.removed {
            self.job_rows.borrow_mut().record_removed(*job, version);
        }
        let now = clock::moment();
        let mut engine = self.engine.borrow_mut();
        for (job, version) in &batch.versions {
            engine.mark_committed(*job, *version, now);
        }
        let effects = engine.take_effects();
        drop(engine);
        if self.alive.get() {
            self.perform(effects);
        }
        self.committed.notify_waiters();
        self.wake.notify_one();
    }
}

/// Returns the pause after this many failed writes of a batch.
fn retry_ms(failures: u32) -> u64 {
    (RETRY_MS * u64::from(failures)).min(MAX_RETRY_MS)
}
