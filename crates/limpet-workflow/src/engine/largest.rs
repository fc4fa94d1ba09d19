//! The largest capacities of workers, by what a step requires of them.

use limpet_core::Resources;
use rustc_hash::FxHashMap;

use crate::worker::Worker;

/// The most labels to keep for each service. Jobs may name any.
const MAX_LABELS: usize = 256;

/// The largest capacity among the listed workers that are not in evacuated
/// data centres, in each resource, for the requirements of steps that wait. Computed on demand.
#[derive(Debug, Default)]
pub(super) struct LargestCapacities {
    /// By service and required label; `None` if no worker meets these.
    known: FxHashMap<String, FxHashMap<Option<String>, Option<Resources>>>,
}

impl LargestCapacities {
    /// Forgets all capacities, after a change of the workers.
    pub(super) fn clear(&mut self) {
        self.known.clear();
    }

    /// Returns the largest capacity if it is known.
    pub(super) fn get(
        &self,
        service: &str,
        label: &Option<String>,
    ) -> Option<Option<Resources>> {
        self.known.get(service)?.get(label).copied()
    }

    /// Determines the largest capacity.
    pub(super) fn determine(
        &mut self,
        service: &str,
        label: &Option<String>,
        workers: &[Worker],
    ) -> Option<Resources> {
        let largest = workers
            .iter()
            .filter(|worker| {
                worker.listed
                    && !worker.evacuated
                    && worker.listing.service == service
                    && label
                        .as_ref()
                        .is_none_or(|label| worker.has_label(label))
            })
            .map(|worker| worker.listing.capacity)
            .reduce(|a, b| Resources {
                cores_milli: a.cores_milli.max(b.cores_milli),
                memory_mb: a.memory_mb.max(b.memory_mb),
                accelerators: a.accelerators.max(b.accelerators),
            });
        let by_label = self.known.entry(service.to_owned()).or_default();
        if by_label.len() >= MAX_LABELS {
            by_label.clear();
        }
        by_label.insert(label.clone(), largest);
        largest
    }
}
