//! Jobs whose outcome was kept for long enough.

use std::rc::Rc;

use limpet_adapter::{RowName, Transaction};
use limpet_workflow::JobKey;
use slog::{info, warn};

use super::Owner;
use crate::{
    clock,
    rows::{Part, cancel_row, job_row, progress_row},
};

/// Jobs in one transaction; each takes two entries of the 100 that the store
/// allows.
const MAX_JOBS: usize = 45;
/// How long a transaction may take.
const CALL_TIMEOUT_MS: u64 = 1_200;

impl Owner {
    /// Removes the rows of jobs that are forgotten. Rows that could not be
    /// removed are seen again, as ended jobs, by the next owner.
    pub(super) async fn forget_jobs(self: &Rc<Owner>) {
        let expired = self.engine.borrow_mut().take_expired(clock::now());
        if expired.is_empty() {
            return;
        }
        info!(self.node.log, "jobs: forgotten"; "jobs" => expired.len());
        for part in Part::all() {
            let jobs: Vec<JobKey> = expired
                .iter()
                .copied()
                .filter(|job| Part::of(*job) == part)
                .collect();
            for some in jobs.chunks(MAX_JOBS) {
                // Without its job's row, a progress row names nothing.
                let rows = some
                    .iter()
                    .flat_map(|job| [job_row(*job), cancel_row(*job)]);
                if self.remove(rows.collect()).await {
                    let rows = some.iter().map(|job| progress_row(*job));
                    self.remove(rows.collect()).await;
                }
            }
        }
    }

    async fn remove(&self, removes: Vec<RowName>) -> bool {
        let transaction = Transaction { removes, ..Transaction::default() };
        let store = &self.node.store;
        let result = store.transact(&transaction, CALL_TIMEOUT_MS).await;
        if let Err(err) = &result {
            warn!(self.node.log, "jobs: not removed"; "reason" => %err);
        }
        result.is_ok()
    }
}
