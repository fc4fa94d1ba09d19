//! Removes jobs whose retention period is over.

use std::rc::Rc;

use limpet_adapter::{RowName, Transaction};
use limpet_workflow::JobKey;
use slog::{info, warn};

use super::Owner;
use crate::{
    clock,
    rows::{Part, cancel_row, job_row, progress_row},
};

/// The maximum number of jobs in a transaction. Each takes two of the 100
/// entries that the store allows.
const MAX_JOBS: usize = 45;
/// The time-out of a transaction.
const CALL_TIMEOUT_MS: u64 = 1_200;

impl Owner {
    /// Removes expired jobs from the engine and the store. A job whose row
    /// could not be removed is loaded by the next owner as an ended job.
    pub(super) async fn expire_jobs(self: &Rc<Owner>) {
        let expired = self.engine.borrow_mut().take_expired(clock::now());
        if expired.is_empty() {
            return;
        }
        info!(self.node.log, "jobs: retention over; removing their rows";
            "jobs" => expired.len());
        for part in Part::all() {
            let jobs: Vec<JobKey> = expired
                .iter()
                .copied()
                .filter(|job| Part::of(*job) == part)
                .collect();
            for chunk in jobs.chunks(MAX_JOBS) {
                // The job's row goes first: progress without it is ignored.
                let rows = chunk
                    .iter()
                    .flat_map(|job| [job_row(*job), cancel_row(*job)]);
                if self.remove(rows.collect()).await {
                    let rows = chunk.iter().map(|job| progress_row(*job));
                    self.remove(rows.collect()).await;
                }
            }
        }
    }

    /// Removes rows. Returns whether it succeeded.
    async fn remove(&self, removes: Vec<RowName>) -> bool {
        let transaction = Transaction { removes, ..Transaction::default() };
        let store = &self.node.store;
        let result = store.transact(&transaction, CALL_TIMEOUT_MS).await;
        if let Err(err) = &result {
            warn!(self.node.log,
                "jobs: rows not removed; left to the next owner";
                "reason" => %err);
        }
        result.is_ok()
    }
}
