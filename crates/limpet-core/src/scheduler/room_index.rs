use std::collections::BTreeSet;

use super::slot::WorkerSlot;

/// The ready workers of one data centre, ordered by their free cores, that
/// is those that are neither committed nor reserved.
///
/// Workers with accelerators are listed apart, so that tasks that need none
/// are placed there last.
#[derive(Clone, Debug, Default)]
pub(super) struct RoomIndex {
    plain: BTreeSet<(u64, WorkerSlot)>,
    accelerated: BTreeSet<(u64, WorkerSlot)>,
}

impl RoomIndex {
    pub(super) fn insert(
        &mut self,
        accelerated: bool,
        cores_milli: u64,
        worker: WorkerSlot,
    ) {
        self.part_mut(accelerated).insert((cores_milli, worker));
    }

    pub(super) fn remove(
        &mut self,
        accelerated: bool,
        cores_milli: u64,
        worker: WorkerSlot,
    ) {
        self.part_mut(accelerated).remove(&(cores_milli, worker));
    }

    /// Returns the workers with at least `cores_milli` free, the one with the
    /// fewest free cores first.
    pub(super) fn fullest_first(
        &self,
        accelerated: bool,
        cores_milli: u64,
    ) -> impl Iterator<Item = WorkerSlot> + '_ {
        self.part(accelerated)
            .range((cores_milli, WorkerSlot(0))..)
            .map(|&(_, worker)| worker)
    }

    /// Returns the workers with at least `cores_milli` free, the one with the
    /// most free cores first.
    pub(super) fn emptiest_first(
        &self,
        accelerated: bool,
        cores_milli: u64,
    ) -> impl Iterator<Item = WorkerSlot> + '_ {
        self.part(accelerated)
            .range((cores_milli, WorkerSlot(0))..)
            .rev()
            .map(|&(_, worker)| worker)
    }

    fn part(&self, accelerated: bool) -> &BTreeSet<(u64, WorkerSlot)> {
        if accelerated { &self.accelerated } else { &self.plain }
    }

    fn part_mut(
        &mut self,
        accelerated: bool,
    ) -> &mut BTreeSet<(u64, WorkerSlot)> {
        if accelerated { &mut self.accelerated } else { &mut self.plain }
    }
}
