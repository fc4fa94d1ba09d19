//! Snapshots of a shard's durable records.
//!
//! A snapshot in the object store replaces the journal segments that it
//! covers, so that a takeover has few segments to read.

use std::rc::Rc;

use limpet_core::{
    Epoch, ShardId,
    journal::SegmentKey,
    recovery::{
        Snapshot, delete_covered_segments, snapshot_name, snapshot_prefix,
    },
};
use limpet_platform::PortError;
use slog::{info, warn};

use super::SharedState;

/// How many segments may accumulate before a snapshot replaces them.
const SEGMENTS_KEPT: usize = 64;

/// Starts a snapshot of a shard if enough segments have accumulated and none
/// is being stored.
pub(super) fn start_if_due(state: &SharedState, shard: ShardId, epoch: Epoch) {
    let due = state.borrow().shards.get(&shard).is_some_and(|owned| {
        owned.segments.len() >= SEGMENTS_KEPT && !owned.snapshotting
    });
    if due {
        actix_rt::spawn(take_snapshot(Rc::clone(state), shard, epoch));
    }
}

/// Takes a snapshot and logs how that ended.
async fn take_snapshot(state: SharedState, shard: ShardId, epoch: Epoch) {
    let Some((snapshot, covered)) = state.borrow_mut().snapshot(shard) else {
        return;
    };
    let jobs = snapshot.record.jobs.len();
    let stored = store(&state, shard, epoch, snapshot, &covered).await;
    let mut state = state.borrow_mut();
    let log = state.parts.log.clone();
    let Some(owned) =
        state.shards.get_mut(&shard).filter(|owned| owned.epoch == epoch)
    else {
        return;
    };
    owned.snapshotting = false;
    match stored {
        Ok(()) => {
            owned.segments.retain(|segment| !covered.contains(segment));
            info!(
                log, "recover: stored a snapshot and deleted its segments";
                "shard" => shard.get(),
                "segments" => covered.len(),
                "jobs" => jobs
            );
        }
        Err(err) => {
            warn!(log, "recover: taking a snapshot failed; retrying later";
                "shard" => shard.get(), "error" => %err);
        }
    }
}

/// Stores a snapshot, and only then deletes the segments that it covers and
/// older snapshots.
async fn store(
    state: &SharedState,
    shard: ShardId,
    epoch: Epoch,
    snapshot: Snapshot,
    covered: &[SegmentKey],
) -> Result<(), PortError> {
    let platform = state.borrow().parts.platform.clone();
    let name = snapshot_name(shard, snapshot.through);
    // Serialising a large shard would block the control thread for too long.
    let text = actix_rt::task::spawn_blocking(move || snapshot.to_bytes());
    let bytes =
        text.await.map_err(|err| PortError::Unavailable(err.to_string()))?;
    (platform.objects.put)(name.clone(), bytes.into()).await?;
    let transaction = {
        let mut state = state.borrow_mut();
        let token = state.next_token();
        let Some(owned) =
            state.shards.get(&shard).filter(|owned| owned.epoch == epoch)
        else {
            return Ok(());
        };
        delete_covered_segments(
            shard,
            owned.owner_version,
            &token,
            covered.iter().copied(),
        )
    };
    (platform.table.commit)(transaction).await?;
    let older = (platform.objects.list)(snapshot_prefix(shard)).await?;
    for older in older.into_iter().filter(|older| *older < name) {
        (platform.objects.delete)(older).await?;
    }
    Ok(())
}

impl super::ControlState {
    /// Returns a snapshot of the durable records of a shard and the segments
    /// that it covers, and marks it as being stored. Finished jobs that need
    /// no longer be remembered are left out.
    fn snapshot(
        &mut self,
        shard: ShardId,
    ) -> Option<(Snapshot, Vec<SegmentKey>)> {
        let wall_now = self.parts.wall_clock.now();
        let owned = self.shards.get_mut(&shard)?;
        let through = *owned.segments.last()?;
        owned.snapshotting = true;
        owned.record.forget_finished(wall_now);
        let record = owned.record.clone();
        let covered = owned.segments.clone();
        Some((Snapshot { through, record }, covered))
    }
}
