use rustc_hash::FxHashMap;

use super::{
    class_set::ClassSet,
    slot::{ClassSlot, WorkerSlot},
};
use crate::{DataCentre, Resources, config::QueuePolicy};

/// What makes two waiting tasks alike for the choice of a worker.
///
/// Where one task of a class finds no room, none does, so the answer is kept
/// for all of them until room grows. Borg (EuroSys 2015) calls these
/// equivalence classes.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(super) struct ClassKey {
    pub(super) size: Resources,
    pub(super) data_centre: Option<DataCentre>,
    pub(super) policy: QueuePolicy,
    pub(super) urgent: bool,
}

/// The most workers that are tried one by one for a class.
const TRY_LIMIT: usize = 8;

/// Where a class that isn't blocked may find room.
#[derive(Clone, Debug)]
pub(super) enum Openings {
    /// On any worker.
    Anywhere,
    /// Only on these, which freed room after none had any.
    On(Vec<WorkerSlot>),
}

/// The classes in use, and which of them may find room.
#[derive(Clone, Debug, Default)]
pub(super) struct ClassTable {
    keys: Vec<ClassKey>,
    users: Vec<u32>,
    vacant: Vec<ClassSlot>,
    by_key: FxHashMap<ClassKey, ClassSlot>,
    openings: Vec<Openings>,
    /// The classes that were not found to be without room.
    open: ClassSet,
    /// The open classes that may find room on a few workers only.
    narrow: ClassSet,
    blocked: ClassSet,
    urgent: ClassSet,
}

impl ClassTable {
    pub(super) fn get(&self, class: ClassSlot) -> &ClassKey {
        &self.keys[class.at()]
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

    /// Returns the class with this key and counts one more user of it.
    pub(super) fn acquire(&mut self, key: &ClassKey) -> ClassSlot {
        if let Some(&class) = self.by_key.get(key) {
            self.users[class.at()] += 1;
            return class;
        }
        let class = self.take_vacant(key);
        self.by_key.insert(key.clone(), class);
        self.open.insert(class);
        if key.urgent {
            self.urgent.insert(class);
        }
        class
    }

    fn take_vacant(&mut self, key: &ClassKey) -> ClassSlot {
        if let Some(class) = self.vacant.pop() {
            self.keys[class.at()] = key.clone();
            self.users[class.at()] = 1;
            self.openings[class.at()] = Openings::Anywhere;
            return class;
        }
        self.keys.push(key.clone());
        self.users.push(1);
        self.openings.push(Openings::Anywhere);
        ClassSlot(self.keys.len() as u32 - 1)
    }

    /// Counts one user less and forgets a class that nobody uses.
    pub(super) fn release(&mut self, class: ClassSlot) {
        self.users[class.at()] -= 1;
        if self.users[class.at()] > 0 {
            return;
        }
        self.by_key.remove(&self.keys[class.at()]);
        self.open.remove(class);
        self.narrow.remove(class);
        self.blocked.remove(class);
        self.urgent.remove(class);
        self.vacant.push(class);
    }

    /// Notes that no worker has room for the class.
    pub(super) fn block(&mut self, class: ClassSlot) {
        self.open.remove(class);
        self.narrow.remove(class);
        self.blocked.insert(class);
    }

    /// Blocks the narrow classes that fit on none of their few workers.
    pub(super) fn block_narrow(
        &mut self,
        fits: impl Fn(WorkerSlot, &Resources) -> bool,
    ) {
        let hopeless: Vec<ClassSlot> = self
            .narrow
            .iter()
            .filter(|class| {
                let size = &self.keys[class.at()].size;
                let Openings::On(workers) = &self.openings[class.at()] else {
                    return false;
                };
                !workers.iter().any(|&worker| fits(worker, size))
            })
            .collect();
        for class in hopeless {
            self.block(class);
        }
    }

    /// Returns where a class may find room.
    pub(super) fn openings(&self, class: ClassSlot) -> &Openings {
        &self.openings[class.at()]
    }

    /// Opens the classes that fit in the room of one worker, there.
    pub(super) fn open_fitting(
        &mut self,
        worker: WorkerSlot,
        room: &Resources,
        data_centre: &DataCentre,
    ) {
        let blocked = self.blocked.iter().chain(self.narrow.iter());
        let fitting: Vec<ClassSlot> = blocked
            .filter(|class| {
                let key = &self.keys[class.at()];
                let place = key.data_centre.as_ref();
                key.size.fits_in(room)
                    && place.is_none_or(|wanted| wanted == data_centre)
            })
            .collect();
        for class in fitting {
            self.open_on(class, worker);
        }
    }

    fn open_on(&mut self, class: ClassSlot, worker: WorkerSlot) {
        let openings = &mut self.openings[class.at()];
        if self.blocked.contains(class) {
            *openings = Openings::On(vec![worker]);
            self.blocked.remove(class);
            self.open.insert(class);
            self.narrow.insert(class);
            return;
        }
        let Openings::On(workers) = openings else { return };
        if !workers.contains(&worker) {
            workers.push(worker);
        }
        if workers.len() > TRY_LIMIT {
            *openings = Openings::Anywhere;
            self.narrow.remove(class);
        }
    }
}
