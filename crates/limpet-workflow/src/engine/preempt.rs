//! Room that less urgent tasks give up.

use limpet_core::Resources;

use super::{Engine, Moment, job::ClaimPhase, schedule::StepFacts};
use crate::{
    key::TaskKey,
    worker::{Reservation, WorkerSlot},
};

/// How long the room of stopped tasks is kept for the step that they made
/// way for.
const RESERVATION_MS: u64 = 1_200;
/// How often a task makes way at most.
const MAX_PREEMPTIONS: u32 = 2;

/// A task that may make way.
#[derive(Clone, Copy, Debug)]
pub(super) struct Victim {
    pub(super) task: TaskKey,
    pub(super) resources: Resources,
    /// Core-milliseconds that are lost.
    pub(super) lost: u64,
}

/// What one worker could give.
#[derive(Debug)]
struct Offer {
    worker: WorkerSlot,
    fits: u32,
    victims: Vec<Victim>,
    lost: u64,
}

impl Engine {
    /// Stops less urgent tasks on workers that a step may use, where that
    /// makes room for `need` tasks.
    pub(super) fn make_room(
        &mut self,
        facts: &StepFacts,
        need: u32,
        now: Moment,
    ) {
        let mut offers = self.offers(facts, need, now);
        let total: u32 = offers.iter().map(|offer| offer.fits).sum();
        if total == 0 {
            return;
        }
        offers.sort_by_key(|offer| {
            (offer.lost / u64::from(offer.fits.max(1)), offer.worker)
        });
        let mut left = need;
        for offer in offers {
            if left == 0 {
                break;
            }
            let taken = offer.fits.min(left);
            left -= taken;
            self.accept_offer(facts, &offer, taken, now);
        }
    }

    fn accept_offer(
        &mut self,
        facts: &StepFacts,
        offer: &Offer,
        taken: u32,
        now: Moment,
    ) {
        for victim in &offer.victims {
            self.preempt(victim.task, now);
        }
        let worker = &mut self.workers[offer.worker as usize];
        worker.reservations.retain(|one| one.step != facts.key);
        worker.reservations.push(Reservation {
            step: facts.key,
            priority: facts.priority,
            room: facts.counted.times(u64::from(taken)),
            until: now.steady.plus_ms(RESERVATION_MS),
        });
    }

    /// Stops a task for a more urgent one.
    pub(super) fn preempt(&mut self, key: TaskKey, now: Moment) {
        if let Some(task) = self
            .jobs
            .get_mut(&key.step.job)
            .and_then(|job| job.get_task_mut(key))
        {
            task.preemptions += 1;
        }
        self.stop_task(key, now);
    }

    fn offers(&self, facts: &StepFacts, need: u32, now: Moment) -> Vec<Offer> {
        let step = self.jobs[&facts.key.job]
            .step(facts.key.occurrence, facts.key.step);
        let mut offers = Vec::new();
        for (slot, worker) in self.workers.iter().enumerate() {
            let slot = slot as WorkerSlot;
            let ticketed =
                facts.policy.is_none() || step.has_ticket(slot, now.steady);
            if !ticketed || !self.may_host(facts, worker, now.steady) {
                continue;
            }
            // Tasks were stopped for this step before; their room comes.
            if worker.is_kept_for(facts.key) {
                continue;
            }
            if let Some(offer) = self.offer(facts, slot, need, now) {
                offers.push(offer);
            }
        }
        offers
    }

    fn offer(
        &self,
        facts: &StepFacts,
        slot: WorkerSlot,
        need: u32,
        now: Moment,
    ) -> Option<Offer> {
        let mut room =
            self.workers[slot as usize].room_for(facts.key, facts.priority);
        let mut fits = self.fits_on(facts, slot, &room);
        let mut victims = self.victims(facts, slot, now);
        victims.sort_by_key(|victim| (victim.lost, victim.task));
        let (mut used, mut lost) = (Vec::new(), 0);
        for victim in victims {
            if fits >= need {
                break;
            }
            room = room.plus(&victim.resources);
            lost += victim.lost;
            used.push(victim);
            fits = self.fits_on(facts, slot, &room);
        }
        (fits > 0 && (facts.spec.gang || !used.is_empty())).then_some(Offer {
            worker: slot,
            fits,
            victims: used,
            lost,
        })
    }

    pub(super) fn victims(
        &self,
        facts: &StepFacts,
        slot: WorkerSlot,
        now: Moment,
    ) -> Vec<Victim> {
        let mut victims = Vec::new();
        for (key, _) in self.claims_of(slot) {
            let Some(job) = self.jobs.get(&key.step.job) else { continue };
            let spec = job.step_spec(key.step.step);
            let Some(task) = job.get_task(key) else { continue };
            let Some(claim) = &task.claim else { continue };
            if job.policy.priority <= facts.priority
                || spec.gang
                || spec.long_running
                || claim.phase != ClaimPhase::Running
                || task.preemptions >= MAX_PREEMPTIONS
            {
                continue;
            }
            let ran_ms = now.steady.ms_since(claim.progress.started_at);
            let lost_ms = if spec.checkpointing { 0 } else { ran_ms };
            victims.push(Victim {
                task: key,
                resources: super::ends::counted_resources(spec),
                lost: lost_ms * spec.task.cores_milli / 1_000,
            });
        }
        victims
    }

    /// Returns the room on a worker for a step, with what less urgent tasks
    /// could give up.
    pub(super) fn reachable_room(
        &self,
        facts: &StepFacts,
        slot: WorkerSlot,
    ) -> Resources {
        let room =
            self.workers[slot as usize].room_for(facts.key, facts.priority);
        let now = Moment { steady: limpet_core::TimeMs::ZERO, unix_ms: 0 };
        self.victims(facts, slot, now)
            .iter()
            .fold(room, |room, victim| room.plus(&victim.resources))
    }
}
