//! Recovery of a shard after a takeover: reads its snapshot and segments, and
//! restores the scheduler from them.

use std::{rc::Rc, time::Duration};

use limpet_core::{
    Epoch, ShardId, TimeMs, WorkerId,
    journal::{JournalOptions, SegmentKey},
    recovery::{Replay, restore_events},
    scheduler::Event,
};
use limpet_platform::WorkerEntry;
use slog::{info, warn};

use super::{
    ControlState, SharedState, allotment, exchange, journal,
    owned_shard::{OwnedShard, Ownership},
    record_reader::RecordReader,
    worker_link::WorkerLink,
};
use crate::metrics::Counter;

/// The pause before a failed read is tried again, in milliseconds.
const RETRY_MS: u64 = 100;

/// Registers a new ownership and starts to read the records of earlier
/// owners.
///
/// Placement begins as soon as the records are read. That is safe because
/// every task that may be running has a durable claim: it keeps its resources
/// until its worker has reported what it runs, or until the worker's leases
/// have certainly expired.
pub(super) fn start(state: &SharedState, ownership: Ownership) {
    let options = state.borrow().journal_options();
    let owned = OwnedShard::new(&ownership, options);
    state.borrow_mut().shards.insert(ownership.shard, owned);
    actix_rt::spawn(recover(Rc::clone(state), ownership));
}

/// Reads the records, restores the scheduler from them, and starts the
/// loops of the ownership.
async fn recover(state: SharedState, ownership: Ownership) {
    let Ownership { shard, epoch, .. } = ownership;
    let Some((replay, segments)) = read(&state, shard, epoch).await else {
        return;
    };
    {
        let mut state = state.borrow_mut();
        state.replay(shard, replay, segments);
        state.configure_shard(shard);
        state.adopt_workers(shard);
        state.finish_recovery(shard);
    }
    allotment::adjust_all(&state).await;
    actix_rt::spawn(journal::run(Rc::clone(&state), shard, epoch));
    actix_rt::spawn(exchange::run(state, shard, epoch));
}

/// Reads the newest snapshot and the segments after it. Retries until it
/// succeeds; returns `None` if the ownership is lost.
async fn read(
    state: &SharedState,
    shard: ShardId,
    epoch: Epoch,
) -> Option<(Replay, Vec<SegmentKey>)> {
    let (mut reader, log) = {
        let state = state.borrow();
        let parts = &state.parts;
        (RecordReader::new(&parts.platform, shard), parts.log.clone())
    };
    loop {
        match reader.read().await {
            Ok(found) => {
                let state = state.borrow();
                let rows = found.1.len() as u64;
                state.parts.metrics.add(Counter::RowsRead, rows);
                return state.owns(shard, epoch).then_some(found);
            }
            Err(err) => {
                warn!(
                    log,
                    "recover: reading the shard's records failed; retrying";
                    "shard" => shard.get(),
                    "segments" => reader.segment_count(), "error" => %err
                );
            }
        }
        actix_rt::time::sleep(Duration::from_millis(RETRY_MS)).await;
        if !state.borrow().owns(shard, epoch) {
            return None;
        }
    }
}

impl ControlState {
    fn journal_options(&self) -> JournalOptions {
        JournalOptions {
            flush_ms: self.parts.settings.control.commit_ms,
            ..JournalOptions::new()
        }
    }

    /// Returns whether this instance still owns a shard in this epoch, as
    /// far as it knows.
    pub(super) fn owns(&self, shard: ShardId, epoch: Epoch) -> bool {
        self.shards.get(&shard).is_some_and(|owned| owned.epoch == epoch)
    }

    /// Restores the state of a shard from its records.
    fn replay(
        &mut self,
        shard: ShardId,
        replay: Replay,
        segments: Vec<SegmentKey>,
    ) {
        let now = self.parts.wall_clock.now();
        let Some(owned) = self.shards.get_mut(&shard) else { return };
        owned.segments = segments;
        owned.record = replay.into_record();
        owned.tokens = owned
            .record
            .tokens()
            .map(|(token, job)| (token.to_owned(), job))
            .collect();
        for event in restore_events(&owned.record) {
            let at = match &event {
                Event::JobAccepted { job, .. } => {
                    owned.record.jobs.get(job).map_or(now, |j| j.accepted_at)
                }
                Event::JobRestored { job, ended_at, .. } => owned
                    .record
                    .finished
                    .get(job)
                    .map_or(*ended_at, |job| job.accepted_at),
                _ => now,
            };
            // The effects are dropped, since earlier owners have already
            // carried out and recorded what follows from these events.
            owned.scheduler.handle(&event, at);
        }
        self.add_claimed_workers(shard);
    }

    /// Adds a link for every worker that a claim names, even if the platform
    /// no longer lists it: its tasks may run until its leases expire.
    fn add_claimed_workers(&mut self, shard: ShardId) {
        let expires_at = self.older_leases_expire_at(shard);
        let Some(owned) = self.shards.get_mut(&shard) else { return };
        for worker in owned.record.claimed_workers() {
            let link = WorkerLink::unlisted(worker.clone(), expires_at);
            owned.workers.insert(worker, link);
        }
    }

    /// Returns when everything that earlier owners started on an unreachable
    /// worker has certainly stopped.
    ///
    /// An owner that can't reach the table renews worker leases for up to
    /// `detached_ms`, and the last lease then lasts for `worker_lease_ms`.
    pub(super) fn older_leases_expire_at(&self, shard: ShardId) -> TimeMs {
        let control = &self.parts.settings.control;
        let acquired_at =
            self.shards.get(&shard).map_or(TimeMs::MAX, |s| s.acquired_at);
        acquired_at
            .plus_ms(control.detached_ms)
            .plus_ms(control.worker_lease_ms)
            .plus_ms(control.drift_ms)
    }

    /// Ends the recovery of a shard and lets its scheduler place tasks.
    fn finish_recovery(&mut self, shard: ShardId) {
        let log = self.parts.log.clone();
        let now = self.now();
        let Some(owned) = self.shards.get_mut(&shard) else { return };
        owned.recovering = false;
        info!(log, "recover: shard's records read; placement starts";
            "shard" => shard.get(), "epoch" => owned.epoch.get(),
            "jobs" => owned.record.jobs.len(),
            "segments" => owned.segments.len(),
            "took_ms" => now.ms_since(owned.acquired_at));
        self.feed(shard, &Event::PlacementPaused { paused: false });
    }

    /// Adds a link to a newly listed worker of an owned shard.
    pub(super) fn open_link(&mut self, shard: ShardId, entry: WorkerEntry) {
        let expires_at = self.older_leases_expire_at(shard);
        let log = self.parts.log.clone();
        let Some(owned) = self.shards.get_mut(&shard) else { return };
        let worker: WorkerId = entry.shape.worker.clone();
        info!(log, "place: new worker listed; starting exchanges";
            "shard" => shard.get(), "worker" => %worker);
        owned
            .workers
            .entry(worker)
            .or_insert_with(|| WorkerLink::new(entry, expires_at));
    }
}
