//! How long the answer to a transaction is waited for.
//!
//! A transaction without an answer may wait in the store's queue, or its
//! answer may be lost. Sent again while it waits, it makes the queue longer,
//! and a store that is only slow accepts nothing any more. A read, which
//! waits in no queue, tells the two from each other, and both from a store
//! that is gone.

use std::{cell::Cell, future::Future, pin::pin, time::Duration};

use actix_rt::time::timeout;
use futures::future::{Either, select};
use limpet_adapter::{StoreError, Transaction, TransactionOutcome};
use tokio::time::Instant;

use crate::{clock, node::Node, rows::owner_row};

/// The minimum time-out. The time-out adapts to the store's answer times.
const MIN_TIMEOUT_MS: u64 = 150;
/// The maximum time-out.
const MAX_TIMEOUT_MS: u64 = 1_200;
/// The time-out as a multiple of the average answer time.
const TIMEOUT_FACTOR: f64 = 8.0;
/// The time-out as a multiple of the answer time of a probe.
const PROBE_FACTOR: u64 = 6;
/// A transaction without an answer for this long is followed by a probe.
const PROBE_AFTER_MS: u64 = 100;
/// The time-out of a probe for a call that a client waits for, which another
/// instance may serve. Together with [`PROBE_AFTER_MS`] the time after which a
/// store that answers nothing counts as lost.
pub const CLIENT_PROBE_MS: u64 = 300;
/// The time-out of a probe for a write of the owner, which no other instance
/// can make. A store that is 90 times as slow as usual answers a read sooner.
pub const OWNER_PROBE_MS: u64 = 900;

/// The answer times of the store's transactions, from which time-outs follow.
#[derive(Debug, Default)]
pub struct AnswerTimes {
    /// The moving average.
    average_ms: Cell<f64>,
}

impl AnswerTimes {
    /// Returns the time-out for the next transaction.
    fn timeout_ms(&self) -> u64 {
        let timeout_ms = (self.average_ms.get() * TIMEOUT_FACTOR) as u64;
        timeout_ms.clamp(MIN_TIMEOUT_MS, MAX_TIMEOUT_MS)
    }

    /// Adds an answer time, or the time of a wait without an answer.
    fn record(&self, took_ms: u64) {
        let average_ms = self.average_ms.get();
        self.average_ms.set(average_ms * 0.8 + took_ms as f64 * 0.2);
    }
}

/// What a wait for an answer led to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Waited<T> {
    /// The answer.
    Answered(T),
    /// The store answers reads, but not this call for much longer than that:
    /// the answer is probably lost.
    Late,
    /// The store answers nothing.
    Silent,
}

/// Waits for the answer to a call, of which the request takes up to
/// `upload_ms` to send. `probe` is a read, and returns whether the store
/// answered it; it is made only if the answer is late.
pub async fn wait_for_answer<T>(
    call: impl Future<Output = T>,
    probe: impl Future<Output = bool>,
    times: &AnswerTimes,
    upload_ms: u64,
) -> Waited<T> {
    let sent_at = Instant::now() + Duration::from_millis(upload_ms);
    let mut call = pin!(call);
    let quiet = Duration::from_millis(upload_ms + PROBE_AFTER_MS);
    if let Ok(answer) = timeout(quiet, &mut call).await {
        times.record(passed_ms(sent_at));
        return Waited::Answered(answer);
    }
    let probed_at = Instant::now();
    let is_answered = match select(&mut call, pin!(probe)).await {
        Either::Left((answer, _)) => {
            times.record(passed_ms(sent_at));
            return Waited::Answered(answer);
        }
        Either::Right((is_answered, _)) => is_answered,
    };
    if !is_answered {
        return Waited::Silent;
    }
    let limit_ms = times.timeout_ms().max(PROBE_FACTOR * passed_ms(probed_at));
    let until = sent_at + Duration::from_millis(limit_ms.min(MAX_TIMEOUT_MS));
    let left = until.saturating_duration_since(Instant::now());
    let answer = timeout(left, &mut call).await;
    times.record(passed_ms(sent_at));
    answer.map_or(Waited::Late, Waited::Answered)
}

fn passed_ms(since: Instant) -> u64 {
    since.elapsed().as_millis() as u64
}

/// Applies a transaction, with the time-out that follows from the store's
/// answer times, and records whether the store answers. A probe waits for up
/// to `probe_ms`.
///
/// # Errors
///
/// As [`limpet_adapter::Store::transact`].
pub async fn transact(
    node: &Node,
    times: &AnswerTimes,
    transaction: &Transaction,
    probe_ms: u64,
) -> Result<TransactionOutcome, StoreError> {
    let sent_at = clock::now();
    let call = node.store.transact(transaction, MAX_TIMEOUT_MS);
    let probe = async {
        let row = owner_row();
        node.store.read_row(&row, probe_ms).await.is_ok()
    };
    let upload_ms = transaction.upload_ms();
    match wait_for_answer(call, probe, times, upload_ms).await {
        Waited::Answered(result) => {
            node.record_store_call(result.is_ok());
            result
        }
        Waited::Late => {
            node.record_store_call(true);
            Err(StoreError::Unknown("no answer, unlike a read".to_owned()))
        }
        Waited::Silent => {
            node.record_store_silence(sent_at);
            Err(StoreError::Unknown("no answer, nor to a read".to_owned()))
        }
    }
}
