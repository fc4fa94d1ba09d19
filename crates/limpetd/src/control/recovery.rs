use std::{rc::Rc, time::Duration};

use limpet_core::{
    Epoch, Result, ShardId, TimeMs, WorkerId,
    journal::{JournalOptions, SegmentKey},
    recovery::{Replay, Snapshot, restore_events, snapshot_prefix},
    scheduler::Event,
};
use limpet_platform::{ObjectPort, PortError, Row, TablePort, WorkerEntry};
use slog::{info, warn};

use super::{
    ControlState, SharedState, allotment, exchange, journal,
    owned_shard::{Acquired, OwnedShard},
    worker_link::WorkerLink,
};
use crate::metrics::Counter;

/// The rows that one scan of segments reads.
const SEGMENT_PAGE: usize = 200;
/// How long a failed read waits before the next, in milliseconds.
const RETRY_MS: u64 = 100;

/// Enters the new ownership and reads what earlier owners left.
///
/// Placement begins as soon as the records are read: a task that may run
/// somewhere has a claim, and keeps its place until its worker has told
/// what it runs or its leases have certainly lapsed.
pub(super) fn start(state: &SharedState, acquired: Acquired) {
    let options = state.borrow().journal_options();
    let owned = OwnedShard::new(&acquired, options);
    state.borrow_mut().shards.insert(acquired.shard, owned);
    actix_rt::spawn(recover(Rc::clone(state), acquired));
}

async fn recover(state: SharedState, acquired: Acquired) {
    let Acquired { shard, epoch, .. } = acquired;
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
    allotment::trade_all(&state).await;
    actix_rt::spawn(journal::run(Rc::clone(&state), shard, epoch));
    actix_rt::spawn(exchange::run(state, shard, epoch));
}

/// Reads the newest snapshot and the segments after it, or returns `None`
/// once the ownership is lost.
///
/// Nobody else writes or deletes segments meanwhile: both need the version
/// of the owner row.
async fn read(
    state: &SharedState,
    shard: ShardId,
    epoch: Epoch,
) -> Option<(Replay, Vec<SegmentKey>)> {
    let (table, objects, log) = {
        let state = state.borrow();
        let parts = &state.parts;
        let platform = &parts.platform;
        (platform.table.clone(), platform.objects.clone(), parts.log.clone())
    };
    loop {
        match try_read(&table, &objects, shard).await {
            Ok(found) => {
                let state = state.borrow();
                let rows = found.1.len() as u64;
                state.parts.metrics.add(Counter::RowsRead, rows);
                return state.owns(shard, epoch).then_some(found);
            }
            Err(err) => {
                warn!(log, "recover: records not read";
                    "shard" => shard.get(), "error" => %err);
            }
        }
        actix_rt::time::sleep(Duration::from_millis(RETRY_MS)).await;
        if !state.borrow().owns(shard, epoch) {
            return None;
        }
    }
}

async fn try_read(
    table: &TablePort,
    objects: &ObjectPort,
    shard: ShardId,
) -> Result<(Replay, Vec<SegmentKey>)> {
    let mut replay = Replay::new(newest_snapshot(objects, shard).await?);
    let mut segments = Vec::new();
    for row in read_segments(table, shard).await? {
        replay.apply(&row)?;
        segments.push(SegmentKey::parse(&row.key)?);
    }
    Ok((replay, segments))
}

async fn newest_snapshot(
    objects: &ObjectPort,
    shard: ShardId,
) -> Result<Option<Snapshot>> {
    let names = (objects.list)(snapshot_prefix(shard)).await?;
    let Some(name) = names.into_iter().max() else { return Ok(None) };
    let Some(bytes) = (objects.get)(name).await? else {
        // A newer one took its place; the caller tries again.
        let gone = "the snapshot was replaced meanwhile".to_owned();
        return Err(PortError::Unavailable(gone).into());
    };
    Snapshot::from_bytes(&bytes).map(Some)
}

async fn read_segments(table: &TablePort, shard: ShardId) -> Result<Vec<Row>> {
    let prefix = limpet_core::journal::segment_prefix(shard);
    let mut rows: Vec<Row> = Vec::new();
    loop {
        let after = rows.last().map_or(String::new(), |row| row.key.clone());
        let page = (table.scan)(prefix.clone(), after, SEGMENT_PAGE).await?;
        let last = page.len() < SEGMENT_PAGE;
        rows.extend(page);
        if last {
            return Ok(rows);
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

    /// Says whether an ownership still lasts, as far as is known.
    pub(super) fn owns(&self, shard: ShardId, epoch: Epoch) -> bool {
        self.shards.get(&shard).is_some_and(|owned| owned.epoch == epoch)
    }

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
            // What a replay decides was decided and recorded before.
            owned.scheduler.handle(&event, at);
        }
        self.expect_claimed_workers(shard);
    }

    /// Waits for every worker that a claim names, also for one that is not
    /// listed any more: its leases lapse in their time.
    fn expect_claimed_workers(&mut self, shard: ShardId) {
        let lapses_at = self.older_leases_lapse_at(shard);
        let Some(owned) = self.shards.get_mut(&shard) else { return };
        for worker in owned.record.claimed_workers() {
            let link = WorkerLink::unlisted(worker.clone(), lapses_at);
            owned.workers.insert(worker, link);
        }
    }

    /// Returns when everything that earlier owners started on a worker which
    /// doesn't answer has certainly stopped: an owner that is cut off from
    /// the table goes on renewing for the time that is set.
    pub(super) fn older_leases_lapse_at(&self, shard: ShardId) -> TimeMs {
        let control = &self.parts.settings.control;
        let acquired_at =
            self.shards.get(&shard).map_or(TimeMs::MAX, |s| s.acquired_at);
        acquired_at
            .plus_ms(control.detached_ms)
            .plus_ms(control.worker_lease_ms)
            .plus_ms(control.drift_ms)
    }

    /// Lets a shard place.
    fn finish_recovery(&mut self, shard: ShardId) {
        let log = self.parts.log.clone();
        let now = self.now();
        let Some(owned) = self.shards.get_mut(&shard) else { return };
        owned.recovering = false;
        info!(log, "recover: shard ready";
            "shard" => shard.get(), "epoch" => owned.epoch.get(),
            "jobs" => owned.record.jobs.len(),
            "segments" => owned.segments.len(),
            "took_ms" => now.ms_since(owned.acquired_at));
        self.feed(shard, &Event::PlacementPaused { paused: false });
    }

    /// Begins to speak with a worker of an owned shard.
    pub(super) fn open_link(&mut self, shard: ShardId, entry: WorkerEntry) {
        let lapses_at = self.older_leases_lapse_at(shard);
        let log = self.parts.log.clone();
        let Some(owned) = self.shards.get_mut(&shard) else { return };
        let worker: WorkerId = entry.shape.worker.clone();
        info!(log, "place: worker listed";
            "shard" => shard.get(), "worker" => %worker);
        owned
            .workers
            .entry(worker)
            .or_insert_with(|| WorkerLink::new(entry, lapses_at));
    }
}
