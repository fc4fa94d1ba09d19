//! Calls for advice: about which workers to ask, and what came of it.

use std::cmp::Reverse;

use limpet_core::TimeMs;

use super::{Ask, Engine, Moment, job::StepTicket, schedule::StepFacts};
use crate::{
    config::AdvicePolicy,
    effect::{AskId, Effect},
    key::{JobKey, StepKey},
    worker::WorkerSlot,
};

/// The most workers that one call names, as the advice service allows.
const MAX_ASKED: usize = 100;
/// The share of workers that a policy allows, before it was asked.
const INITIAL_ALLOWED_SHARE: f64 = 0.4;
/// The weight of the newest answer in the learnt share.
const SHARE_WEIGHT: f64 = 0.1;
/// A ticket is used only if it is valid for this much longer: the start has
/// to be carried out meanwhile.
pub(super) const TICKET_MARGIN_MS: u64 = 60;
/// A ticket counts from before its answer arrived.
const TICKET_TRAVEL_MS: u64 = 100;
/// The pause after a call that got no answer.
const ASK_RETRY_MS: u64 = 100;
/// How much more room than a step needs is asked about.
const ROOM_FACTOR: f64 = 2.5;

/// A worker that a policy allows, with the ticket for it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Ticket {
    /// The worker's id.
    pub worker: String,
    /// What the start has to carry.
    pub ticket: String,
}

/// A worker that a step could be asked about.
#[derive(Clone, Copy, Debug)]
pub(super) struct AskCandidate {
    pub(super) worker: WorkerSlot,
    /// How many tasks of the step it has room for.
    pub(super) fits: u32,
    /// Whether the policy is known to allow it.
    pub(super) allowed: bool,
    /// Whether room is kept there for another step.
    pub(super) kept: bool,
}

impl Engine {
    /// Asks about workers with room for `need` tasks. Returns whether an
    /// answer is awaited.
    pub(super) fn ask_for(
        &mut self,
        key: StepKey,
        policy: AdvicePolicy,
        mut candidates: Vec<AskCandidate>,
        need: u32,
    ) -> bool {
        let Some(job) = self.jobs.get(&key.job) else { return false };
        let priority = job.policy.priority;
        let share = self
            .allowed_share
            .get(&job.record.queue)
            .copied()
            .unwrap_or(INITIAL_ALLOWED_SHARE);
        candidates.sort_by_key(|one| {
            (one.kept, !one.allowed, Reverse(one.fits), one.worker)
        });
        let wanted = f64::from(need) * ROOM_FACTOR;
        let mut expected = 0.0;
        let mut asked = Vec::new();
        for one in &candidates {
            if expected >= wanted || asked.len() >= MAX_ASKED {
                break;
            }
            let chance = if one.allowed { 1.0 } else { share };
            expected += f64::from(one.fits.min(need)) * chance;
            asked.push(one.worker);
        }
        if asked.is_empty() {
            return false;
        }
        self.next_ask += 1;
        let ask = self.next_ask;
        let cost_ms =
            policy.decide_ms + policy.per_worker_ms * asked.len() as f64;
        let workers = asked
            .iter()
            .map(|slot| self.workers[*slot as usize].listing.id.clone())
            .collect();
        let spec = job.step_spec(key.step);
        let wanted_cores_milli = spec.task.cores_milli * u64::from(need);
        let gang = spec.gang;
        if !gang {
            self.spare_cores_milli -= wanted_cores_milli as i64;
        }
        self.asks.insert(
            ask,
            Ask { step: key, workers: asked, wanted_cores_milli, gang },
        );
        if let Some(job) = self.jobs.get_mut(&key.job) {
            job.step_mut(key.occurrence, key.step).ask = Some(ask);
        }
        self.effects.push(Effect::RequestAdvice {
            ask,
            step: key,
            workers,
            priority,
            cost_ms,
        });
        true
    }

    /// Asks for advice where it may help. Returns whether an answer is
    /// awaited.
    pub(super) fn ask_if_useful(
        &mut self,
        facts: &StepFacts,
        need: u32,
        by_force: bool,
        now: Moment,
    ) -> bool {
        let Some(policy) = facts.policy else { return false };
        let step = self.jobs[&facts.key.job]
            .step(facts.key.occurrence, facts.key.step);
        if step.ask.is_some() {
            return true;
        }
        let wanted = facts.counted.cores_milli as i64;
        if now.steady < step.ask_after
            || !by_force && self.spare_cores_milli < wanted
        {
            return false;
        }
        let (mut free, mut taken, mut ticketed) = (Vec::new(), Vec::new(), 0);
        for (slot, worker) in self.workers.iter().enumerate() {
            let slot = slot as WorkerSlot;
            let verdict = step.verdicts.get(&slot).copied();
            if verdict == Some(false)
                || !self.may_host(facts, worker, now.steady)
            {
                continue;
            }
            let room = worker.room_for(facts.key, facts.priority);
            let plain = self.fits_on(facts, slot, &room);
            let fits = if by_force {
                let room = self.reachable_room(facts, slot);
                self.fits_on(facts, slot, &room)
            } else {
                plain
            };
            if step.has_ticket(slot, now.steady) {
                ticketed += fits;
                continue;
            }
            let allowed = verdict == Some(true);
            let kept = worker.is_kept_from(facts.key);
            // Without force, room may come free while the call is made.
            if plain > 0 || !by_force {
                free.push(AskCandidate {
                    worker: slot,
                    fits: plain,
                    allowed,
                    kept,
                });
            } else if fits > 0 {
                taken.push(AskCandidate { worker: slot, fits, allowed, kept });
            }
        }
        let mut candidates = free;
        if candidates.is_empty() && ticketed == 0 {
            candidates = taken;
        }
        if candidates.is_empty() {
            return false;
        }
        self.ask_for(facts.key, policy, candidates, need)
    }

    /// Takes in the answer to a call for advice; `None` where there is none.
    pub fn report_advice(
        &mut self,
        ask: AskId,
        answer: Option<Vec<Ticket>>,
        now: Moment,
    ) {
        let Some(Ask { step: key, workers, .. }) = self.asks.remove(&ask)
        else {
            return;
        };
        let Some(job) = self.jobs.get_mut(&key.job) else { return };
        if job.phase.has_ended() {
            return;
        }
        let valid_ms = job.policy.advice.map_or(0, |policy| policy.valid_ms);
        let queue = job.record.queue.clone();
        let step = job.step_mut(key.occurrence, key.step);
        step.ask = None;
        let Some(tickets) = answer else {
            step.ask_after = now.steady.plus_ms(ASK_RETRY_MS);
            return;
        };
        let valid_until =
            now.steady.plus_ms(valid_ms.saturating_sub(TICKET_TRAVEL_MS));
        for slot in &workers {
            step.verdicts.insert(*slot, false);
        }
        let mut allowed = 0;
        for Ticket { worker, ticket } in tickets {
            let Some(slot) = self.slots.get(&worker) else { continue };
            allowed += 1;
            step.verdicts.insert(*slot, true);
            step.tickets.insert(*slot, StepTicket { ticket, valid_until });
        }
        let share =
            self.allowed_share.entry(queue).or_insert(INITIAL_ALLOWED_SHARE);
        let seen = f64::from(allowed) / workers.len().max(1) as f64;
        *share = (*share * (1.0 - SHARE_WEIGHT) + seen * SHARE_WEIGHT)
            .clamp(0.05, 1.0);
    }

    /// Gives up the calls for advice of a job that has ended: nobody answers
    /// them any more.
    pub(super) fn drop_asks(&mut self, key: JobKey) {
        self.asks.retain(|_, ask| ask.step.job != key);
    }

    /// Says whether a call for advice is still wanted.
    pub fn is_advice_wanted(&self, ask: AskId) -> bool {
        let Some(Ask { step, .. }) = self.asks.get(&ask) else {
            return false;
        };
        self.jobs.get(&step.job).is_some_and(|job| !job.phase.has_ended())
    }
}

impl StepTicket {
    pub(super) fn is_valid(&self, now: TimeMs) -> bool {
        now.plus_ms(TICKET_MARGIN_MS) < self.valid_until
    }
}
