//! Room for gangs: it is kept as short tasks end, until all members fit.

use limpet_core::TimeMs;

use super::{Engine, Moment, advice::AskCandidate, schedule::StepFacts};
use crate::{
    key::StepKey,
    worker::{Reservation, WorkerSlot},
};

/// How long a reservation stands unless a pass renews it.
const RESERVATION_MS: u64 = 300;
/// The part of all cores that gangs may keep beyond those that are free.
const GATHERING_SHARE: f64 = 0.1;

/// A worker that a gang could have some members on.
#[derive(Clone, Copy, Debug)]
struct Place {
    worker: WorkerSlot,
    fits: u32,
    /// The cores that have to become free for that, in thousandths.
    missing_milli: u64,
}

impl Engine {
    /// Gathers room for the `need` members of a gang, on workers that the
    /// queue's policy allows.
    pub(super) fn acquire_room(
        &mut self,
        facts: &StepFacts,
        need: u32,
        by_force: bool,
        now: Moment,
    ) {
        let step = self.jobs[&facts.key.job]
            .step(facts.key.occurrence, facts.key.step);
        if step.ask.is_some() || !self.may_gather(facts, need) {
            return;
        }
        let places = self.places(facts, now.steady);
        let total: u32 = places.iter().map(|place| place.fits).sum();
        if total < need {
            if self.has_free_lane() || by_force {
                self.ask_for_gang(facts, need - total, now);
            }
            return;
        }
        if by_force {
            self.make_room(facts, need, now);
        }
        self.reserve(facts, places, need, now.steady);
    }

    /// Says whether a gang may keep room besides the others that do: what is
    /// free anyway, and a little more.
    fn may_gather(&self, facts: &StepFacts, need: u32) -> bool {
        let mut kept = self.wanted_by_gangs(facts.key);
        for worker in &self.workers {
            for one in &worker.reservations {
                if one.step != facts.key {
                    kept += one.room.cores_milli;
                }
            }
        }
        let own = facts.counted.cores_milli * u64::from(need);
        let idle = self.usable_cores_milli as f64 * GATHERING_SHARE;
        let most = self.free_cores_milli as f64 + idle;
        kept == 0 || (kept + own) as f64 <= most
    }

    /// Returns the cores that other gangs ask for, in thousandths.
    fn wanted_by_gangs(&self, key: StepKey) -> u64 {
        self.asks
            .values()
            .filter(|ask| ask.step != key)
            .filter(|ask| {
                let job = self.jobs.get(&ask.step.job);
                job.is_some_and(|job| job.step_spec(ask.step.step).gang)
            })
            .map(|ask| ask.wanted_cores_milli)
            .sum()
    }

    /// Returns the workers that the gang has tickets for.
    fn places(&self, facts: &StepFacts, now: TimeMs) -> Vec<Place> {
        let step = self.jobs[&facts.key.job]
            .step(facts.key.occurrence, facts.key.step);
        let mut places = Vec::new();
        for (slot, worker) in self.workers.iter().enumerate() {
            let slot = slot as WorkerSlot;
            let ticketed = facts.policy.is_none()
                || step
                    .tickets
                    .get(&slot)
                    .is_some_and(|ticket| ticket.is_valid(now));
            if !ticketed || !self.may_host(facts, worker, now) {
                continue;
            }
            let room = worker.room_in_time(facts.key);
            let fits = self.fits_on(facts, slot, &room);
            if fits == 0 {
                continue;
            }
            let free = worker.room_for(facts.key, facts.priority).cores_milli;
            let wanted = facts.counted.cores_milli * u64::from(fits);
            let missing_milli = wanted.saturating_sub(free);
            places.push(Place { worker: slot, fits, missing_milli });
        }
        places.sort_by_key(|place| {
            (place.missing_milli / u64::from(place.fits), place.worker)
        });
        places
    }

    fn reserve(
        &mut self,
        facts: &StepFacts,
        places: Vec<Place>,
        need: u32,
        now: TimeMs,
    ) {
        self.unreserve(facts.key);
        let mut left = need;
        for place in places {
            let taken = place.fits.min(left);
            if taken == 0 {
                break;
            }
            left -= taken;
            self.workers[place.worker as usize].reservations.push(
                Reservation {
                    step: facts.key,
                    priority: facts.priority,
                    room: facts.counted.times(u64::from(taken)),
                    until: now.plus_ms(RESERVATION_MS),
                },
            );
        }
    }

    /// Gives up the room that is kept for a step.
    pub(super) fn unreserve(&mut self, key: StepKey) {
        for worker in &mut self.workers {
            worker.reservations.retain(|one| one.step != key);
        }
    }

    fn ask_for_gang(&mut self, facts: &StepFacts, need: u32, now: Moment) {
        let Some(policy) = facts.policy else { return };
        let step = self.jobs[&facts.key.job]
            .step(facts.key.occurrence, facts.key.step);
        if now.steady < step.ask_after {
            return;
        }
        let mut candidates = Vec::new();
        for (slot, worker) in self.workers.iter().enumerate() {
            let slot = slot as WorkerSlot;
            let verdict = step.verdicts.get(&slot).copied();
            let ticketed = step
                .tickets
                .get(&slot)
                .is_some_and(|ticket| ticket.is_valid(now.steady));
            if ticketed
                || verdict == Some(false)
                || !self.may_host(facts, worker, now.steady)
            {
                continue;
            }
            let room = worker.room_in_time(facts.key);
            let fits = self.fits_on(facts, slot, &room);
            if fits > 0 {
                candidates.push(AskCandidate {
                    worker: slot,
                    fits,
                    allowed: verdict == Some(true),
                });
            }
        }
        self.ask_for(facts.key, policy, candidates, need);
    }
}
