use rustc_hash::FxHashMap;

use super::{
    class_set::ClassSet,
    slot::{ClassSlot, WorkerSlot},
};
use crate::{DataCentre, Resources, config::QueuePolicy};

/// The properties of a waiting task that decide which workers it fits on.
///
/// Tasks with the same key form an equivalence class, as in Borg (EuroSys
/// 2015): if one of them finds no worker, none of them does, so the result
/// is kept for the whole class until a worker frees room.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(super) struct ClassKey {
    pub(super) size: Resources,
    pub(super) data_centre: Option<DataCentre>,
    pub(super) policy: QueuePolicy,
    pub(super) urgent: bool,
}

/// How many workers are tried one by one for a class. If more free room, the
/// whole fleet is searched instead.
const CANDIDATE_LIMIT: usize = 8;

/// The workers on which an open class may find room.
#[derive(Clone, Debug)]
pub(super) enum CandidateWorkers {
    /// Any worker of the fleet.
    All,
    /// Only these, which freed room after no worker had any.
    Only(Vec<WorkerSlot>),
}

/// The equivalence classes in use, and which of them may find room.
///
/// Each class is either open or blocked.
#[derive(Clone, Debug, Default)]
pub(super) struct ClassTable {
    keys: Vec<ClassKey>,
    /// How many task groups use each class.
    user_counts: Vec<u32>,
    vacant_slots: Vec<ClassSlot>,
    by_key: FxHashMap<ClassKey, ClassSlot>,
    candidates: Vec<CandidateWorkers>,
    /// The classes that may find room.
    open: ClassSet,
    /// The open classes with [`CandidateWorkers::Only`].
    restricted: ClassSet,
    /// The classes for which no worker has room.
    blocked: ClassSet,
    /// The classes of urgent work, open or blocked.
    urgent: ClassSet,
}

impl ClassTable {
    pub(super) fn get(&self, class: ClassSlot) -> &ClassKey {
        &self.keys[class.index()]
    }

    pub(super) fn open_classes(&self) -> &ClassSet {
        &self.open
    }

    pub(super) fn blocked_classes(&self) -> &ClassSet {
        &self.blocked
    }

    pub(super) fn urgent_classes(&self) -> &ClassSet {
        &self.urgent
    }

    /// Returns the class with this key, adding it if needed, and counts one
    /// more user of it.
    pub(super) fn acquire(&mut self, key: &ClassKey) -> ClassSlot {
        if let Some(&class) = self.by_key.get(key) {
            self.user_counts[class.index()] += 1;
            return class;
        }
        let class = self.allocate_slot(key);
        self.by_key.insert(key.clone(), class);
        self.open.insert(class);
        if key.urgent {
            self.urgent.insert(class);
        }
        class
    }

    /// Stores a new class with one user in a free slot.
    fn allocate_slot(&mut self, key: &ClassKey) -> ClassSlot {
        if let Some(class) = self.vacant_slots.pop() {
            self.keys[class.index()] = key.clone();
            self.user_counts[class.index()] = 1;
            self.candidates[class.index()] = CandidateWorkers::All;
            return class;
        }
        self.keys.push(key.clone());
        self.user_counts.push(1);
        self.candidates.push(CandidateWorkers::All);
        ClassSlot(self.keys.len() as u32 - 1)
    }

    /// Counts one user less and removes the class if it was the last one.
    pub(super) fn release(&mut self, class: ClassSlot) {
        self.user_counts[class.index()] -= 1;
        if self.user_counts[class.index()] > 0 {
            return;
        }
        self.by_key.remove(&self.keys[class.index()]);
        self.open.remove(class);
        self.restricted.remove(class);
        self.blocked.remove(class);
        self.urgent.remove(class);
        self.vacant_slots.push(class);
    }

    /// Records that no worker has room for the class.
    pub(super) fn block(&mut self, class: ClassSlot) {
        self.open.remove(class);
        self.restricted.remove(class);
        self.blocked.insert(class);
    }

    /// Blocks the restricted classes that `fits` accepts on none of their
    /// candidate workers.
    pub(super) fn block_restricted(
        &mut self,
        fits: impl Fn(WorkerSlot, &Resources) -> bool,
    ) {
        let without_room: Vec<ClassSlot> = self
            .restricted
            .iter()
            .filter(|class| {
                let size = &self.keys[class.index()].size;
                let CandidateWorkers::Only(workers) =
                    &self.candidates[class.index()]
                else {
                    return false;
                };
                !workers.iter().any(|&worker| fits(worker, size))
            })
            .collect();
        for class in without_room {
            self.block(class);
        }
    }

    /// Returns the workers on which an open class may find room.
    pub(super) fn candidates(&self, class: ClassSlot) -> &CandidateWorkers {
        &self.candidates[class.index()]
    }

    /// Makes a worker that freed room a candidate of every blocked or
    /// restricted class whose tasks fit into `room`, and opens the blocked
    /// ones.
    pub(super) fn reopen_fitting(
        &mut self,
        worker: WorkerSlot,
        room: &Resources,
        data_centre: &DataCentre,
    ) {
        let blocked = self.blocked.iter().chain(self.restricted.iter());
        let fitting: Vec<ClassSlot> = blocked
            .filter(|class| {
                let key = &self.keys[class.index()];
                let location = key.data_centre.as_ref();
                key.size.fits_in(room)
                    && location.is_none_or(|wanted| wanted == data_centre)
            })
            .collect();
        for class in fitting {
            self.reopen_on(class, worker);
        }
    }

    /// Adds a worker to the candidates of a class, which it opens if needed.
    fn reopen_on(&mut self, class: ClassSlot, worker: WorkerSlot) {
        let candidates = &mut self.candidates[class.index()];
        if self.blocked.contains(class) {
            *candidates = CandidateWorkers::Only(vec![worker]);
            self.blocked.remove(class);
            self.open.insert(class);
            self.restricted.insert(class);
            return;
        }
        let CandidateWorkers::Only(workers) = candidates else { return };
        if !workers.contains(&worker) {
            workers.push(worker);
        }
        if workers.len() > CANDIDATE_LIMIT {
            *candidates = CandidateWorkers::All;
            self.restricted.remove(class);
        }
    }
}
