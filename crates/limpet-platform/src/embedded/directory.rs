use std::collections::BTreeMap;

use limpet_core::{EndpointId, InstanceId, TimeMs, WorkerId};

use super::lagged::Lagged;
use crate::port::{EndpointEntry, InstanceEntry, Listing, WorkerEntry};

/// The list of live and leaving members in memory.
///
/// Readers see it as it was `lag_ms` ago. An instance that has not
/// registered for `expiry_ms` is no longer listed.
#[derive(Clone, Debug)]
pub struct MemoryDirectory {
    lag_ms: u64,
    expiry_ms: u64,
    instances: BTreeMap<InstanceId, Lagged<InstanceEntry>>,
    workers: BTreeMap<WorkerId, Lagged<Option<WorkerEntry>>>,
    endpoints: BTreeMap<EndpointId, Lagged<Option<EndpointEntry>>>,
}

impl MemoryDirectory {
    /// Returns an empty list.
    pub fn new(lag_ms: u64, expiry_ms: u64) -> MemoryDirectory {
        MemoryDirectory {
            lag_ms,
            expiry_ms,
            instances: BTreeMap::new(),
            workers: BTreeMap::new(),
            endpoints: BTreeMap::new(),
        }
    }

    /// Enters an instance, or changes its entry and puts off its expiry.
    pub fn register(&mut self, entry: InstanceEntry, now: TimeMs) {
        let seen = self.seen_time(now);
        self.instances
            .entry(entry.instance.clone())
            .or_insert_with(Lagged::new)
            .set(entry, now, seen);
    }

    /// Enters a worker, or changes its entry.
    pub fn set_worker(&mut self, entry: WorkerEntry, now: TimeMs) {
        let seen = self.seen_time(now);
        self.workers
            .entry(entry.shape.worker.clone())
            .or_insert_with(Lagged::new)
            .set(Some(entry), now, seen);
    }

    /// Takes a worker off the list.
    pub fn remove_worker(&mut self, worker: &WorkerId, now: TimeMs) {
        let seen = self.seen_time(now);
        if let Some(lagged) = self.workers.get_mut(worker) {
            lagged.set(None, now, seen);
        }
    }

    /// Enters an endpoint, or changes its entry.
    pub fn set_endpoint(&mut self, entry: EndpointEntry, now: TimeMs) {
        let seen = self.seen_time(now);
        self.endpoints
            .entry(entry.endpoint.clone())
            .or_insert_with(Lagged::new)
            .set(Some(entry), now, seen);
    }

    /// Takes an endpoint off the list.
    pub fn remove_endpoint(&mut self, endpoint: &EndpointId, now: TimeMs) {
        let seen = self.seen_time(now);
        if let Some(lagged) = self.endpoints.get_mut(endpoint) {
            lagged.set(None, now, seen);
        }
    }

    /// Returns the list as it was `lag_ms` before `now`.
    pub fn list(&self, now: TimeMs) -> Listing {
        let seen = self.seen_time(now);
        Listing {
            instances: self.live_instances(seen),
            workers: listed(&self.workers, seen),
            endpoints: listed(&self.endpoints, seen),
        }
    }

    fn seen_time(&self, now: TimeMs) -> TimeMs {
        TimeMs::from_ms(now.as_ms().saturating_sub(self.lag_ms))
    }

    fn live_instances(&self, seen: TimeMs) -> Vec<InstanceEntry> {
        self.instances
            .values()
            .filter_map(|lagged| lagged.as_of(seen))
            .filter(|(set_at, _)| seen.ms_since(*set_at) < self.expiry_ms)
            .map(|(_, entry)| entry.clone())
            .collect()
    }
}

fn listed<K, T: Clone>(
    members: &BTreeMap<K, Lagged<Option<T>>>,
    seen: TimeMs,
) -> Vec<T> {
    members
        .values()
        .filter_map(|lagged| lagged.as_of(seen))
        .filter_map(|(_, entry)| entry.clone())
        .collect()
}
