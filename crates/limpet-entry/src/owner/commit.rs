//! Writes the progress of jobs, one transaction at a time for each lane.
//!
//! Each transaction is conditional on the version of its lane's head row and
//! replaces it. A takeover replaces all head rows before it reads, so an
//! earlier owner can no longer write. `docs/design/progress-lanes.md` argues
//! this.

use std::{collections::BTreeSet, rc::Rc, time::Duration};

use limpet_adapter::{
    RowExpectation, RowWrite, StoreError, Transaction, TransactionOutcome,
};
use limpet_workflow::{CommitWait, JobKey};
use slog::warn;

use super::{Owner, pending_rows::REJECTED_RETRY_MS};
use crate::{
    clock,
    metrics::Metrics,
    progress_row::{ProgressRecord, ProgressStamp, encode_progress},
    rows::{
        HeadRecord, Lane, MAX_BATCH_BYTES, decode, encode, head_row,
        progress_row, row_bytes,
    },
    store_wait::{OWNER_PROBE_MS, transact},
};

/// The maximum number of rows in a transaction beside the head row; the store
/// allows 100 entries.
pub(super) const MAX_ROWS: usize = 90;
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
    lane: Lane,
    /// The number of the write in the lane.
    sequence: u64,
    transaction: Transaction,
    /// Each job with its version.
    versions: Vec<(JobKey, u64)>,
    /// The jobs whose progress it removes.
    removed: Vec<JobKey>,
}

impl Batch {
    fn jobs(&self) -> impl Iterator<Item = JobKey> {
        self.versions.iter().map(|(job, _)| *job)
    }
}

impl Owner {
    /// Writes the progress of changed jobs until the ownership ends.
    pub(super) async fn write_progress(self: Rc<Owner>) {
        while self.alive.get() {
            let now = clock::now();
            self.pending.borrow_mut().retry_rejected(now);
            let Some(lane) = self.lane_to_write() else {
                self.wait_for_changes().await;
                continue;
            };
            let pause_ms = self.lanes.pause_ms(now);
            if pause_ms > 0 {
                let pause = Duration::from_millis(pause_ms);
                let freed = self.lane_freed.notified();
                actix_rt::time::timeout(pause, freed).await.ok();
                continue;
            }
            if self.engine.borrow().wait_counts().is_empty() {
                clock::pause(CALM_GATHER_MS).await;
            }
            let Some(batch) = self.next_batch(lane) else { continue };
            self.lanes.begin(lane, batch.jobs(), clock::now());
            actix_rt::spawn(Rc::clone(&self).write(batch));
        }
    }

    /// Waits until a job changes, and then a little for further changes.
    async fn wait_for_changes(&self) {
        let notified = self.dirty.notified();
        if !self.pending.borrow().has_rejected() {
            notified.await;
        } else {
            let pause = Duration::from_millis(REJECTED_RETRY_MS);
            actix_rt::time::timeout(pause, notified).await.ok();
        }
        clock::pause(GATHER_MS).await;
    }

    /// Writes a batch and frees its lane.
    async fn write(self: Rc<Owner>, mut batch: Batch) {
        let written = self.write_batch(&mut batch).await;
        let was_applied = !matches!(written, Written::Rejected);
        let now = clock::now();
        self.lanes.finish(batch.lane, batch.jobs(), was_applied, now);
        match written {
            Written::Done => self.pending.borrow_mut().grow(),
            Written::Rejected => {
                let mut pending = self.pending.borrow_mut();
                if let Some(job) = pending.postpone(batch.jobs(), now) {
                    warn!(self.node.log,
                        "owner: progress rejected; the job waits";
                        "job" => %job);
                }
            }
            Written::Ended => {}
        }
        self.dirty.notify_one();
        self.lane_freed.notify_one();
    }

    /// Returns whether a changed job may be written now. Where nobody waits
    /// for its changes, the pending write of earlier ones comes first.
    fn may_write(&self, job: JobKey, wait: CommitWait) -> bool {
        wait < CommitWait::Nobody || !self.lanes.is_in_flight(job)
    }

    /// Returns the lane of the next batch; `None` if no lane is free or there
    /// is nothing to write or to remove now.
    fn lane_to_write(&self) -> Option<Lane> {
        let has_rows = !self.pending.borrow().is_empty()
            || self
                .engine
                .borrow()
                .has_dirty(&|job, wait| self.may_write(job, wait));
        let job_rows = self.job_rows.borrow();
        self.lanes.next(|lane| has_rows || job_rows.has_progress_left(lane))
    }

    /// Returns the changes of as many jobs as fit in a transaction; `None` if
    /// there are none.
    fn next_batch(&self, lane: Lane) -> Option<Batch> {
        let mut engine = self.engine.borrow_mut();
        let mut pending = self.pending.borrow_mut();
        let mut job_rows = self.job_rows.borrow_mut();
        let mut taken = engine
            .take_dirty(pending.max_rows(), &|job, wait| {
                self.may_write(job, wait)
            })
            .into_iter();
        let mut rows = Vec::new();
        let mut versions = Vec::new();
        let mut jobs = BTreeSet::new();
        let mut bytes = 0;
        while jobs.len() < pending.max_rows() {
            let job = pending.take_next().or_else(|| taken.next());
            let Some(job) = job else { break };
            if jobs.contains(&job) {
                continue;
            }
            let Some((version, progress)) = engine.progress(job) else {
                continue;
            };
            let submission = job_rows.version(job).unwrap_or_default();
            let stamp = ProgressStamp { submission, term: self.term, version };
            let row = RowWrite {
                name: progress_row(lane, job),
                value: encode_progress(&ProgressRecord { progress, stamp }),
            };
            bytes += row_bytes(&row.value);
            if bytes > MAX_BATCH_BYTES && !jobs.is_empty() {
                pending.put_back(job);
                break;
            }
            jobs.insert(job);
            job_rows.record_lane(job, lane);
            versions.push((job, version));
            rows.push(row);
        }
        for job in taken {
            engine.return_dirty(job);
        }
        let limit = pending.max_rows().saturating_sub(jobs.len());
        let mut removed = job_rows.progress_left(lane, limit);
        removed.retain(|job| !jobs.contains(job));
        if jobs.is_empty() && removed.is_empty() {
            return None;
        }
        let sequence = self.lanes.next_sequence(lane);
        let record = HeadRecord { term: self.term, sequence };
        let head = RowWrite { name: head_row(lane), value: encode(&record) };
        Some(Batch {
            lane,
            sequence,
            transaction: Transaction {
                expect: Vec::new(),
                writes: std::iter::once(head).chain(rows).collect(),
                removes: removed
                    .iter()
                    .map(|job| progress_row(lane, *job))
                    .collect(),
            },
            versions,
            removed,
        })
    }

    /// Tries to write a batch until it succeeds, and updates the version of
    /// the head row. If that already has the batch's `sequence`, an earlier try
    /// succeeded.
    async fn write_batch(self: &Rc<Owner>, batch: &mut Batch) -> Written {
        let Batch { lane, sequence, .. } = *batch;
        let times = &self.answer_times;
        let mut failures = 0u32;
        while self.alive.get() {
            batch.transaction.expect = vec![RowExpectation {
                name: head_row(lane),
                version: self.lanes.head_version(lane),
            }];
            let sent_at = clock::now();
            let result = transact(
                &self.node,
                times,
                &batch.transaction,
                OWNER_PROBE_MS,
            )
            .await;
            let took_ms = clock::now().ms_since(sent_at);
            match result {
                Ok(TransactionOutcome::Applied(version)) => {
                    self.lanes.record_refusal(false);
                    self.node.metrics.progress_write.record_ms(took_ms);
                    self.lanes.set_head_version(lane, version);
                    self.finish_batch(batch, version);
                    return Written::Done;
                }
                Ok(TransactionOutcome::Conflict(rows)) => {
                    let row =
                        rows.iter().find(|row| row.name == head_row(lane));
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
                    self.lanes.set_head_version(lane, row.version);
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
                    let is_refusal = matches!(err, StoreError::NoEffect(_));
                    self.lanes.record_refusal(is_refusal);
                    Metrics::count(&self.node.metrics.store_failures);
                    failures += 1;
                    // Logs the first failure, then each power of two.
                    if u32::is_power_of_two(failures) {
                        warn!(self.node.log,
                            "owner: progress not written; retrying";
                            "lane" => lane.0, "sequence" => sequence,
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
            let mut job_rows = self.job_rows.borrow_mut();
            job_rows.record_removed(*job, batch.lane, version);
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
