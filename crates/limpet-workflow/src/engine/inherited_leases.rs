//! The leases that earlier owners have granted, as a new owner has to assume
//! them.
//!
//! After a failure an earlier owner may go on renewing leases for a while. One
//! that has released the cell has stopped before, and has left what it knew of
//! the workers that it did not reach.

use limpet_core::TimeMs;
use rustc_hash::FxHashMap;

use super::{Engine, fleet::max_local_ms};
use crate::worker::Worker;

/// A worker that may run tasks for another time than a lease from now: the
/// owner does not reach it, or calls for a former life may have granted it a
/// longer one.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct SilentWorker {
    /// The worker's id.
    pub worker: String,
    /// How long its lease may still last, in milliseconds.
    pub lease_left_ms: u64,
}

/// What an owner that has released the cell has told of the leases.
#[derive(Clone, Debug)]
pub(super) struct ReleasedLeases {
    /// When this owner learnt of it, which is later than the release.
    since: TimeMs,
    /// How long the leases of silent workers may last from then on, in
    /// milliseconds, by id.
    left_ms: FxHashMap<String, u64>,
}

impl Engine {
    /// Returns the workers that the owner does not reach or whose lease may be
    /// longer than owners grant, for the next owner: those with claims, and
    /// those whose claims it has released, which may not be durable.
    pub fn silent_workers(&self, now: TimeMs) -> Vec<SilentWorker> {
        let is_claimed = |worker: &Worker| {
            !worker.claims.is_empty() || !worker.released_runs.is_empty()
        };
        let usual = now.plus_ms(max_local_ms(self.options.hold_ms));
        let is_told = |worker: &Worker| {
            self.released_leases.as_ref().is_some_and(|released| {
                released.left_ms.contains_key(&worker.listing.id)
            })
        };
        let has_long_lease = |worker: &Worker| {
            worker.lease_expires_at > usual
                && (worker.lives > 0 || is_told(worker))
        };
        let is_unusual =
            |worker: &Worker| !worker.reachable || has_long_lease(worker);
        self.workers
            .iter()
            .filter(|worker| is_unusual(worker) && is_claimed(worker))
            .map(|worker| SilentWorker {
                worker: worker.listing.id.clone(),
                lease_left_ms: worker.lease_expires_at.ms_since(now),
            })
            .collect()
    }

    /// Applies what an owner has told that released the cell before `now`, and
    /// granted no lease after that. Has to be called before the workers and
    /// jobs are loaded.
    pub fn inherit_leases(&mut self, silent: &[SilentWorker], now: TimeMs) {
        let left_ms = silent
            .iter()
            .map(|silent| (silent.worker.clone(), silent.lease_left_ms))
            .collect();
        self.released_leases = Some(ReleasedLeases { since: now, left_ms });
    }

    /// Returns when a worker's lease from an earlier owner has certainly
    /// expired. Unless the earlier owner has released the cell, it may renew
    /// leases until `detached_ms` from now.
    pub(super) fn inherited_expiry(&self, id: &str, now: TimeMs) -> TimeMs {
        let hold_ms = max_local_ms(self.options.hold_ms);
        match &self.released_leases {
            None => now.plus_ms(self.options.detached_ms).plus_ms(hold_ms),
            Some(released) => {
                let left_ms = released.left_ms.get(id).copied();
                released.since.plus_ms(left_ms.unwrap_or(hold_ms))
            }
        }
    }
}
