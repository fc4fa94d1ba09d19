use std::collections::BTreeMap;

use super::{
    WorkerShape, room_index::RoomIndex, slot::WorkerSlot, worker::Worker,
};
use crate::{DataCentre, Rack, Resources, WorkerId};

/// How many workers with room are compared in each data centre.
const SAMPLE_LIMIT: usize = 12;

/// Data centre and rack of a worker that has not joined yet.
const UNKNOWN_LOCATION: &str = "unknown";
const VALID_NAME: &str = "the constant is a valid name";

/// The workers of the shard, indexed by their room.
///
/// Workers are changed only through [`Fleet::update`], which keeps the index
/// and the totals consistent.
#[derive(Clone, Debug, Default)]
pub(super) struct Fleet {
    workers: Vec<Option<Worker>>,
    vacant_slots: Vec<WorkerSlot>,
    by_name: BTreeMap<WorkerId, WorkerSlot>,
    /// The ready workers of each data centre, ordered by their room.
    rooms: BTreeMap<DataCentre, RoomIndex>,
    /// Total capacity of all workers.
    held: Resources,
    /// Every combination of data centre and capacity of a worker so far.
    shapes_seen: Vec<(DataCentre, Resources)>,
    /// The highest total capacity so far, for each resource.
    peak_held: Resources,
}

impl Fleet {
    /// Returns the total capacity of all workers.
    pub(super) fn held(&self) -> &Resources {
        &self.held
    }

    /// Returns the highest total capacity that the workers have had, for
    /// each resource.
    pub(super) fn peak_held(&self) -> &Resources {
        &self.peak_held
    }

    pub(super) fn slot(&self, worker: &WorkerId) -> Option<WorkerSlot> {
        self.by_name.get(worker).copied()
    }

    pub(super) fn get(&self, worker: WorkerSlot) -> Option<&Worker> {
        self.workers.get(worker.index())?.as_ref()
    }

    /// Returns every worker, ordered by name.
    pub(super) fn iter(&self) -> impl Iterator<Item = &Worker> {
        self.by_name.values().filter_map(|&slot| self.get(slot))
    }

    /// Returns every worker with its slot, ordered by name.
    pub(super) fn slots(&self) -> impl Iterator<Item = (WorkerSlot, &Worker)> {
        self.by_name.values().filter_map(|&slot| Some((slot, self.get(slot)?)))
    }

    /// Returns the data centres that have had ready workers.
    pub(super) fn data_centres(&self) -> impl Iterator<Item = &DataCentre> {
        self.rooms.keys()
    }

    /// Returns whether any worker so far was large enough for a task of this
    /// size, in `data_centre` if one is given.
    pub(super) fn has_ever_fit(
        &self,
        size: &Resources,
        data_centre: Option<&DataCentre>,
    ) -> bool {
        self.shapes_seen.iter().any(|(location, held)| {
            size.fits_in(held)
                && data_centre.is_none_or(|wanted| wanted == location)
        })
    }

    /// Adds a worker, or updates its location and capacity.
    pub(super) fn join(&mut self, shape: &WorkerShape) -> WorkerSlot {
        let seen = (shape.data_centre.clone(), shape.held);
        if !self.shapes_seen.contains(&seen) {
            self.shapes_seen.push(seen);
        }
        let slot = match self.slot(&shape.worker) {
            Some(slot) => slot,
            None => self.allocate_slot(shape),
        };
        self.update(slot, |worker| {
            worker.shape = shape.clone();
            worker.leaving = false;
        });
        slot
    }

    /// Returns the slot of a worker that may run tasks. If it has not joined
    /// yet, adds it without capacity, so that it gets no tasks until it
    /// joins.
    pub(super) fn slot_or_placeholder(&mut self, id: &WorkerId) -> WorkerSlot {
        if let Some(slot) = self.slot(id) {
            return slot;
        }
        let shape = WorkerShape {
            worker: id.clone(),
            data_centre: DataCentre::new(UNKNOWN_LOCATION).expect(VALID_NAME),
            rack: Rack::new(UNKNOWN_LOCATION).expect(VALID_NAME),
            held: Resources::ZERO,
        };
        let slot = self.allocate_slot(&shape);
        self.update(slot, |worker| worker.leaving = true);
        slot
    }

    /// Adds a worker without capacity, in a free slot.
    fn allocate_slot(&mut self, shape: &WorkerShape) -> WorkerSlot {
        let slot = self.vacant_slots.pop().unwrap_or_else(|| {
            self.workers.push(None);
            WorkerSlot(self.workers.len() as u32 - 1)
        });
        let empty = WorkerShape { held: Resources::ZERO, ..shape.clone() };
        self.workers[slot.index()] = Some(Worker::new(&empty));
        self.by_name.insert(shape.worker.clone(), slot);
        slot
    }

    /// Removes a worker and frees its slot.
    pub(super) fn remove(&mut self, slot: WorkerSlot) {
        self.remove_from_index(slot);
        let Some(worker) = self.workers[slot.index()].take() else { return };
        self.held = self.held.minus(&worker.shape.held);
        self.by_name.remove(&worker.shape.worker);
        self.vacant_slots.push(slot);
    }

    /// Changes a worker and updates the index and the totals. Returns the
    /// result of `change`, or `None` if there is no worker in the slot.
    pub(super) fn update<R>(
        &mut self,
        slot: WorkerSlot,
        change: impl FnOnce(&mut Worker) -> R,
    ) -> Option<R> {
        self.remove_from_index(slot);
        let worker = self.workers.get_mut(slot.index())?.as_mut()?;
        self.held = self.held.minus(&worker.shape.held);
        let result = change(worker);
        self.held = self.held.plus(&worker.shape.held);
        self.peak_held = max_of(&self.peak_held, &self.held);
        self.insert_into_index(slot);
        Some(result)
    }

    fn remove_from_index(&mut self, slot: WorkerSlot) {
        let Some(Some(worker)) = self.workers.get_mut(slot.index()) else {
            return;
        };
        let Some(key) = worker.indexed_at.take() else { return };
        let accelerated = worker.shape.held.accelerators > 0;
        if let Some(rooms) = self.rooms.get_mut(&worker.shape.data_centre) {
            rooms.remove(accelerated, key, slot);
        }
    }

    fn insert_into_index(&mut self, slot: WorkerSlot) {
        let Some(Some(worker)) = self.workers.get_mut(slot.index()) else {
            return;
        };
        if !worker.is_ready() {
            return;
        }
        if !self.rooms.contains_key(&worker.shape.data_centre) {
            let data_centre = worker.shape.data_centre.clone();
            self.rooms.insert(data_centre, RoomIndex::default());
        }
        let key = worker.room().cores_milli;
        worker.indexed_at = Some(key);
        let accelerated = worker.shape.held.accelerators > 0;
        if let Some(rooms) = self.rooms.get_mut(&worker.shape.data_centre) {
            rooms.insert(accelerated, key, slot);
        }
    }

    /// Returns the worker on which a task of `size` leaves the least room.
    ///
    /// Only the first few workers with room are compared, so that the cost
    /// stays nearly constant as the fleet grows.
    pub(super) fn find_best_fit(
        &self,
        size: &Resources,
        data_centre: Option<&DataCentre>,
    ) -> Option<WorkerSlot> {
        let found = self.search(size, data_centre, |rooms, accelerated| {
            rooms.fullest_first(accelerated, size.cores_milli)
        });
        best_fit(&found, size)
    }

    /// Returns the worker with the lowest `crowding`. Among those with equal
    /// `crowding`, returns the one with the most room.
    ///
    /// Only the first few workers with room are compared, as in
    /// [`Fleet::find_best_fit`].
    pub(super) fn find_least_crowded(
        &self,
        size: &Resources,
        data_centre: Option<&DataCentre>,
        crowding: impl Fn(&Worker) -> u32,
    ) -> Option<WorkerSlot> {
        let found = self.search(size, data_centre, |rooms, accelerated| {
            rooms.emptiest_first(accelerated, size.cores_milli)
        });
        least_crowded(&found, size, crowding)
    }

    /// Returns those of `workers` that are ready and have room for `size`.
    pub(super) fn with_room_among(
        &self,
        workers: &[WorkerSlot],
        size: &Resources,
        data_centre: Option<&DataCentre>,
    ) -> Vec<(WorkerSlot, &Worker)> {
        workers
            .iter()
            .filter_map(|&slot| Some((slot, self.get(slot)?)))
            .filter(|(_, worker)| {
                let location = &worker.shape.data_centre;
                worker.is_ready()
                    && size.fits_in(&worker.room())
                    && data_centre.is_none_or(|wanted| wanted == location)
            })
            .collect()
    }

    /// Returns a few workers with room in each data centre.
    ///
    /// Workers with accelerators are returned only if the task needs
    /// accelerators or no other worker has room.
    fn search<'a, I: Iterator<Item = WorkerSlot> + 'a>(
        &'a self,
        size: &'a Resources,
        data_centre: Option<&'a DataCentre>,
        candidates: impl Fn(&'a RoomIndex, bool) -> I + 'a,
    ) -> Vec<(WorkerSlot, &'a Worker)> {
        let sample = move |accelerated: bool| {
            let mut found = Vec::new();
            for (location, rooms) in &self.rooms {
                if data_centre.is_none_or(|wanted| wanted == location) {
                    found.extend(
                        candidates(rooms, accelerated)
                            .filter_map(|slot| Some((slot, self.get(slot)?)))
                            .filter(|(_, worker)| size.fits_in(&worker.room()))
                            .take(SAMPLE_LIMIT),
                    );
                }
            }
            found
        };
        let mut found = Vec::new();
        if size.accelerators == 0 {
            found = sample(false);
        }
        if found.is_empty() {
            found = sample(true);
        }
        found
    }
}

/// Returns the worker on which a task of `size` leaves the least room.
pub(super) fn best_fit(
    found: &[(WorkerSlot, &Worker)],
    size: &Resources,
) -> Option<WorkerSlot> {
    found
        .iter()
        .map(|&(slot, worker)| (room_left_milli(worker, size), slot))
        .min()
        .map(|(_, slot)| slot)
}

/// Returns the worker with the lowest `crowding`. Among those with equal
/// `crowding`, returns the one with the most room.
pub(super) fn least_crowded(
    found: &[(WorkerSlot, &Worker)],
    size: &Resources,
    crowding: impl Fn(&Worker) -> u32,
) -> Option<WorkerSlot> {
    found
        .iter()
        .map(|&(slot, worker)| {
            // The sum is at most 1000 for each of the three resources.
            let used_milli = 3000 - room_left_milli(worker, size).min(3000);
            (crowding(worker), used_milli, slot)
        })
        .min()
        .map(|(_, _, slot)| slot)
}

/// Returns the room that a task of `size` would leave on a worker, in
/// thousandths of the worker's capacity, summed over its three resources.
fn room_left_milli(worker: &Worker, size: &Resources) -> u64 {
    let left = worker.room().minus(size);
    let held = &worker.shape.held;
    let milli = |amount: u64, of: u64| (amount * 1000).checked_div(of);
    milli(left.cores_milli, held.cores_milli).unwrap_or(0)
        + milli(left.memory_mb, held.memory_mb).unwrap_or(0)
        + milli(left.accelerators, held.accelerators).unwrap_or(0)
}

/// Returns the larger amount of each resource.
fn max_of(left: &Resources, right: &Resources) -> Resources {
    Resources::new(
        left.cores_milli.max(right.cores_milli),
        left.memory_mb.max(right.memory_mb),
        left.accelerators.max(right.accelerators),
    )
}
