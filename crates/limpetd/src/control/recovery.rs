use std::{
    collections::{BTreeMap, VecDeque},
    rc::Rc,
    time::Duration,
};

use limpet_core::{
    Epoch, ShardId, TaskOutcome, TimeMs, WorkerId,
    scheduler::{Event, Scheduler},
};
use limpet_platform::WorkerEntry;
use slog::{info, warn};
use tokio::sync::Notify;

use super::{
    ControlState, SharedState, exchange, journal, key,
    owned_shard::OwnedShard,
    record::{Record, Segment},
    worker_link::WorkerLink,
};
use crate::metrics::Counter;

/// The rows that one scan of segments reads.
const SEGMENT_PAGE: usize = 200;
/// How long a failed scan waits before the next, in milliseconds.
const RETRY_MS: u64 = 100;

/// An ownership that was just taken.
#[derive(Clone, Copy, Debug)]
pub(super) struct Acquired {
    pub(super) shard: ShardId,
    pub(super) epoch: Epoch,
    /// The version of both the lease's and the epoch's row.
    pub(super) version: u64,
    pub(super) valid_until: TimeMs,
}

/// What the segments of a shard tell.
#[derive(Default)]
struct Replay {
    records: Vec<Record>,
    workers: BTreeMap<WorkerId, WorkerEntry>,
}

/// Enters the new ownership and reads what earlier owners left.
///
/// Nothing is placed until every worker that an earlier owner may have
/// placed on has told what it runs, or its leases have certainly lapsed.
pub(super) fn start(state: &SharedState, acquired: Acquired) {
    let owned = state.borrow().new_shard(&acquired);
    state.borrow_mut().shards.insert(acquired.shard, owned);
    actix_rt::spawn(recover(Rc::clone(state), acquired));
}

async fn recover(state: SharedState, acquired: Acquired) {
    let Acquired { shard, epoch, .. } = acquired;
    let Some(replay) = read_segments(&state, shard, epoch).await else {
        return;
    };
    {
        let mut state = state.borrow_mut();
        let records = replay.records.len();
        state.replay(shard, replay);
        state.configure_shard(shard);
        state.adopt_workers(shard);
        info!(state.parts.log, "recover: journal replayed";
            "shard" => shard.get(), "epoch" => epoch.get(),
            "records" => records);
    }
    actix_rt::spawn(journal::run(Rc::clone(&state), shard, epoch));
    actix_rt::spawn(exchange::run(state, shard, epoch));
}

/// Reads every segment, or returns `None` once the ownership is lost.
async fn read_segments(
    state: &SharedState,
    shard: ShardId,
    epoch: Epoch,
) -> Option<Replay> {
    let mut replay = Replay::default();
    let mut after = String::new();
    let scan = Rc::clone(&state.borrow().parts.platform.table.scan);
    loop {
        let page =
            scan(key::segments(shard), after.clone(), SEGMENT_PAGE).await;
        if !state.borrow().owns(shard, epoch) {
            return None;
        }
        match page {
            Ok(rows) => {
                let metrics = state.borrow().parts.metrics.clone();
                metrics.add(Counter::RowsRead, rows.len() as u64);
                for row in &rows {
                    replay.take(&row.value)?;
                }
                match rows.last() {
                    Some(last) if rows.len() == SEGMENT_PAGE => {
                        after = last.key.clone();
                    }
                    _ => return Some(replay),
                }
            }
            Err(err) => {
                let log = state.borrow().parts.log.clone();
                warn!(log, "recover: segments not read"; "error" => %err);
                actix_rt::time::sleep(Duration::from_millis(RETRY_MS)).await;
            }
        }
    }
}

impl Replay {
    fn take(&mut self, value: &str) -> Option<()> {
        let segment: Segment = serde_json::from_str(value).ok()?;
        for record in segment.records {
            match record {
                Record::WorkerJoined { entry } => {
                    self.workers.insert(entry.shape.worker.clone(), entry);
                }
                Record::WorkerGone { worker } => {
                    self.workers.remove(&worker);
                }
                record => self.records.push(record),
            }
        }
        Some(())
    }
}

impl ControlState {
    fn new_shard(&self, acquired: &Acquired) -> OwnedShard {
        OwnedShard {
            epoch: acquired.epoch,
            epoch_version: acquired.version,
            lease_version: acquired.version,
            valid_until: acquired.valid_until,
            acquired_at: self.now(),
            scheduler: Scheduler::new(),
            recovering: true,
            workers: BTreeMap::new(),
            pending: VecDeque::new(),
            sequence: 0,
            tokens: BTreeMap::new(),
            job_numbers: 0..0,
            journal_wake: Rc::new(Notify::new()),
            worker_wake: Rc::new(Notify::new()),
        }
    }

    /// Says whether an ownership still lasts, as far as is known.
    pub(super) fn owns(&self, shard: ShardId, epoch: Epoch) -> bool {
        self.shards.get(&shard).is_some_and(|owned| owned.epoch == epoch)
    }

    fn replay(&mut self, shard: ShardId, replay: Replay) {
        let now = self.parts.wall_clock.now();
        let lapses_at = self.older_leases_lapse_at(shard);
        let Some(owned) = self.shards.get_mut(&shard) else { return };
        let scheduler = &mut owned.scheduler;
        scheduler.handle(&Event::PlacementPaused { paused: true }, now);
        for record in replay.records {
            let at = match &record {
                Record::Accepted { job, token, accepted_at, .. } => {
                    owned.tokens.insert(token.clone(), *job);
                    *accepted_at
                }
                _ => now,
            };
            for event in to_events(record) {
                // What a replay decides was decided and recorded before.
                scheduler.handle(&event, at);
            }
        }
        for (worker, entry) in replay.workers {
            owned.workers.insert(worker, WorkerLink::new(entry, lapses_at));
        }
    }

    /// Returns when everything that earlier owners started on a worker which
    /// doesn't answer has certainly stopped: an owner that is cut off from
    /// the table goes on renewing for the time that is set.
    fn older_leases_lapse_at(&self, shard: ShardId) -> TimeMs {
        let control = &self.parts.settings.control;
        let acquired_at =
            self.shards.get(&shard).map_or(TimeMs::MAX, |s| s.acquired_at);
        acquired_at
            .plus_ms(control.detached_ms)
            .plus_ms(control.worker_lease_ms)
            .plus_ms(control.drift_ms)
    }

    /// Lets a shard place once all its workers are accounted for.
    pub(super) fn try_finish_recovery(&mut self, shard: ShardId) {
        let log = self.parts.log.clone();
        let now = self.now();
        let Some(owned) = self.shards.get_mut(&shard) else { return };
        let accounted =
            owned.workers.values().all(|link| link.heard || link.lapsed);
        if !owned.recovering || !accounted {
            return;
        }
        owned.recovering = false;
        info!(log, "recover: shard ready";
            "shard" => shard.get(), "epoch" => owned.epoch.get(),
            "workers" => owned.workers.len(),
            "took_ms" => now.ms_since(owned.acquired_at));
        self.feed(shard, &Event::PlacementPaused { paused: false });
    }
}

/// Returns the events that bring a scheduler to where a record was written.
fn to_events(record: Record) -> Vec<Event> {
    match record {
        Record::Accepted { job, spec, .. } => {
            vec![Event::JobAccepted { job, spec }]
        }
        Record::Cancelled { job } => vec![Event::JobCancelled { job }],
        Record::Held { job, held } => vec![Event::JobHeld { job, held }],
        Record::Claimed { task, worker, attempt } => {
            vec![Event::TaskClaimed { task, worker, attempt }]
        }
        // The start of an idempotent task has no record of its own.
        Record::Ended { task, worker, outcome } => vec![
            Event::TaskRunning { task, worker: worker.clone() },
            Event::TaskEnded { task, worker, outcome },
        ],
        Record::Finished { .. }
        | Record::WorkerJoined { .. }
        | Record::WorkerGone { .. } => Vec::new(),
    }
}

impl OwnedShard {
    /// Returns the tasks that should be on a worker but aren't in its
    /// inventory, as ends without a result.
    pub(super) fn missing_tasks(
        &self,
        worker: &WorkerId,
        known: impl Fn(limpet_core::TaskId) -> bool,
    ) -> Vec<Event> {
        self.scheduler
            .tasks()
            .into_iter()
            .filter(|view| {
                view.state.is_placed()
                    && view.worker.as_ref() == Some(worker)
                    && !known(view.task)
            })
            .map(|view| Event::TaskEnded {
                task: view.task,
                worker: worker.clone(),
                outcome: TaskOutcome::Stopped,
            })
            .collect()
    }
}
