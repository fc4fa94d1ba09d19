use std::{collections::VecDeque, rc::Rc, time::Duration};

use limpet_core::{
    Epoch, Error, ErrorKind, Result, ShardId, TimeMs, WorkerId,
    scheduler::Event,
};
use limpet_platform::{
    CommitAnswer, Condition, PortError, Transaction, WorkerCommand, Write,
};
use limpet_wire::SubmitAnswer;
use slog::{info, warn};
use tokio::sync::oneshot;

use super::{
    SharedState, key,
    owned_shard::OwnedShard,
    record::{Record, Segment},
    worker_link::{RunId, WorkerLink},
};
use crate::metrics::Counter;

/// The most records that one segment holds.
const SEGMENT_RECORDS: usize = 2_000;
/// The first wait before a write is tried again, in milliseconds.
const RETRY_FIRST_MS: u64 = 20;
/// The longest wait before a write is tried again, in milliseconds.
const RETRY_LAST_MS: u64 = 1_000;

/// What follows once a record is durable.
pub(super) enum Then {
    /// Nothing.
    Nothing,
    /// The submitter is answered.
    Answer(oneshot::Sender<Result<SubmitAnswer>>),
    /// A command that was waiting for its claim goes to its worker.
    Command(WorkerId, WorkerCommand),
    /// A worker may forget the end of a run.
    Acknowledge(WorkerId, RunId),
    /// Whoever cancelled or held jobs is answered.
    Confirm(oneshot::Sender<Result<()>>),
}

/// A record that waits for the table, and what follows.
pub(super) struct Pending {
    pub(super) record: Record,
    pub(super) then: Then,
}

impl Pending {
    /// Returns a record after which nothing follows.
    pub(super) fn of(record: Record) -> Pending {
        Pending { record, then: Then::Nothing }
    }

    /// Tells whoever waits that nobody can say what became of the record.
    fn fail(self, err: &Error) {
        match self.then {
            Then::Answer(reply) => drop(reply.send(Err(err.clone()))),
            Then::Confirm(reply) => drop(reply.send(Err(err.clone()))),
            Then::Nothing | Then::Command(..) | Then::Acknowledge(..) => {}
        }
    }
}

impl OwnedShard {
    /// Lets a record wait for the next segment.
    pub(super) fn append(&mut self, pending: Pending) {
        self.pending.push_back(pending);
        self.journal_wake.notify_one();
    }

    /// Says whether the record of a worker's joining still waits.
    pub(super) fn is_joining(&self, worker: &WorkerId) -> bool {
        self.pending.iter().any(|pending| {
            matches!(&pending.record, Record::WorkerJoined { entry }
                if entry.shape.worker == *worker)
        })
    }
}

/// Writes what waits, one segment at a time, for as long as this ownership
/// lasts.
pub(super) async fn run(state: SharedState, shard: ShardId, epoch: Epoch) {
    let mut pace = Pace::default();
    loop {
        let Some(wake) = wait_for_records(&state, shard, epoch) else {
            return;
        };
        wake.notified().await;
        let wait = pace.wait(&state.borrow());
        actix_rt::time::sleep(wait).await;
        while let Some(batch) = take_batch(&state, shard, epoch) {
            if !write_batch(&state, shard, epoch, batch).await {
                return;
            }
            let wait = pace.wait(&state.borrow());
            actix_rt::time::sleep(wait).await;
        }
    }
}

/// Spaces segments out, so that a burst shares one row.
#[derive(Default)]
struct Pace {
    next_at: TimeMs,
}

impl Pace {
    /// Returns how long the next segment has to wait.
    fn wait(&mut self, state: &super::ControlState) -> Duration {
        let now = state.now();
        let wait_ms = self.next_at.ms_since(now);
        let commit_ms = state.parts.settings.control.commit_ms;
        self.next_at = now.plus_ms(wait_ms).plus_ms(commit_ms);
        Duration::from_millis(wait_ms)
    }
}

fn wait_for_records(
    state: &SharedState,
    shard: ShardId,
    epoch: Epoch,
) -> Option<Rc<tokio::sync::Notify>> {
    let state = state.borrow();
    let owned = state.shards.get(&shard)?;
    (owned.epoch == epoch).then(|| Rc::clone(&owned.journal_wake))
}

fn take_batch(
    state: &SharedState,
    shard: ShardId,
    epoch: Epoch,
) -> Option<VecDeque<Pending>> {
    let mut state = state.borrow_mut();
    let owned = state.shards.get_mut(&shard)?;
    if owned.epoch != epoch || owned.pending.is_empty() {
        return None;
    }
    let count = owned.pending.len().min(SEGMENT_RECORDS);
    let rest = owned.pending.split_off(count);
    Some(std::mem::replace(&mut owned.pending, rest))
}

/// Writes one segment. Returns whether the ownership still lasts.
async fn write_batch(
    state: &SharedState,
    shard: ShardId,
    epoch: Epoch,
    batch: VecDeque<Pending>,
) -> bool {
    let Some(transaction) = build_segment(state, shard, epoch, &batch) else {
        fail_all(batch, &ownership_lost(shard));
        return false;
    };
    match commit_until_known(state, &transaction).await {
        Ok(()) => {
            state.borrow_mut().finish_batch(shard, epoch, batch);
            true
        }
        Err(err) => {
            fail_all(batch, &err);
            state.borrow_mut().lose_shard(shard, "its epoch was passed");
            false
        }
    }
}

fn build_segment(
    state: &SharedState,
    shard: ShardId,
    epoch: Epoch,
    batch: &VecDeque<Pending>,
) -> Option<Transaction> {
    let mut state = state.borrow_mut();
    let token = state.draw_token();
    let owned = state.shards.get_mut(&shard)?;
    if owned.epoch != epoch {
        return None;
    }
    let records = batch.iter().map(|pending| pending.record.clone()).collect();
    let value = serde_json::to_string(&Segment { records }).ok()?;
    let segment = key::segment(shard, epoch, owned.sequence);
    owned.sequence += 1;
    Some(Transaction {
        token,
        conditions: vec![
            Condition { key: key::epoch(shard), version: owned.epoch_version },
            Condition { key: segment.clone(), version: 0 },
        ],
        writes: vec![Write { key: segment, value: Some(value) }],
    })
}

/// Commits a transaction that creates its first written row, and tries until
/// its outcome is known.
///
/// A repeated transaction is harmless: its row must be absent, so it takes
/// effect once at most, and the row's token tells whose write it was.
///
/// # Errors
///
/// [`ErrorKind::StoreUnknown`] where another condition failed: whoever made
/// it fail decides what becomes of the rows.
async fn commit_until_known(
    state: &SharedState,
    transaction: &Transaction,
) -> Result<()> {
    let mut wait_ms = RETRY_FIRST_MS;
    let (table, metrics, log) = {
        let state = state.borrow();
        let parts = &state.parts;
        (
            parts.platform.table.clone(),
            parts.metrics.clone(),
            parts.log.clone(),
        )
    };
    loop {
        match (table.commit)(transaction.clone()).await {
            Ok(CommitAnswer::Committed { .. }) => {
                metrics.add(
                    Counter::RowsWritten,
                    transaction.writes.len() as u64,
                );
                return Ok(());
            }
            Ok(CommitAnswer::Conflict { key, .. }) => {
                match is_own_write(&table, &transaction.token, &key).await {
                    Ok(true) => return Ok(()),
                    Ok(false) => {
                        return Err(Error::new(
                            ErrorKind::StoreUnknown,
                            format!("another owner changed `{key}`"),
                        ));
                    }
                    Err(_) => {}
                }
            }
            Err(err) => {
                metrics.add(Counter::TableFailures, 1);
                warn!(log, "journal: write not confirmed";
                    "error" => %err, "retry_ms" => wait_ms);
            }
        }
        let jitter_ms = rand::random_range(0..=wait_ms / 2);
        actix_rt::time::sleep(Duration::from_millis(wait_ms + jitter_ms))
            .await;
        wait_ms = (wait_ms * 2).min(RETRY_LAST_MS);
    }
}

async fn is_own_write(
    table: &limpet_platform::TablePort,
    token: &str,
    key: &str,
) -> std::result::Result<bool, PortError> {
    let row = (table.read)(key.to_owned()).await?;
    Ok(row.is_some_and(|row| row.token == token))
}

fn ownership_lost(shard: ShardId) -> Error {
    Error::new(
        ErrorKind::StoreUnknown,
        format!("this instance lost shard {shard} before the write"),
    )
}

fn fail_all(batch: VecDeque<Pending>, err: &Error) {
    for pending in batch {
        pending.fail(err);
    }
}

impl super::ControlState {
    /// Lets what was waiting for the records of a batch happen.
    fn finish_batch(
        &mut self,
        shard: ShardId,
        epoch: Epoch,
        batch: VecDeque<Pending>,
    ) {
        let owns = |state: &super::ControlState| {
            state.shards.get(&shard).is_some_and(|s| s.epoch == epoch)
        };
        for pending in batch {
            if owns(self) {
                self.finish_record(shard, pending);
            }
        }
        if let Some(owned) = self.shards.get(&shard) {
            owned.worker_wake.notify_one();
        }
    }

    fn finish_record(&mut self, shard: ShardId, pending: Pending) {
        match pending.record {
            Record::Accepted { job, token, spec, accepted_at, .. } => {
                if let Some(owned) = self.shards.get_mut(&shard) {
                    owned.tokens.insert(token, job);
                }
                self.feed_at(
                    shard,
                    &Event::JobAccepted { job, spec },
                    accepted_at,
                );
                self.parts.metrics.add(Counter::JobsAccepted, 1);
                if let Then::Answer(reply) = pending.then {
                    drop(reply.send(Ok(SubmitAnswer { job, shard })));
                }
                return;
            }
            Record::Cancelled { job } => {
                self.feed(shard, &Event::JobCancelled { job });
            }
            Record::Held { job, held } => {
                self.feed(shard, &Event::JobHeld { job, held });
            }
            Record::WorkerJoined { entry } => self.open_link(shard, entry),
            Record::WorkerGone { .. }
            | Record::Claimed { .. }
            | Record::Ended { .. }
            | Record::Finished { .. } => {}
        }
        self.finish_then(shard, pending.then);
    }

    fn finish_then(&mut self, shard: ShardId, then: Then) {
        let Some(owned) = self.shards.get_mut(&shard) else { return };
        match then {
            Then::Nothing | Then::Answer(_) => {}
            Then::Command(worker, command) => {
                owned.push_command(&worker, command);
            }
            Then::Acknowledge(worker, run) => {
                owned.push_command(
                    &worker,
                    WorkerCommand::Acknowledge {
                        task: run.task,
                        epoch: run.epoch,
                        attempt: run.attempt,
                    },
                );
                if let Some(link) = owned.workers.get_mut(&worker) {
                    link.recording.remove(&run);
                }
            }
            Then::Confirm(reply) => drop(reply.send(Ok(()))),
        }
    }

    fn open_link(
        &mut self,
        shard: ShardId,
        entry: limpet_platform::WorkerEntry,
    ) {
        let log = self.parts.log.clone();
        let Some(owned) = self.shards.get_mut(&shard) else { return };
        let worker = entry.shape.worker.clone();
        info!(log, "place: worker joins";
            "shard" => shard.get(), "worker" => %worker);
        // Nothing of this owner or of an earlier one can run on a worker
        // that no journal named before.
        owned
            .workers
            .entry(worker)
            .or_insert_with(|| WorkerLink::new(entry, TimeMs::MAX));
    }

    /// Gives a shard up, and with it everything that waits for the table.
    pub(super) fn lose_shard(&mut self, shard: ShardId, why: &str) {
        let Some(owned) = self.shards.remove(&shard) else { return };
        info!(self.parts.log, "lease: shard given up";
            "shard" => shard.get(), "epoch" => owned.epoch.get(),
            "why" => why);
        self.parts.metrics.add(Counter::ShardsLost, 1);
        owned.journal_wake.notify_one();
        owned.worker_wake.notify_one();
        fail_all(owned.pending, &ownership_lost(shard));
    }
}
