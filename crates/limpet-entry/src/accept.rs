//! Acceptance of submissions: writes them to the store in batches.
//!
//! Each batch is a transaction to one part of the table of jobs, on the
//! condition that none of its jobs exists yet.

use std::{
    cell::{Cell, RefCell},
    collections::VecDeque,
    rc::Rc,
    time::Duration,
};

use limpet_adapter::{
    RowExpectation, RowWrite, StoreError, Transaction, TransactionOutcome,
};
use limpet_core::TimeMs;
use limpet_workflow::{JobKey, JobRecord};
use tokio::sync::oneshot;

use crate::{
    clock,
    metrics::Metrics,
    node::Node,
    rows::{MAX_BATCH_BYTES, PARTS, Part, encode_job, job_row, row_bytes},
    store_wait::{AnswerTimes, CLIENT_PROBE_MS, transact},
};

/// The maximum number of concurrent transactions to one part.
const MAX_IN_FLIGHT: u32 = 3;
/// The maximum number of submissions in a transaction; the store allows 100
/// entries.
const MAX_BATCH: usize = 40;
/// The pause after the store rejected a transaction.
const RETRY_MS: u64 = 40;

/// The outcome of a submission.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Acceptance {
    /// The job is durable.
    Accepted,
    /// An earlier submission of the same job is durable.
    Known,
    /// The job is not in the store and will not be.
    Refused,
    /// The job may be in the store, or may still be written.
    Uncertain,
}

/// The queues of submissions to write, by part.
#[derive(Debug)]
pub struct Acceptor {
    parts: [PartQueue; PARTS as usize],
    times: AnswerTimes,
}

impl Default for Acceptor {
    fn default() -> Acceptor {
        Acceptor {
            parts: std::array::from_fn(|_| PartQueue::default()),
            times: AnswerTimes::default(),
        }
    }
}

impl Acceptor {
    /// Returns the answer times of transactions to the table of jobs.
    pub fn times(&self) -> &AnswerTimes {
        &self.times
    }
}

/// The queue of submissions to one part.
#[derive(Debug, Default)]
struct PartQueue {
    waiting: RefCell<VecDeque<Submission>>,
    /// The number of tasks that write submissions of the queue, each with one
    /// transaction at a time.
    in_flight: Cell<u32>,
}

/// A submission that has no outcome yet.
#[derive(Debug)]
struct Submission {
    job: JobKey,
    /// Distinguishes it from other submissions of the same job.
    nonce: u64,
    /// The encoded record of the job.
    value: Vec<u8>,
    /// The time until which writes are retried.
    deadline: TimeMs,
    /// Whether a transaction with it had no answer, so that it may have been
    /// written.
    uncertain: bool,
    /// Receives the outcome.
    done: oneshot::Sender<Acceptance>,
}

/// Writes a job to the store. Retries until it succeeds, `deadline` passes or
/// the store is lost.
pub async fn accept_job(
    node: &Rc<Node>,
    job: JobKey,
    record: &JobRecord,
    deadline: TimeMs,
) -> Acceptance {
    if node.store_is_lost() {
        return Acceptance::Refused;
    }
    let (done, outcome) = oneshot::channel();
    let submission = Submission {
        job,
        nonce: record.submission,
        value: encode_job(record),
        deadline,
        uncertain: false,
        done,
    };
    let part = Part::of(job);
    let queue = &node.acceptor.parts[usize::from(part.0)];
    queue.waiting.borrow_mut().push_back(submission);
    if queue.in_flight.get() < MAX_IN_FLIGHT {
        queue.in_flight.set(queue.in_flight.get() + 1);
        actix_rt::spawn(drain_part(Rc::clone(node), part));
    }
    outcome.await.unwrap_or(Acceptance::Uncertain)
}

/// Writes the queued submissions of a part until none is left.
async fn drain_part(node: Rc<Node>, part: Part) {
    let queue = &node.acceptor.parts[usize::from(part.0)];
    loop {
        let batch: Vec<Submission> = {
            let mut waiting = queue.waiting.borrow_mut();
            let count = batch_len(&waiting);
            waiting.drain(..count).collect()
        };
        if batch.is_empty() {
            break;
        }
        // Each submission is written alone after the store rejected them.
        for submission in write_batch(&node, batch).await {
            write_batch(&node, vec![submission]).await;
        }
    }
    queue.in_flight.set(queue.in_flight.get() - 1);
}

/// Returns how many of the first submissions fit in a transaction, at least
/// one.
fn batch_len(waiting: &VecDeque<Submission>) -> usize {
    let mut bytes = 0;
    let fitting = waiting.iter().take(MAX_BATCH).take_while(|submission| {
        bytes += row_bytes(&submission.value);
        bytes <= MAX_BATCH_BYTES
    });
    fitting.count().max(1).min(waiting.len())
}

/// Writes a batch until each of its submissions has an outcome. Returns the
/// submissions, without one, if the store rejects several together.
async fn write_batch(
    node: &Node,
    mut batch: Vec<Submission>,
) -> Vec<Submission> {
    while !batch.is_empty() {
        let transaction = transaction_of(&batch);
        match transact(
            node,
            &node.acceptor.times,
            &transaction,
            CLIENT_PROBE_MS,
        )
        .await
        {
            Ok(TransactionOutcome::Applied(_)) => {
                for submission in batch.drain(..) {
                    submission.respond(Acceptance::Accepted);
                }
            }
            Ok(TransactionOutcome::Conflict(rows)) => {
                batch = respond_known(batch, &rows);
            }
            Err(StoreError::Rejected(_)) if batch.len() > 1 => return batch,
            Err(StoreError::Rejected(_)) => {
                batch = respond_expired(batch, false, true);
            }
            Err(err) => {
                Metrics::count(&node.metrics.store_failures);
                let unknown = !matches!(err, StoreError::NoEffect(_));
                batch = respond_expired(batch, unknown, node.store_is_lost());
                if !batch.is_empty() && !unknown {
                    let pause = Duration::from_millis(RETRY_MS);
                    actix_rt::time::sleep(pause).await;
                }
            }
        }
    }
    batch
}

/// Returns a transaction that writes each job if it does not exist.
fn transaction_of(batch: &[Submission]) -> Transaction {
    Transaction {
        expect: batch
            .iter()
            .map(|submission| RowExpectation {
                name: job_row(submission.job),
                version: 0,
            })
            .collect(),
        writes: batch
            .iter()
            .map(|submission| RowWrite {
                name: job_row(submission.job),
                value: submission.value.clone(),
            })
            .collect(),
        removes: Vec::new(),
    }
}

/// Responds to the submissions whose job already exists, and returns the
/// others.
fn respond_known(
    batch: Vec<Submission>,
    rows: &[limpet_adapter::Row],
) -> Vec<Submission> {
    let mut left = Vec::new();
    for submission in batch {
        let name = job_row(submission.job);
        let found = rows
            .iter()
            .find(|row| row.name == name && row.version != 0)
            .and_then(|row| row.value.as_ref());
        let Some(value) = found else {
            left.push(submission);
            continue;
        };
        let nonce = crate::rows::decode::<JobRecord>(value)
            .map(|record| record.submission);
        let ours = nonce == Some(submission.nonce);
        submission.respond(if ours {
            Acceptance::Accepted
        } else {
            Acceptance::Known
        });
    }
    left
}

/// Responds to the submissions whose deadline has passed, and returns the
/// others. If the store is lost, responds to all of them at once: another
/// instance may reach it. `unknown` tells that the batch may have been
/// written.
fn respond_expired(
    batch: Vec<Submission>,
    unknown: bool,
    is_lost: bool,
) -> Vec<Submission> {
    let now = clock::now();
    let mut left = Vec::new();
    for mut submission in batch {
        submission.uncertain |= unknown;
        if now < submission.deadline && !is_lost {
            left.push(submission);
        } else if submission.uncertain {
            submission.respond(Acceptance::Uncertain);
        } else {
            submission.respond(Acceptance::Refused);
        }
    }
    left
}

impl Submission {
    /// Sends the outcome to the client's request.
    fn respond(self, acceptance: Acceptance) {
        // Sending fails if the client disconnected; the outcome is the same.
        self.done.send(acceptance).ok();
    }
}
