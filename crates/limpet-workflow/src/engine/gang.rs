//! Room for gangs: it is kept as short tasks end, until all members fit.

use limpet_core::{Resources, TimeMs};

use super::{
    Engine, Moment, advice::AskCandidate, ends::counted_resources,
    job::ClaimPhase, schedule::StepFacts,
};
use crate::{
    key::StepKey,
    worker::{Reservation, WorkerSlot},
};

/// How long a reservation stands unless a pass renews it.
const RESERVATION_MS: u64 = 300;
/// The part of the free cores that gangs may keep; the rest is for steps
/// that need no gathering.
const FREE_SHARE: f64 = 0.5;
/// The part of all cores that gangs may keep besides.
const GATHERING_SHARE: f64 = 0.15;
/// After this time, tasks that save their progress make way for a gang.
const GATHERING_MS: u64 = 600;
/// With this part of the room free, tickets are asked for.
const TICKET_SHARE: f64 = 0.6;
/// A ticket that runs out sooner is asked for anew.
const TICKET_LEFT_MS: u64 = 300;

/// A worker that a gang could have some members on.
#[derive(Clone, Copy, Debug)]
struct Place {
    worker: WorkerSlot,
    fits: u32,
    /// The members that don't fit yet.
    missing: u32,
}

/// One more member of a gang on a worker.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Seat {
    /// The room that it needs besides what is free, in thousandths of a
    /// member.
    missing: u64,
    worker: WorkerSlot,
    /// Which member on this worker it is.
    nth: u32,
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
        if !self.may_gather(facts, need) {
            return;
        }
        let seats = self.seats(facts, now.steady);
        let total = seats.len() as u32;
        let is_asked = self.jobs[&facts.key.job]
            .step(facts.key.occurrence, facts.key.step)
            .ask
            .is_some();
        if total < need {
            if !is_asked && (self.has_free_lane() || by_force) {
                self.ask_for_gang(facts, need - total, now);
            }
            return;
        }
        let chosen = self.reserve(facts, &seats, need, now.steady);
        if by_force || self.gathered_ms(facts, now) >= GATHERING_MS {
            for place in &chosen {
                self.clear_reserved(facts, place, now);
            }
        }
        if !is_asked {
            self.renew_tickets(facts, &chosen, need, now);
        }
    }

    /// Returns for how long a gang has gathered room.
    fn gathered_ms(&mut self, facts: &StepFacts, now: Moment) -> u64 {
        let Some(job) = self.jobs.get_mut(&facts.key.job) else { return 0 };
        let step = job.step_mut(facts.key.occurrence, facts.key.step);
        let since = *step.gathering_since.get_or_insert(now.steady);
        now.steady.ms_since(since)
    }

    /// Stops tasks that save their progress until what is kept for a gang on
    /// a worker is free or becomes so.
    fn clear_reserved(
        &mut self,
        facts: &StepFacts,
        place: &Place,
        now: Moment,
    ) {
        let worker = &self.workers[place.worker as usize];
        let mut room = worker
            .room_for(facts.key, facts.priority)
            .plus(&self.stopping_resources(place.worker));
        let mut victims = self.victims(facts, place.worker, now);
        victims.retain(|victim| victim.lost == 0);
        for victim in victims {
            if self.fits_on(facts, place.worker, &room) >= place.fits {
                return;
            }
            room = room.plus(&victim.resources);
            self.preempt(victim.task, now);
        }
    }

    /// Returns what tasks take that are being stopped on a worker.
    fn stopping_resources(&self, slot: WorkerSlot) -> Resources {
        self.claims_of(slot)
            .into_iter()
            .filter(|(task, _)| {
                matches!(
                    self.claim_phase(*task),
                    Some(ClaimPhase::Stopping | ClaimPhase::Stopped)
                )
            })
            .filter_map(|(task, _)| {
                let job = self.jobs.get(&task.step.job)?;
                Some(counted_resources(job.step_spec(task.step.step)))
            })
            .fold(Resources::ZERO, |sum, one| sum.plus(&one))
    }

    /// Asks for tickets anew once most of the room is there.
    fn renew_tickets(
        &mut self,
        facts: &StepFacts,
        chosen: &[Place],
        need: u32,
        now: Moment,
    ) {
        let Some(policy) = facts.policy else { return };
        let missing: u32 = chosen.iter().map(|one| one.missing).sum();
        if f64::from(missing) > f64::from(need) * (1.0 - TICKET_SHARE) {
            return;
        }
        let soon = now.steady.plus_ms(TICKET_LEFT_MS);
        let step = self.jobs[&facts.key.job]
            .step(facts.key.occurrence, facts.key.step);
        if now.steady < step.ask_after {
            return;
        }
        let stale: Vec<AskCandidate> = chosen
            .iter()
            .filter(|place| !step.has_ticket(place.worker, soon))
            .map(|place| AskCandidate {
                worker: place.worker,
                fits: place.fits,
                allowed: true,
                kept: false,
            })
            .collect();
        if !stale.is_empty() {
            self.ask_for(facts.key, policy, stale, need);
        }
    }

    /// Says whether a gang may keep room besides the others that do: a part
    /// of what is free anyway, and a little more.
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
        let most = self.free_cores_milli as f64 * FREE_SHARE + idle;
        kept == 0 || (kept + own) as f64 <= most
    }

    /// Returns the cores that other gangs ask for, in thousandths.
    fn wanted_by_gangs(&self, key: StepKey) -> u64 {
        self.asks
            .values()
            .filter(|ask| ask.gang && ask.step != key)
            .map(|ask| ask.wanted_cores_milli)
            .sum()
    }

    /// Returns the members that fit in time on each worker that is known to
    /// be allowed, those first that need least room besides what is free.
    fn seats(&self, facts: &StepFacts, now: TimeMs) -> Vec<Seat> {
        let step = self.jobs[&facts.key.job]
            .step(facts.key.occurrence, facts.key.step);
        let mut seats = Vec::new();
        for (slot, worker) in self.workers.iter().enumerate() {
            let slot = slot as WorkerSlot;
            let allowed = facts.policy.is_none()
                || step.verdicts.get(&slot) == Some(&true);
            if !allowed || !self.may_host(facts, worker, now) {
                continue;
            }
            let in_time = worker.room_in_time(facts.key);
            let free = worker.room_for(facts.key, facts.priority);
            for nth in 1..=self.fits_on(facts, slot, &in_time) {
                let wanted = facts.counted.times(u64::from(nth));
                let missing = parts_of(&wanted.minus(&free), &facts.counted);
                seats.push(Seat { missing, worker: slot, nth });
            }
        }
        seats.sort();
        seats
    }

    /// Keeps room for a gang on the first `need` seats; returns where and
    /// for how many members.
    fn reserve(
        &mut self,
        facts: &StepFacts,
        seats: &[Seat],
        need: u32,
        now: TimeMs,
    ) -> Vec<Place> {
        self.unreserve(facts.key);
        let mut chosen: Vec<Place> = Vec::new();
        for seat in seats.iter().take(need as usize) {
            let missing = u32::from(seat.missing > 0);
            match chosen.iter_mut().find(|one| one.worker == seat.worker) {
                Some(place) => {
                    place.fits += 1;
                    place.missing += missing;
                }
                None => {
                    let worker = seat.worker;
                    chosen.push(Place { worker, fits: 1, missing });
                }
            }
        }
        for place in &chosen {
            self.workers[place.worker as usize].reservations.push(
                Reservation {
                    step: facts.key,
                    priority: facts.priority,
                    room: facts.counted.times(u64::from(place.fits)),
                    until: now.plus_ms(RESERVATION_MS),
                },
            );
        }
        chosen
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
            let is_known = step.verdicts.contains_key(&slot);
            if is_known || !self.may_host(facts, worker, now.steady) {
                continue;
            }
            let room = worker.room_in_time(facts.key);
            let fits = self.fits_on(facts, slot, &room);
            if fits > 0 {
                candidates.push(AskCandidate {
                    worker: slot,
                    fits,
                    allowed: false,
                    kept: false,
                });
            }
        }
        self.ask_for(facts.key, policy, candidates, need);
    }
}

/// Returns the larger part that `amount` is of `whole`, in thousandths.
fn parts_of(amount: &Resources, whole: &Resources) -> u64 {
    let part = |amount: u64, whole: u64| {
        (amount * 1_000).checked_div(whole).unwrap_or(0)
    };
    part(amount.cores_milli, whole.cores_milli)
        .max(part(amount.memory_mb, whole.memory_mb))
        .max(part(amount.accelerators, whole.accelerators))
}
