//! Advice requests: which workers they name, and how answers are applied.
//!
//! The advice service decides which workers may run a step. It issues a ticket
//! for each of them, which a start order to that worker has to carry. Requests
//! are slow and tickets expire, so the engine requests advice only about
//! workers that it is likely to use.

use std::cmp::Reverse;

use limpet_core::TimeMs;

use super::{
    AdviceRequest, Engine, Moment, job::StepTicket, step_context::StepContext,
};
use crate::{
    config::AdvicePolicy,
    effect::{AdviceRequestId, Effect},
    key::JobKey,
    worker::WorkerSlot,
};

/// The maximum number of workers in one request, a limit of the advice
/// service.
const MAX_WORKERS_PER_REQUEST: usize = 100;
/// The assumed fraction of workers that advice allows before the first answer
/// for a queue.
const INITIAL_ALLOWED_SHARE: f64 = 0.4;
/// The weight of the latest answer in the moving average of that fraction.
const ALLOWED_SHARE_WEIGHT: f64 = 0.1;
/// A ticket is used only if it stays valid for this much longer, so that the
/// worker still accepts it when the start order arrives.
pub(super) const TICKET_MARGIN_MS: u64 = 60;
/// Deducted from the validity of a ticket, which began when the ticket was
/// issued, not when the answer arrived.
const TICKET_TRANSIT_MS: u64 = 100;
/// The pause before a step requests advice again after a request without an
/// answer.
const ADVICE_RETRY_MS: u64 = 100;
/// A fixed duration of requests from which a second one delays a gang more
/// than naming further workers does.
const SLOW_DECISION_MS: f64 = 100.0;
/// A slow request names workers at least until they make up this share of its
/// fixed duration. A second request costs all of that again.
const MIN_VARIABLE_SHARE: f64 = 0.5;
/// Requests name workers on which this many times the tasks to place are
/// expected to fit.
const ROOM_FACTOR: f64 = 2.5;

/// A worker that may run a step, with the ticket for it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Ticket {
    /// The worker's id.
    pub worker: String,
    /// The ticket, which the start order has to carry.
    pub ticket: String,
}

/// A worker that an advice request could name.
#[derive(Clone, Copy, Debug)]
pub(super) struct AdviceCandidate {
    pub(super) worker: WorkerSlot,
    /// The number of tasks of the step that fit on the worker, once others
    /// have ended or were stopped.
    pub(super) fits: u32,
    /// The number of tasks of the step that fit on the worker now.
    pub(super) fits_now: u32,
    /// Whether an earlier answer allowed the worker.
    pub(super) allowed: bool,
    /// Whether the worker has resources reserved for another step.
    pub(super) reserved: bool,
}

impl Engine {
    /// Requests advice about as many of the candidates as are probably needed
    /// to place `need` tasks. Returns whether a request was made.
    pub(super) fn request_advice(
        &mut self,
        ctx: &StepContext,
        policy: AdvicePolicy,
        mut candidates: Vec<AdviceCandidate>,
        need: u32,
    ) -> bool {
        let (key, speed) = (ctx.key, ctx.speed);
        let Some(job) = self.jobs.get(&key.job) else { return false };
        let priority = job.policy.priority;
        let share = self
            .allowed_share
            .get(&job.record.queue)
            .copied()
            .unwrap_or(INITIAL_ALLOWED_SHARE);
        let spec = job.step_spec(key.step);
        // Requests in progress that name the same workers would make tickets
        // for cores that only one of the steps can use.
        let left_of = |candidate: &AdviceCandidate, fits: u32| {
            let worker = &self.workers[candidate.worker as usize];
            let taken = worker
                .promised_cores_milli
                .div_ceil(spec.task.cores_milli.max(1));
            u64::from(fits).saturating_sub(taken)
        };
        candidates.sort_by_cached_key(|candidate| {
            let left_now = left_of(candidate, candidate.fits_now);
            (
                candidate.reserved,
                !candidate.allowed,
                left_now == 0,
                self.workers[candidate.worker as usize].is_cold,
                speed.key(self.workers[candidate.worker as usize].speed_band),
                Reverse(left_now),
                Reverse(left_of(candidate, candidate.fits)),
                Reverse(candidate.fits),
                candidate.worker,
            )
        });
        let fewest = match spec.gang {
            true => policy.fewest_workers(),
            false => 0,
        };
        let named = workers_to_name(&candidates, need, share, fewest);
        if named.is_empty() {
            return false;
        }
        self.last_request_id += 1;
        let ask = self.last_request_id;
        let cost_ms =
            policy.decide_ms + policy.per_worker_ms * named.len() as f64;
        let workers = named
            .iter()
            .map(|slot| self.workers[*slot as usize].listing.id.clone())
            .collect();
        let requested_cores_milli = spec.task.cores_milli * u64::from(need);
        let gang = spec.gang;
        if !gang {
            let room = self.service_rooms.get_mut(ctx.service());
            room.spare_milli -= requested_cores_milli as i64;
        }
        let request = AdviceRequest {
            step: key,
            workers: named,
            requested_cores_milli,
            gang,
        };
        for slot in &request.workers {
            let worker = &mut self.workers[*slot as usize];
            worker.promised_cores_milli += request.promised_cores_milli();
        }
        self.advice_requests.insert(ask, request);
        if let Some(job) = self.jobs.get_mut(&key.job) {
            job.step_mut(key.occurrence, key.step).advice_request = Some(ask);
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

    /// Requests advice about workers for `need` tasks of a step, unless an
    /// answer could not lead to a start: too few cores are spare, no worker
    /// is eligible, or a request failed a moment ago. With `may_preempt`,
    /// workers count on which less urgent tasks can be stopped. Returns
    /// whether a request is in progress.
    pub(super) fn request_advice_if_useful(
        &mut self,
        ctx: &StepContext,
        need: u32,
        may_preempt: bool,
        now: Moment,
    ) -> bool {
        let Some(policy) = ctx.policy else { return false };
        let step =
            self.jobs[&ctx.key.job].step(ctx.key.occurrence, ctx.key.step);
        if step.advice_request.is_some() {
            return true;
        }
        let wanted = ctx.counted.cores_milli as i64;
        if now.steady < step.advice_retry_at
            || !may_preempt && self.room_of(ctx).spare_milli < wanted
        {
            return false;
        }
        let (mut free, mut busy, mut ticketed) = (Vec::new(), Vec::new(), 0);
        self.count_examined(self.workers.len());
        for (slot, worker) in self.workers.iter().enumerate() {
            let slot = slot as WorkerSlot;
            let verdict = step.verdicts.get(&slot).copied();
            if verdict == Some(false)
                || !self.may_host(ctx, worker, now.steady)
            {
                continue;
            }
            let room = self.room_on(ctx, worker);
            let fits_now = self.fits_on(ctx, slot, &room);
            let fits = if may_preempt {
                let room = self.preemptible_room(ctx, slot);
                self.fits_on(ctx, slot, &room)
            } else {
                fits_now
            };
            if step.has_ticket(slot, now.steady) {
                ticketed += fits;
                continue;
            }
            let allowed = verdict == Some(true);
            let reserved = worker.has_other_reservation(ctx.key);
            // Without preemption, resources may come free before the answer.
            if fits_now > 0 || !may_preempt {
                free.push(AdviceCandidate {
                    worker: slot,
                    fits: fits_now,
                    fits_now,
                    allowed,
                    reserved,
                });
            } else if fits > 0 {
                busy.push(AdviceCandidate {
                    worker: slot,
                    fits,
                    fits_now: 0,
                    allowed,
                    reserved,
                });
            }
        }
        let mut candidates = free;
        if candidates.is_empty() && ticketed == 0 {
            candidates = busy;
        }
        if candidates.is_empty() {
            // Without an answer all workers were considered.
            if may_preempt && step.verdicts.is_empty() {
                self.record_no_room(ctx, true);
            }
            return false;
        }
        self.request_advice(ctx, policy, candidates, need)
    }

    /// Applies the answer to an advice request; `None` if there was no answer.
    ///
    /// Workers that the request named and the answer does not are not allowed
    /// to run the step.
    pub fn report_advice(
        &mut self,
        ask: AdviceRequestId,
        answer: Option<Vec<Ticket>>,
        now: Moment,
    ) {
        let Some(request) = self.advice_requests.remove(&ask) else { return };
        self.release_promises(&request);
        let AdviceRequest { step: key, workers, .. } = request;
        let Some(job) = self.jobs.get_mut(&key.job) else { return };
        if job.phase.has_ended() {
            return;
        }
        let valid_ms = job.policy.advice.map_or(0, |policy| policy.valid_ms);
        let queue = job.record.queue.clone();
        let step = job.step_mut(key.occurrence, key.step);
        step.advice_request = None;
        let Some(tickets) = answer else {
            step.advice_retry_at = now.steady.plus_ms(ADVICE_RETRY_MS);
            return;
        };
        let valid_until =
            now.steady.plus_ms(valid_ms.saturating_sub(TICKET_TRANSIT_MS));
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
        self.answered.insert(key);
        let share =
            self.allowed_share.entry(queue).or_insert(INITIAL_ALLOWED_SHARE);
        let seen = f64::from(allowed) / workers.len().max(1) as f64;
        *share = (*share * (1.0 - ALLOWED_SHARE_WEIGHT)
            + seen * ALLOWED_SHARE_WEIGHT)
            .clamp(0.05, 1.0);
    }

    /// Drops the advice requests of a job that has ended. They will not be
    /// answered and would otherwise count as in progress for good.
    pub(super) fn drop_advice_requests(&mut self, key: JobKey) {
        let dropped: Vec<AdviceRequest> = self
            .advice_requests
            .extract_if(|_, request| request.step.job == key)
            .map(|(_, request)| request)
            .collect();
        for request in &dropped {
            self.release_promises(request);
        }
    }

    /// Makes the cores that a request in progress was expected to use
    /// available to other requests.
    fn release_promises(&mut self, request: &AdviceRequest) {
        for slot in &request.workers {
            let worker = &mut self.workers[*slot as usize];
            worker.promised_cores_milli -= request.promised_cores_milli();
        }
    }

    /// Returns whether an advice request is still wanted: its job has not
    /// ended, and it has no answer yet.
    pub fn is_advice_wanted(&self, ask: AdviceRequestId) -> bool {
        let Some(AdviceRequest { step, .. }) = self.advice_requests.get(&ask)
        else {
            return false;
        };
        self.jobs.get(&step.job).is_some_and(|job| !job.phase.has_ended())
    }
}

impl AdvicePolicy {
    /// Returns how many workers a request for a gang names at least, if there
    /// are as many.
    fn fewest_workers(&self) -> usize {
        if self.decide_ms < SLOW_DECISION_MS {
            return 0;
        }
        let share = self.decide_ms * MIN_VARIABLE_SHARE;
        match self.per_worker_ms > 0.0 {
            true => (share / self.per_worker_ms) as usize,
            false => MAX_WORKERS_PER_REQUEST,
        }
    }
}

/// Returns the first candidates on which probably [`ROOM_FACTOR`] times the
/// `need` tasks fit: now, or else after others have ended; at least `fewest`.
/// Advice allows `share` of the workers that no answer has allowed yet.
fn workers_to_name(
    candidates: &[AdviceCandidate],
    need: u32,
    share: f64,
    fewest: usize,
) -> Vec<WorkerSlot> {
    let wanted = f64::from(need) * ROOM_FACTOR;
    let (mut expected, mut expected_now) = (0.0, 0.0);
    let mut named = Vec::new();
    for candidate in candidates {
        let is_enough = expected_now >= wanted
            || candidate.fits_now == 0 && expected >= wanted;
        let is_enough = is_enough && named.len() >= fewest;
        if is_enough || named.len() >= MAX_WORKERS_PER_REQUEST {
            break;
        }
        let chance = if candidate.allowed { 1.0 } else { share };
        expected += f64::from(candidate.fits.min(need)) * chance;
        expected_now += f64::from(candidate.fits_now.min(need)) * chance;
        named.push(candidate.worker);
    }
    named
}

impl StepTicket {
    /// Returns whether a start order sent at `now` may carry the ticket.
    pub(super) fn is_valid(&self, now: TimeMs) -> bool {
        now.plus_ms(TICKET_MARGIN_MS) < self.valid_until
    }
}
