//! The cores of each service, as scheduling passes count them.
//!
//! The workers of one service never run tasks of another, so what is free,
//! kept or waited for in one service says nothing about the others.

use std::collections::BTreeMap;

use limpet_core::TimeMs;
use rustc_hash::FxHashMap;

use super::{
    Engine, speeds::MAX_FAST_PRIORITY, step_context::StepContext,
    turnover::Turnover,
};

/// The fraction of the cores that is kept free for queues of priority 0. Their
/// tasks are short, and preempting others for them would waste work.
const HEADROOM_SHARE: f64 = 0.05;
/// Advice is requested this long before cores come free: about the time that
/// a request and the commit of a claim take.
const ADVICE_LEAD_MS: u64 = 150;

/// The cores of one service, in thousandths.
#[derive(Debug, Default)]
pub(super) struct ServiceRoom {
    /// Free cores of usable workers in this pass.
    pub(super) free_milli: i64,
    /// Free cores without a reservation.
    pub(super) open_milli: i64,
    /// Cores that advice may be requested for: the open cores and those
    /// expected to come free soon, less the headroom and what requests in
    /// progress will use.
    pub(super) spare_milli: i64,
    /// Cores of all usable workers.
    pub(super) usable_milli: i64,
    /// Cores kept free for queues of priority 0.
    pub(super) headroom_milli: i64,
    /// Whether there is a queue that fast workers keep room for.
    pub(super) has_fast_queue: bool,
    /// The cores of all reservations by priority.
    pub(super) reserved_milli: BTreeMap<u32, u64>,
    /// The cores that waiting gangs need by priority.
    pub(super) gang_demand: BTreeMap<u32, u64>,
    /// Whether this pass has visited a gang that keeps resources although it
    /// can't be complete yet.
    pub(super) has_partial_gang: bool,
    /// Whether a step that is no gang misses its objective and is not urgent.
    pub(super) has_late_batch: bool,
    /// The rate at which cores come free.
    pub(super) turnover: Turnover,
}

/// The cores of all services, by name.
#[derive(Debug, Default)]
pub(super) struct ServiceRooms {
    rooms: FxHashMap<String, ServiceRoom>,
    /// Those of a service without workers.
    none: ServiceRoom,
}

impl ServiceRooms {
    /// Returns the cores of a service.
    pub(super) fn get(&self, service: &str) -> &ServiceRoom {
        self.rooms.get(service).unwrap_or(&self.none)
    }

    /// Returns the cores of a service.
    pub(super) fn get_mut(&mut self, service: &str) -> &mut ServiceRoom {
        if !self.rooms.contains_key(service) {
            self.rooms.insert(service.to_owned(), ServiceRoom::default());
        }
        self.rooms.get_mut(service).expect("the service was added")
    }
}

impl ServiceRoom {
    /// Forgets what the latest pass has counted.
    fn begin_pass(&mut self) {
        self.free_milli = 0;
        self.open_milli = 0;
        self.spare_milli = 0;
        self.usable_milli = 0;
        self.headroom_milli = 0;
        self.has_fast_queue = false;
        self.gang_demand.clear();
        self.has_partial_gang = false;
        self.has_late_batch = false;
    }

    /// Returns the cores that are reserved for steps of queues that are at
    /// least as urgent as `priority`, in thousandths.
    pub(super) fn reserved_up_to(&self, priority: u32) -> u64 {
        self.reserved_milli.range(..=priority).map(|(_, milli)| milli).sum()
    }

    /// Returns the cores that gangs of queues that are at least as urgent as
    /// `priority` need besides those that are reserved for them.
    pub(super) fn unmet_demand(&self, priority: u32) -> u64 {
        let demand: u64 =
            self.gang_demand.range(..=priority).map(|(_, milli)| milli).sum();
        demand.saturating_sub(self.reserved_up_to(priority))
    }

    /// Returns the number of tasks of `cores_milli` each that fit into the
    /// open cores without the headroom and `yielded_milli`. A task that needs
    /// more than the headroom may use the part of it that remains otherwise:
    /// a small service would never use all of its workers.
    pub(super) fn fits_outside_headroom(
        &self,
        cores_milli: u64,
        yielded_milli: i64,
    ) -> u32 {
        let kept = self.headroom_milli + yielded_milli;
        let left = (self.open_milli - kept).max(0) as u64;
        let open = self.open_milli.max(0) as u64;
        let fits = match cores_milli > self.headroom_milli as u64 {
            true => (left + cores_milli / 2) / cores_milli,
            false => left / cores_milli,
        };
        fits.min(open / cores_milli).min(u64::from(u32::MAX)) as u32
    }
}

impl Engine {
    /// Returns the cores of the service of a step.
    pub(super) fn room_of(&self, ctx: &StepContext) -> &ServiceRoom {
        self.service_rooms.get(ctx.service())
    }

    /// Updates the counts of free cores for this pass.
    pub(super) fn count_free(&mut self, now: TimeMs) {
        self.count_examined(self.workers.len());
        let rooms = &mut self.service_rooms;
        rooms.rooms.values_mut().for_each(ServiceRoom::begin_pass);
        for worker in
            self.workers.iter().filter(|worker| worker.is_usable(now))
        {
            let left = worker.free().cores_milli;
            let reserved = worker.reserved_free().cores_milli;
            let room = rooms.get_mut(&worker.listing.service);
            room.free_milli += left as i64;
            room.open_milli += (left - reserved) as i64;
            room.usable_milli += worker.listing.capacity.cores_milli as i64;
        }
        for policy in self.policies.values() {
            let room = rooms.get_mut(&policy.service);
            room.has_fast_queue |= policy.priority <= MAX_FAST_PRIORITY;
            if policy.priority == 0 {
                let usable = room.usable_milli as f64;
                room.headroom_milli = (usable * HEADROOM_SHARE) as i64;
            }
        }
        for room in rooms.rooms.values_mut() {
            room.turnover.tick(now);
            let soon = room.turnover.expected_within_ms(ADVICE_LEAD_MS);
            room.spare_milli =
                room.open_milli + soon as i64 - room.headroom_milli;
        }
        // Gangs reserve their cores only once they have advice.
        for request in self.advice_requests.values() {
            let job = self.jobs.get(&request.step.job);
            if let Some(job) = job.filter(|_| !request.gang) {
                rooms.get_mut(&job.policy.service).spare_milli -=
                    request.requested_cores_milli as i64;
            }
        }
    }
}
