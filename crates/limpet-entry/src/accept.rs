//! Submissions on their way to the store.

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
    rows::{PARTS, Part, encode, job_row},
};

/// Transactions to one part that an instance has under way.
const MAX_IN_FLIGHT: u32 = 3;
/// Submissions in one transaction; the store allows 100 entries.
const MAX_BATCH: usize = 40;
/// The pause after the store refused.
const RETRY_MS: u64 = 40;
/// The bounds of the time-out, which follows the store's answers.
const MIN_TIMEOUT_MS: u64 = 150;
const MAX_TIMEOUT_MS: u64 = 1_200;
/// A time-out is this many usual answer times long.
const TIMEOUT_FACTOR: f64 = 8.0;

/// What became of a submission.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Acceptance {
    /// It is durable.
    Accepted,
    /// A submission of the same job was durable before.
    Known,
    /// It is certainly not in the store and never will be.
    Refused,
    /// It may be in the store, or may come to be.
    Uncertain,
}

/// Submissions that wait, by part.
#[derive(Debug, Default)]
pub struct Acceptor {
    parts: [PartQueue; PARTS as usize],
    usual_ms: Cell<f64>,
}

#[derive(Debug, Default)]
struct PartQueue {
    waiting: RefCell<VecDeque<Submission>>,
    in_flight: Cell<u32>,
}

#[derive(Debug)]
struct Submission {
    job: JobKey,
    nonce: u64,
    value: Vec<u8>,
    deadline: TimeMs,
    uncertain: bool,
    done: oneshot::Sender<Acceptance>,
}

impl Acceptor {
    fn timeout_ms(&self) -> u64 {
        let usual = (self.usual_ms.get() * TIMEOUT_FACTOR) as u64;
        usual.clamp(MIN_TIMEOUT_MS, MAX_TIMEOUT_MS)
    }

    fn note_answer(&self, took_ms: u64) {
        let usual = self.usual_ms.get();
        self.usual_ms.set(usual * 0.8 + took_ms as f64 * 0.2);
    }
}

/// Makes a job durable, or says why not, until `deadline`.
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
        value: encode(record),
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

async fn drain_part(node: Rc<Node>, part: Part) {
    let queue = &node.acceptor.parts[usize::from(part.0)];
    loop {
        let batch: Vec<Submission> = {
            let mut waiting = queue.waiting.borrow_mut();
            let count = waiting.len().min(MAX_BATCH);
            waiting.drain(..count).collect()
        };
        if batch.is_empty() {
            break;
        }
        write_batch(&node, batch).await;
    }
    queue.in_flight.set(queue.in_flight.get() - 1);
}

async fn write_batch(node: &Node, mut batch: Vec<Submission>) {
    while !batch.is_empty() {
        let transaction = transaction_of(&batch);
        let timeout_ms = node.acceptor.timeout_ms();
        let sent_at = clock::now();
        let result = node.store.transact(&transaction, timeout_ms).await;
        node.note_store(result.is_ok());
        match result {
            Ok(TransactionOutcome::Applied(_)) => {
                node.acceptor.note_answer(clock::now().ms_since(sent_at));
                for one in batch.drain(..) {
                    one.settle(Acceptance::Accepted);
                }
            }
            Ok(TransactionOutcome::Conflict(rows)) => {
                node.acceptor.note_answer(clock::now().ms_since(sent_at));
                batch = settle_known(batch, &rows);
            }
            Err(err) => {
                Metrics::count(&node.metrics.store_failures);
                let unknown = !matches!(err, StoreError::NotDone(_));
                if unknown {
                    let took_ms = clock::now().ms_since(sent_at);
                    node.acceptor.note_answer(took_ms);
                }
                batch = give_up(batch, unknown, node.store_is_lost());
                if !batch.is_empty() && !unknown {
                    let pause = Duration::from_millis(RETRY_MS);
                    actix_rt::time::sleep(pause).await;
                }
            }
        }
    }
}

fn transaction_of(batch: &[Submission]) -> Transaction {
    Transaction {
        expect: batch
            .iter()
            .map(|one| RowExpectation { name: job_row(one.job), version: 0 })
            .collect(),
        writes: batch
            .iter()
            .map(|one| RowWrite {
                name: job_row(one.job),
                value: one.value.clone(),
            })
            .collect(),
        removes: Vec::new(),
    }
}

/// Answers the submissions whose job is in the store and returns the others.
fn settle_known(
    batch: Vec<Submission>,
    rows: &[limpet_adapter::Row],
) -> Vec<Submission> {
    let mut left = Vec::new();
    for one in batch {
        let name = job_row(one.job);
        let found = rows
            .iter()
            .find(|row| row.name == name && row.version != 0)
            .and_then(|row| row.value.as_ref());
        let Some(value) = found else {
            left.push(one);
            continue;
        };
        let nonce = crate::rows::decode::<JobRecord>(value)
            .map(|record| record.submission);
        let ours = nonce == Some(one.nonce);
        one.settle(if ours {
            Acceptance::Accepted
        } else {
            Acceptance::Known
        });
    }
    left
}

/// Answers the submissions whose deadline has passed, and all of them where
/// the store is lost: another instance may reach it.
fn give_up(
    batch: Vec<Submission>,
    unknown: bool,
    is_lost: bool,
) -> Vec<Submission> {
    let now = clock::now();
    let mut left = Vec::new();
    for mut one in batch {
        one.uncertain |= unknown;
        if now < one.deadline && !is_lost {
            left.push(one);
        } else if one.uncertain {
            one.settle(Acceptance::Uncertain);
        } else {
            one.settle(Acceptance::Refused);
        }
    }
    left
}

impl Submission {
    fn settle(self, acceptance: Acceptance) {
        // The client may have gone; its job stands all the same.
        self.done.send(acceptance).ok();
    }
}
