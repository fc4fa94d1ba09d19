//! Removes jobs whose retention period is over, and cancellations that no job
//! has followed.
//!
//! A job's row goes first, as progress without it is ignored, and a job
//! without progress would be taken as new. The progress is removed with the
//! owner's writes. The engine drops the job last: see [`super::job_rows`].

use std::{collections::BTreeMap, rc::Rc};

use futures::{StreamExt, stream};
use limpet_adapter::{
    RowExpectation, RowName, Transaction, TransactionOutcome,
};
use limpet_workflow::JobKey;
use slog::{info, warn};

use super::{Owner, load::SLOW_PARTS_AT_ONCE};
use crate::{
    clock,
    rows::{Part, cancel_row, job_row},
};

/// The maximum number of jobs in a transaction. Each takes three of the 100
/// entries that the store allows.
const MAX_JOBS: usize = 30;
/// The maximum number of cancellations in a transaction. Each takes three
/// entries as well.
const MAX_CANCELS: usize = 33;
/// The time-out of a transaction.
const CALL_TIMEOUT_MS: u64 = 1_200;

impl Owner {
    /// Removes the rows of expired jobs. A job whose row could not be removed
    /// stays, and the next call tries again.
    pub(super) async fn expire_jobs(self: &Rc<Owner>) {
        let expired: Vec<(JobKey, u64)> = {
            let job_rows = self.job_rows.borrow();
            let expired = self.engine.borrow().expired(clock::now());
            expired
                .into_iter()
                .filter_map(|job| Some((job, job_rows.version(job)?)))
                .collect()
        };
        if expired.is_empty() {
            return;
        }
        info!(self.node.log, "jobs: retention over; removing their rows";
            "jobs" => expired.len());
        for part in Part::all() {
            let jobs: Vec<(JobKey, u64)> = expired
                .iter()
                .copied()
                .filter(|(job, _)| Part::of(*job) == part)
                .collect();
            for chunk in jobs.chunks(MAX_JOBS) {
                self.remove_rows(chunk).await;
            }
        }
        self.dirty.notify_one();
    }

    /// Removes the rows of jobs of one part, if they have these versions. A
    /// job that was submitted anew keeps its rows, however late the store
    /// carries the removal out.
    async fn remove_rows(&self, jobs: &[(JobKey, u64)]) {
        let transaction = Transaction {
            expect: jobs
                .iter()
                .map(|(job, version)| RowExpectation {
                    name: job_row(*job),
                    version: *version,
                })
                .collect(),
            writes: Vec::new(),
            removes: jobs
                .iter()
                .flat_map(|(job, _)| [job_row(*job), cancel_row(*job)])
                .collect(),
        };
        let store = &self.node.store;
        let result = store.transact(&transaction, CALL_TIMEOUT_MS).await;
        let mut job_rows = self.job_rows.borrow_mut();
        match result {
            Ok(TransactionOutcome::Applied(_)) => {
                for (job, version) in jobs {
                    job_rows.record_gone(*job, *version);
                }
            }
            Ok(TransactionOutcome::Conflict(rows)) => {
                // An earlier removal had an effect after all.
                for (job, version) in jobs {
                    let name = job_row(*job);
                    let found = rows.iter().find(|row| row.name == name);
                    if found.is_some_and(|row| row.version != *version) {
                        job_rows.record_gone(*job, *version);
                    }
                }
            }
            Err(err) => {
                warn!(self.node.log, "jobs: rows not removed; retrying";
                    "jobs" => jobs.len(), "reason" => %err);
            }
        }
    }

    /// Removes the rows of cancellations that no job has followed. One whose
    /// row could not be removed stays, and a later call tries again.
    pub(super) async fn expire_early_cancels(&self) {
        let expired = self.early_cancels.borrow().expired(clock::now());
        if expired.is_empty() {
            return;
        }
        info!(self.node.log,
            "cancellations: no job has followed; removing their rows";
            "jobs" => expired.len());
        let mut by_part: BTreeMap<u8, Vec<(JobKey, u64)>> = BTreeMap::new();
        for (job, version) in expired {
            by_part.entry(Part::of(job).0).or_default().push((job, version));
        }
        let chunks = by_part.values().flat_map(|c| c.chunks(MAX_CANCELS));
        stream::iter(chunks)
            .for_each_concurrent(SLOW_PARTS_AT_ONCE, |chunk| {
                self.remove_cancels(chunk)
            })
            .await;
    }

    /// Removes the rows of cancellations of one part, if they have these
    /// versions and their jobs have no rows. A submission that is written at
    /// the same time is cancelled by them, or is a new job.
    async fn remove_cancels(&self, cancels: &[(JobKey, u64)]) {
        let expect = cancels.iter().flat_map(|(job, version)| {
            let of_job = RowExpectation { name: job_row(*job), version: 0 };
            let name = cancel_row(*job);
            [of_job, RowExpectation { name, version: *version }]
        });
        let transaction = Transaction {
            expect: expect.collect(),
            writes: Vec::new(),
            removes: cancels.iter().map(|(job, _)| cancel_row(*job)).collect(),
        };
        let store = &self.node.store;
        let result = store.transact(&transaction, CALL_TIMEOUT_MS).await;
        let mut early_cancels = self.early_cancels.borrow_mut();
        match result {
            Ok(TransactionOutcome::Applied(_)) => {
                for (job, version) in cancels {
                    early_cancels.forget(*job, *version);
                }
            }
            Ok(TransactionOutcome::Conflict(rows)) => {
                let version_of = |name: RowName| {
                    let found = rows.iter().find(|row| row.name == name);
                    found.map_or(0, |row| row.version)
                };
                for (job, version) in cancels {
                    let found = version_of(cancel_row(*job));
                    if version_of(job_row(*job)) != 0 || found > *version {
                        // The feed tells of the change.
                        early_cancels.renew(*job, clock::now());
                    } else if found == 0 {
                        // An earlier removal had an effect after all.
                        early_cancels.forget(*job, *version);
                    }
                }
            }
            Err(err) => {
                warn!(self.node.log,
                    "cancellations: rows not removed; retrying";
                    "jobs" => cancels.len(), "reason" => %err);
            }
        }
    }
}
