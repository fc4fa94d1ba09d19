use std::collections::BTreeMap;

use super::{
    WorkerShape, room_index::RoomIndex, slot::WorkerSlot, worker::Worker,
};
use crate::{DataCentre, Rack, Resources, WorkerId};

/// How many workers with room are compared before one is chosen.
const SAMPLE_LIMIT: usize = 12;

/// Where a worker stands that has not said so yet.
const UNKNOWN_PLACE: &str = "unknown";
const VALID_NAME: &str = "the constant is a valid name";

/// The workers of the shard, with an index over their room.
///
/// Every change goes through [`Fleet::update`], which keeps the index and
/// the sums right.
#[derive(Clone, Debug, Default)]
pub(super) struct Fleet {
    workers: Vec<Option<Worker>>,
    vacant: Vec<WorkerSlot>,
    by_name: BTreeMap<WorkerId, WorkerSlot>,
    rooms: BTreeMap<DataCentre, RoomIndex>,
    held: Resources,
    /// Every shape that the shard has had, with the most that a data
    /// centre held at once.
    shapes_seen: Vec<(DataCentre, Resources)>,
    most_held: Resources,
}

impl Fleet {
    /// Returns what all workers hold together.
    pub(super) fn held(&self) -> &Resources {
        &self.held
    }

    /// Returns the most that all workers held together at any time.
    pub(super) fn most_held(&self) -> &Resources {
        &self.most_held
    }

    pub(super) fn slot(&self, worker: &WorkerId) -> Option<WorkerSlot> {
        self.by_name.get(worker).copied()
    }

    pub(super) fn get(&self, worker: WorkerSlot) -> Option<&Worker> {
        self.workers.get(worker.at())?.as_ref()
    }

    /// Returns every worker, by name.
    pub(super) fn iter(&self) -> impl Iterator<Item = &Worker> {
        self.by_name.values().filter_map(|&slot| self.get(slot))
    }

    /// Returns every worker with its slot, by name.
    pub(super) fn slots(&self) -> impl Iterator<Item = (WorkerSlot, &Worker)> {
        self.by_name.values().filter_map(|&slot| Some((slot, self.get(slot)?)))
    }

    /// Returns the data centres that have had workers.
    pub(super) fn data_centres(&self) -> impl Iterator<Item = &DataCentre> {
        self.rooms.keys()
    }

    /// Says whether a worker of some shape that the shard has had could run
    /// a task of this size.
    pub(super) fn ever_fitted(
        &self,
        size: &Resources,
        data_centre: Option<&DataCentre>,
    ) -> bool {
        self.shapes_seen.iter().any(|(place, held)| {
            size.fits_in(held)
                && data_centre.is_none_or(|wanted| wanted == place)
        })
    }

    /// Adds a worker, or takes in its new shape.
    pub(super) fn join(&mut self, shape: &WorkerShape) -> WorkerSlot {
        let seen = (shape.data_centre.clone(), shape.held);
        if !self.shapes_seen.contains(&seen) {
            self.shapes_seen.push(seen);
        }
        let slot = match self.slot(&shape.worker) {
            Some(slot) => slot,
            None => self.take_vacant(shape),
        };
        self.update(slot, |worker| {
            worker.shape = shape.clone();
            worker.leaving = false;
        });
        slot
    }

    /// Returns the slot of a worker that may hold tasks. One that has not
    /// joined is kept without room until it joins or lapses.
    pub(super) fn slot_or_expected(&mut self, id: &WorkerId) -> WorkerSlot {
        if let Some(slot) = self.slot(id) {
            return slot;
        }
        let shape = WorkerShape {
            worker: id.clone(),
            data_centre: DataCentre::new(UNKNOWN_PLACE).expect(VALID_NAME),
            rack: Rack::new(UNKNOWN_PLACE).expect(VALID_NAME),
            held: Resources::ZERO,
        };
        let slot = self.take_vacant(&shape);
        self.update(slot, |worker| worker.leaving = true);
        slot
    }

    fn take_vacant(&mut self, shape: &WorkerShape) -> WorkerSlot {
        let slot = self.vacant.pop().unwrap_or_else(|| {
            self.workers.push(None);
            WorkerSlot(self.workers.len() as u32 - 1)
        });
        let empty = WorkerShape { held: Resources::ZERO, ..shape.clone() };
        self.workers[slot.at()] = Some(Worker::new(&empty));
        self.by_name.insert(shape.worker.clone(), slot);
        slot
    }

    /// Takes a worker out for good.
    pub(super) fn remove(&mut self, slot: WorkerSlot) {
        self.take_out_of_index(slot);
        let Some(worker) = self.workers[slot.at()].take() else { return };
        self.held = self.held.minus(&worker.shape.held);
        self.by_name.remove(&worker.shape.worker);
        self.vacant.push(slot);
    }

    /// Changes a worker and puts it where it now belongs in the index.
    pub(super) fn update<R>(
        &mut self,
        slot: WorkerSlot,
        change: impl FnOnce(&mut Worker) -> R,
    ) -> Option<R> {
        self.take_out_of_index(slot);
        let worker = self.workers.get_mut(slot.at())?.as_mut()?;
        self.held = self.held.minus(&worker.shape.held);
        let result = change(worker);
        self.held = self.held.plus(&worker.shape.held);
        self.most_held = max_of(&self.most_held, &self.held);
        self.put_into_index(slot);
        Some(result)
    }

    fn take_out_of_index(&mut self, slot: WorkerSlot) {
        let Some(Some(worker)) = self.workers.get_mut(slot.at()) else {
            return;
        };
        let Some(key) = worker.indexed_at.take() else { return };
        let accelerated = worker.shape.held.accelerators > 0;
        if let Some(rooms) = self.rooms.get_mut(&worker.shape.data_centre) {
            rooms.remove(accelerated, key, slot);
        }
    }

    fn put_into_index(&mut self, slot: WorkerSlot) {
        let Some(Some(worker)) = self.workers.get_mut(slot.at()) else {
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

    /// Returns the worker that the size leaves the least room on.
    ///
    /// Only the first few workers with room are compared, so the cost stays
    /// near constant while the fleet grows.
    pub(super) fn find_packed(
        &self,
        size: &Resources,
        data_centre: Option<&DataCentre>,
    ) -> Option<WorkerSlot> {
        let found = self.search(size, data_centre, |rooms, accelerated| {
            rooms.fullest_first(accelerated, size.cores_milli)
        });
        tightest(&found, size)
    }

    /// Returns the worker with the least of `crowding`, the emptiest first.
    pub(super) fn find_spread(
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

    /// Returns the workers of a few that have room.
    pub(super) fn among(
        &self,
        workers: &[WorkerSlot],
        size: &Resources,
        data_centre: Option<&DataCentre>,
    ) -> Vec<(WorkerSlot, &Worker)> {
        workers
            .iter()
            .filter_map(|&slot| Some((slot, self.get(slot)?)))
            .filter(|(_, worker)| {
                let place = &worker.shape.data_centre;
                worker.is_ready()
                    && size.fits_in(&worker.room())
                    && data_centre.is_none_or(|wanted| wanted == place)
            })
            .collect()
    }

    /// Returns a few workers with room in each data centre; those with
    /// accelerators only where the others have no room.
    fn search<'a, I: Iterator<Item = WorkerSlot> + 'a>(
        &'a self,
        size: &'a Resources,
        data_centre: Option<&'a DataCentre>,
        candidates: impl Fn(&'a RoomIndex, bool) -> I + 'a,
    ) -> Vec<(WorkerSlot, &'a Worker)> {
        let sample = move |accelerated: bool| {
            let mut found = Vec::new();
            for (place, rooms) in &self.rooms {
                if data_centre.is_none_or(|wanted| wanted == place) {
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

/// Returns the worker that the size leaves the least room on.
pub(super) fn tightest(
    found: &[(WorkerSlot, &Worker)],
    size: &Resources,
) -> Option<WorkerSlot> {
    found
        .iter()
        .map(|&(slot, worker)| (remainder(worker, size), slot))
        .min()
        .map(|(_, slot)| slot)
}

/// Returns the worker with the least of `crowding`, the emptiest first.
pub(super) fn least_crowded(
    found: &[(WorkerSlot, &Worker)],
    size: &Resources,
    crowding: impl Fn(&Worker) -> u32,
) -> Option<WorkerSlot> {
    found
        .iter()
        .map(|&(slot, worker)| {
            let taken = 3000 - remainder(worker, size).min(3000);
            (crowding(worker), taken, slot)
        })
        .min()
        .map(|(_, _, slot)| slot)
}

/// Returns what would be left free, in thousandths of the worker, added up
/// over its resources.
fn remainder(worker: &Worker, size: &Resources) -> u64 {
    let rest = worker.room().minus(size);
    let held = &worker.shape.held;
    let part = |amount: u64, of: u64| (amount * 1000).checked_div(of);
    part(rest.cores_milli, held.cores_milli).unwrap_or(0)
        + part(rest.memory_mb, held.memory_mb).unwrap_or(0)
        + part(rest.accelerators, held.accelerators).unwrap_or(0)
}

fn max_of(left: &Resources, right: &Resources) -> Resources {
    Resources::new(
        left.cores_milli.max(right.cores_milli),
        left.memory_mb.max(right.memory_mb),
        left.accelerators.max(right.accelerators),
    )
}
