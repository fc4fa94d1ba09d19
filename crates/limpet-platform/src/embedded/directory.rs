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
        let visible = self.visible_time(now);
        self.instances
            .entry(entry.instance.clone())
            .or_insert_with(Lagged::new)
            .set(entry, now, visible);
    }

    /// Adds the entry of a worker, or replaces it.
    pub fn set_worker(&mut self, entry: WorkerEntry, now: TimeMs) {
        let visible = self.visible_time(now);
        self.workers
            .entry(entry.shape.worker.clone())
            .or_insert_with(Lagged::new)
            .set(Some(entry), now, visible);
    }

    /// Removes a worker.
    pub fn remove_worker(&mut self, worker: &WorkerId, now: TimeMs) {
        let visible = self.visible_time(now);
        if let Some(lagged) = self.workers.get_mut(worker) {
            lagged.set(None, now, visible);
        }
    }

    /// Adds the entry of an endpoint, or replaces it.
    pub fn set_endpoint(&mut self, entry: EndpointEntry, now: TimeMs) {
        let visible = self.visible_time(now);
        self.endpoints
            .entry(entry.endpoint.clone())
            .or_insert_with(Lagged::new)
            .set(Some(entry), now, visible);
    }

    /// Removes an endpoint.
    pub fn remove_endpoint(&mut self, endpoint: &EndpointId, now: TimeMs) {
        let visible = self.visible_time(now);
        if let Some(lagged) = self.endpoints.get_mut(endpoint) {
            lagged.set(None, now, visible);
        }
    }

    /// Returns the members as of `lag_ms` before `now`.
    pub fn list(&self, now: TimeMs) -> Listing {
        let visible = self.visible_time(now);
        Listing {
            instances: self.live_instances(visible),
            workers: list_members(&self.workers, visible),
            endpoints: list_members(&self.endpoints, visible),
        }
    }

    /// Returns the time as of which readers see the directory at `now`.
    fn visible_time(&self, now: TimeMs) -> TimeMs {
        TimeMs::from_ms(now.as_ms().saturating_sub(self.lag_ms))
    }

    fn live_instances(&self, visible: TimeMs) -> Vec<InstanceEntry> {
        self.instances
            .values()
            .filter_map(|lagged| lagged.as_of(visible))
            .filter(|(set_at, _)| visible.ms_since(*set_at) < self.expiry_ms)
            .map(|(_, entry)| entry.clone())
            .collect()
    }
}

fn list_members<K, T: Clone>(
    members: &BTreeMap<K, Lagged<Option<T>>>,
    visible: TimeMs,
) -> Vec<T> {
    members
        .values()
        .filter_map(|lagged| lagged.as_of(visible))
        .filter_map(|(_, entry)| entry.clone())
        .collect()
}
