use rustc_hash::FxHashMap;

use super::{class_set::ClassSet, slot::ClassSlot};
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

/// The classes in use, and which of them may find room.
#[derive(Clone, Debug, Default)]
pub(super) struct ClassTable {
    keys: Vec<ClassKey>,
    users: Vec<u32>,
    vacant: Vec<ClassSlot>,
    by_key: FxHashMap<ClassKey, ClassSlot>,
    /// The classes that were not found to be without room.
    open: ClassSet,
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
        self.open(class);
        if key.urgent {
            self.urgent.insert(class);
        }
        class
    }

    fn take_vacant(&mut self, key: &ClassKey) -> ClassSlot {
        if let Some(class) = self.vacant.pop() {
            self.keys[class.at()] = key.clone();
            self.users[class.at()] = 1;
            return class;
        }
        self.keys.push(key.clone());
        self.users.push(1);
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
        self.blocked.remove(class);
        self.urgent.remove(class);
        self.vacant.push(class);
    }

    /// Notes that no worker has room for the class.
    pub(super) fn block(&mut self, class: ClassSlot) {
        self.open.remove(class);
        self.blocked.insert(class);
    }

    fn open(&mut self, class: ClassSlot) {
        self.blocked.remove(class);
        self.open.insert(class);
    }

    /// Opens the blocked classes that fit in the room of one worker.
    pub(super) fn open_fitting(
        &mut self,
        room: &Resources,
        data_centre: &DataCentre,
    ) {
        let fitting: Vec<ClassSlot> = self
            .blocked
            .iter()
            .filter(|class| {
                let key = &self.keys[class.at()];
                key.size.fits_in(room)
                    && key
                        .data_centre
                        .as_ref()
                        .is_none_or(|wanted| wanted == data_centre)
            })
            .collect();
        for class in fitting {
            self.open(class);
        }
    }
}
