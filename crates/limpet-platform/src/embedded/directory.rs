use std::collections::BTreeMap;

use limpet_core::{EndpointId, InstanceId, TimeMs, WorkerId};

use super::lagged::Lagged;
use crate::port::{EndpointEntry, InstanceEntry, Listing, WorkerEntry};

/// The directory of live and leaving members, in memory.
///
/// Readers see it as it was `lag_ms` ago, as a real platform's directory lags
/// behind. An instance that hasn't registered for `expiry_ms` is no longer
/// listed; workers and endpoints are listed until they are removed.
#[derive(Clone, Debug)]
pub struct MemoryDirectory {
    lag_ms: u64,
    expiry_ms: u64,
    instances: BTreeMap<InstanceId, Lagged<InstanceEntry>>,
    workers: BTreeMap<WorkerId, Lagged<Option<WorkerEntry>>>,
    endpoints: BTreeMap<EndpointId, Lagged<Option<EndpointEntry>>>,
}

impl MemoryDirectory {
    /// Returns an empty directory.
    pub fn new(lag_ms: u64, expiry_ms: u64) -> MemoryDirectory {
        MemoryDirectory {
            lag_ms,
            expiry_ms,
            instances: BTreeMap::new(),
            workers: BTreeMap::new(),
            endpoints: BTreeMap::new(),
        }
    }

    /// Adds the entry of an instance, or replaces it, and restarts its expiry.
    pub fn register(&mut self, entry: InstanceEntry, now: TimeMs) {
        let as_of = self.visible_time(now);
        self.instances
            .entry(entry.instance.clone())
            .or_insert_with(Lagged::new)
            .set(entry, now, as_of);
    }

    /// Adds the entry of a worker, or replaces it.
    pub fn set_worker(&mut self, entry: WorkerEntry, now: TimeMs) {
        let as_of = self.visible_time(now);
        self.workers
            .entry(entry.shape.worker.clone())
            .or_insert_with(Lagged::new)
            .set(Some(entry), now, as_of);
    }

    /// Removes a worker.
    pub fn remove_worker(&mut self, worker: &WorkerId, now: TimeMs) {
        let as_of = self.visible_time(now);
        if let Some(lagged) = self.workers.get_mut(worker) {
            lagged.set(None, now, as_of);
        }
    }

    /// Adds the entry of an endpoint, or replaces it.
    pub fn set_endpoint(&mut self, entry: EndpointEntry, now: TimeMs) {
        let as_of = self.visible_time(now);
        self.endpoints
            .entry(entry.endpoint.clone())
            .or_insert_with(Lagged::new)
            .set(Some(entry), now, as_of);
    }

    /// Removes an endpoint.
    pub fn remove_endpoint(&mut self, endpoint: &EndpointId, now: TimeMs) {
        let as_of = self.visible_time(now);
        if let Some(lagged) = self.endpoints.get_mut(endpoint) {
            lagged.set(None, now, as_of);
        }
    }

    /// Returns the members as of `lag_ms` before `now`.
    pub fn list(&self, now: TimeMs) -> Listing {
        let as_of = self.visible_time(now);
        Listing {
            instances: self.live_instances(as_of),
            workers: list_members(&self.workers, as_of),
            endpoints: list_members(&self.endpoints, as_of),
        }
    }

    /// Returns the time as of which readers see the directory at `now`.
    fn visible_time(&self, now: TimeMs) -> TimeMs {
        TimeMs::from_ms(now.as_ms().saturating_sub(self.lag_ms))
    }

    /// Returns the instances that had registered within `expiry_ms` before
    /// `as_of`, whichever their state.
    fn live_instances(&self, as_of: TimeMs) -> Vec<InstanceEntry> {
        self.instances
            .values()
            .filter_map(|lagged| lagged.as_of(as_of))
            .filter(|(set_at, _)| as_of.ms_since(*set_at) < self.expiry_ms)
            .map(|(_, entry)| entry.clone())
            .collect()
    }
}

fn list_members<K, T: Clone>(
    members: &BTreeMap<K, Lagged<Option<T>>>,
    as_of: TimeMs,
) -> Vec<T> {
    members
        .values()
        .filter_map(|lagged| lagged.as_of(as_of))
        .filter_map(|(_, entry)| entry.clone())
        .collect()
}
