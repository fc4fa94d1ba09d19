//! Reservations of workers' resources, with an index by step.

use limpet_core::TimeMs;

use super::Engine;
use crate::{
    key::StepKey,
    worker::{Reservation, WorkerSlot},
};

impl Engine {
    /// Adds a reservation on a worker, in place of an earlier one of the step.
    pub(super) fn add_reservation(
        &mut self,
        slot: WorkerSlot,
        reservation: Reservation,
    ) {
        let step = reservation.step;
        self.remove_reservation(slot, step);
        let worker = &mut self.workers[slot as usize];
        let room = self.service_rooms.get_mut(&worker.listing.service);
        *room.reserved_milli.entry(reservation.priority).or_default() +=
            reservation.room.cores_milli;
        worker.reservations.push(reservation);
        self.reserved_by.entry(step).or_default().push(slot);
    }

    /// Removes the reservation of a step on a worker, if there is one.
    fn remove_reservation(&mut self, slot: WorkerSlot, step: StepKey) {
        let Some(slots) = self.reserved_by.get_mut(&step) else { return };
        slots.retain(|own| *own != slot);
        if slots.is_empty() {
            self.reserved_by.remove(&step);
        }
        let worker = &mut self.workers[slot as usize];
        let room = self.service_rooms.get_mut(&worker.listing.service);
        worker.reservations.retain(|reservation| {
            let is_kept = reservation.step != step;
            if !is_kept {
                let reserved = room.reserved_milli.entry(reservation.priority);
                *reserved.or_default() -= reservation.room.cores_milli;
            }
            is_kept
        });
    }

    /// Cancels all reservations for a step.
    pub(super) fn cancel_reservations(&mut self, step: StepKey) {
        let slots = self.reserved_by.get(&step).cloned().unwrap_or_default();
        self.count_examined(slots.len());
        for slot in slots {
            self.remove_reservation(slot, step);
        }
    }

    /// Cancels all reservations on a worker.
    pub(super) fn cancel_reservations_on(&mut self, slot: WorkerSlot) {
        let steps: Vec<StepKey> = self.workers[slot as usize]
            .reservations
            .iter()
            .map(|reservation| reservation.step)
            .collect();
        for step in steps {
            self.remove_reservation(slot, step);
        }
    }

    /// Cancels the reservations on a worker that have expired, but not those
    /// of steps that wait for their turn and so can't renew them.
    pub(super) fn expire_reservations(
        &mut self,
        slot: WorkerSlot,
        now: TimeMs,
    ) {
        let expired: Vec<StepKey> = self.workers[slot as usize]
            .reservations
            .iter()
            .filter(|reservation| {
                reservation.until <= now
                    && !self.left_since.contains_key(&reservation.step)
            })
            .map(|reservation| reservation.step)
            .collect();
        for step in expired {
            self.remove_reservation(slot, step);
        }
    }

    /// Returns the cores that are reserved for a step, in thousandths.
    pub(super) fn reserved_cores_milli_for(&self, step: StepKey) -> u64 {
        let Some(slots) = self.reserved_by.get(&step) else { return 0 };
        self.count_examined(slots.len());
        slots
            .iter()
            .flat_map(|slot| &self.workers[*slot as usize].reservations)
            .filter(|reservation| reservation.step == step)
            .map(|reservation| reservation.room.cores_milli)
            .sum()
    }
}
