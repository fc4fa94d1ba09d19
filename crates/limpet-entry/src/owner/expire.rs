//! Removes jobs whose retention period is over.
//!
//! The job's row goes first, as progress without it is ignored, and a job
//! without progress would be taken as new. The progress is removed with the
//! owner's writes. The engine drops the job last: see [`super::job_rows`].

use std::rc::Rc;

use limpet_adapter::{RowExpectation, Transaction, TransactionOutcome};
use limpet_workflow::JobKey;
use slog::{info, warn};

use super::Owner;
use crate::{
    clock,
    rows::{Part, cancel_row, job_row},
};

/// The maximum number of jobs in a transaction. Each takes three of the 100
/// entries that the store allows.
const MAX_JOBS: usize = 30;
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
}
