//! Cancellations of jobs: rows beside those of the jobs.
//!
//! The row is written whether or not the job's exists: a submission may be on
//! its way to the store, and be written after the cancellation is
//! acknowledged. The owner cancels a job whose cancellation is there before
//! it, and removes those that no job follows.
//! `docs/design/early-cancellations.md` argues this.

use limpet_adapter::{
    RowExpectation, RowWrite, StoreError, Transaction, TransactionOutcome,
};
use limpet_core::TimeMs;
use limpet_workflow::JobKey;

use crate::{
    clock,
    metrics::Metrics,
    node::Node,
    rows::{CancelRecord, cancel_row, encode, job_row},
    store_wait::{CLIENT_PROBE_MS, transact},
    stored_job::read_job,
};

/// The time-out of a read.
const READ_TIMEOUT_MS: u64 = 700;
/// The pause before another try.
const RETRY_MS: u64 = 40;

/// The outcome of a cancellation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Cancellation {
    /// It is durable, beside its job.
    Cancelled,
    /// It is durable, and there was no such job at that moment. One that is
    /// written later doesn't run.
    NoJob,
    /// It is not in the store and will not be.
    Refused,
    /// It may be in the store, or may still be written.
    Uncertain,
}

/// Writes the cancellation of a job to the store. Retries until it succeeds,
/// `deadline` passes or the store is lost.
pub async fn cancel_job(
    node: &Node,
    job: JobKey,
    deadline: TimeMs,
) -> Cancellation {
    let record = CancelRecord {
        requested_unix_ms: clock::unix_ms(),
        request: rand::random(),
    };
    let mut is_uncertain = false;
    loop {
        match try_cancel(node, job, record).await {
            Ok(Some(cancellation)) => return cancellation,
            Ok(None) => {}
            Err(err) => {
                Metrics::count(&node.metrics.store_failures);
                is_uncertain |= matches!(err, StoreError::Unknown(_));
            }
        }
        if clock::now() >= deadline || node.store_is_lost() {
            return match is_uncertain {
                true => Cancellation::Uncertain,
                false => Cancellation::Refused,
            };
        }
        clock::pause(RETRY_MS).await;
    }
}

/// Writes a cancellation on the condition that the job's row is as it was
/// read, so that the answer tells whether there was a job. Returns `None` if
/// the row has changed.
async fn try_cancel(
    node: &Node,
    job: JobKey,
    record: CancelRecord,
) -> Result<Option<Cancellation>, StoreError> {
    let stored = read_job(node, job, READ_TIMEOUT_MS).await?;
    let written = match stored.version {
        0 => Cancellation::NoJob,
        _ => Cancellation::Cancelled,
    };
    // An earlier try without an answer was carried out.
    if stored.cancel_request == record.request {
        return Ok(Some(written));
    }
    let transaction = Transaction {
        expect: vec![RowExpectation {
            name: job_row(job),
            version: stored.version,
        }],
        writes: vec![RowWrite {
            name: cancel_row(job),
            value: encode(&record),
        }],
        removes: Vec::new(),
    };
    let times = node.acceptor.times();
    match transact(node, times, &transaction, CLIENT_PROBE_MS).await? {
        TransactionOutcome::Applied(_) => Ok(Some(written)),
        TransactionOutcome::Conflict(_) => Ok(None),
    }
}
