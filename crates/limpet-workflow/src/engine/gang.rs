//! Placement of gangs: resources are reserved as short tasks end, until all
//! members of a gang fit at the same time.

use limpet_core::TimeMs;

use super::{
    Engine, Moment,
    advice::AdviceCandidate,
    member_options::{GangPlacement, places},
    step_context::StepContext,
};
use crate::{
    effect::StopReason,
    worker::{Reservation, WorkerSlot},
};

/// How long a reservation lasts unless a scheduling pass renews it.
const RESERVATION_MS: u64 = 300;
/// How long a gang waits for resources before tasks with checkpoints are
/// preempted for it.
const GATHERING_PREEMPT_MS: u64 = 600;
/// How long a gang waits for resources before it requests advice about workers
/// with free room more than once. Requests of many gangs delay each other.
const ASK_AGAIN_MS: u64 = 1_000;
/// How long a gang keeps all that it needs while over half of its service is
/// idle, in each [`KEEP_PERIOD_MS`]. Others wait that long for room.
const KEEP_ALL_MS: u64 = 2_000;
/// The time from one such period to the next.
const KEEP_PERIOD_MS: u64 = 8_000;
/// The share of the cores of its service that a gang keeps idle otherwise.
const KEPT_SHARE: f64 = 0.4;
/// Tickets about to expire are renewed once this fraction of the members
/// fits.
const TICKET_ROOM_SHARE: f64 = 0.6;
/// Tickets that expire sooner than this are renewed.
const TICKET_RENEWAL_MS: u64 = 300;

impl Engine {
    /// Reserves resources for the `need` members of a gang on workers that
    /// advice allows. Requests advice if those are too few. Preempts less
    /// urgent tasks with checkpoints if `may_preempt` is set or the gang has
    /// been reserving resources for [`GATHERING_PREEMPT_MS`]. Reserves nothing
    /// for a gang that is stranded.
    pub(super) fn gather_room(
        &mut self,
        ctx: &StepContext,
        need: u32,
        may_preempt: bool,
        now: Moment,
    ) {
        if !self.may_gather(ctx, need) {
            return;
        }
        let member_options = self.member_options(ctx, need, now.steady);
        let total = member_options.len() as u32;
        let has_request = self.has_request(ctx);
        if total < need {
            if !has_request && (self.has_advice_capacity() || may_preempt) {
                self.request_advice_for_gang(ctx, need - total, now);
            }
            // Without a further worker to ask about, room has to come free on
            // those that are known. Only the first gang keeps what it has: two
            // could each hold what the other needs.
            let has_partial = self.room_of(ctx).has_partial_gang;
            let may_keep = ctx.is_on_time && !has_partial;
            if may_keep && !self.has_request(ctx) {
                if self.check_stranded(ctx, need) {
                    self.cancel_reservations(ctx.key);
                    return;
                }
                let room = self.service_rooms.get_mut(ctx.service());
                room.has_partial_gang = true;
                let limit_milli = self.kept_limit_milli(ctx, now.steady);
                let chosen = places(&member_options);
                self.reserve(ctx, &chosen, limit_milli, now.steady);
            }
            return;
        }
        self.record_stranded(ctx.key, false);
        let chosen = places(&member_options);
        let limit_milli = self.kept_limit_milli(ctx, now.steady);
        self.reserve(ctx, &chosen, limit_milli, now.steady);
        let missing: u32 = chosen.iter().map(|place| place.missing).sum();
        if self.awaits_free_room(ctx, missing, now) {
            return;
        }
        let has_waited = self.gathered_ms(ctx, now) >= GATHERING_PREEMPT_MS;
        let is_allowed = may_preempt || has_waited;
        if is_allowed && (ctx.apart || self.can_complete(ctx, &chosen, now)) {
            if limit_milli.is_some() {
                self.reserve(ctx, &chosen, None, now.steady);
            }
            for place in &chosen {
                self.preempt_for_reservation(ctx, place, now);
            }
        }
        if !has_request {
            self.renew_tickets(ctx, &chosen, need, now);
        }
    }

    /// Returns whether a gang with `missing` members waits for advice about
    /// workers with free room for them, and requests it if no answer has
    /// decided about those yet: once at first, and after [`ASK_AGAIN_MS`] for
    /// as long as there are such workers, unless the gang may crash its workers
    /// and waits for empty ones. Room is taken from others only after that.
    fn awaits_free_room(
        &mut self,
        ctx: &StepContext,
        missing: u32,
        now: Moment,
    ) -> bool {
        let step =
            self.jobs[&ctx.key.job].step(ctx.key.occurrence, ctx.key.step);
        if step.advice_request.is_some() {
            return step.advice_request == step.free_room_request;
        }
        let is_repeated = step.free_room_request.is_some();
        let may_ask = !is_repeated
            || !ctx.apart && self.gathered_ms(ctx, now) >= ASK_AGAIN_MS;
        if missing == 0 || !may_ask {
            return false;
        }
        let mut candidates = self.gang_candidates(ctx, now);
        candidates.retain(|candidate| candidate.fits_now > 0);
        let fits: u32 =
            candidates.iter().map(|candidate| candidate.fits_now).sum();
        let Some(policy) = ctx.policy else { return false };
        if fits < missing
            || !self.request_advice(ctx, policy, candidates, missing)
        {
            return false;
        }
        if let Some(job) = self.jobs.get_mut(&ctx.key.job) {
            let step = job.step_mut(ctx.key.occurrence, ctx.key.step);
            step.free_room_request = step.advice_request;
        }
        true
    }

    /// Returns how long a gang has been reserving resources, in milliseconds,
    /// counted from the first call after its latest placement.
    pub(super) fn gathered_ms(
        &mut self,
        ctx: &StepContext,
        now: Moment,
    ) -> u64 {
        let Some(job) = self.jobs.get_mut(&ctx.key.job) else { return 0 };
        let step = job.step_mut(ctx.key.occurrence, ctx.key.step);
        let since = *step.gathering_since.get_or_insert(now.steady);
        now.steady.ms_since(since)
    }

    /// Returns whether a gang could start once the tasks that lose no work
    /// have been preempted on its workers. Otherwise preemption would free
    /// room that stays unused.
    fn can_complete(
        &self,
        ctx: &StepContext,
        chosen: &[GangPlacement],
        now: Moment,
    ) -> bool {
        chosen.iter().filter(|place| place.missing > 0).all(|place| {
            let worker = &self.workers[place.worker as usize];
            let room = worker
                .room_for(ctx.key, ctx.priority)
                .plus(&self.stopping_resources(place.worker));
            let room = self
                .victims(ctx, place.worker, now)
                .iter()
                .filter(|victim| victim.lost_core_ms == 0)
                .fold(room, |room, victim| room.plus(&victim.resources));
            self.fits_on(ctx, place.worker, &room) >= place.fits
        })
    }

    /// Preempts tasks on a worker until the members that have a reservation
    /// there will fit, but only tasks that lose no work: those with
    /// checkpoints.
    fn preempt_for_reservation(
        &mut self,
        ctx: &StepContext,
        place: &GangPlacement,
        now: Moment,
    ) {
        let worker = &self.workers[place.worker as usize];
        let mut room = worker
            .room_for(ctx.key, ctx.priority)
            .plus(&self.stopping_resources(place.worker));
        let mut victims = self.victims(ctx, place.worker, now);
        victims.retain(|victim| victim.lost_core_ms == 0);
        for victim in victims {
            if !ctx.apart
                && self.fits_on(ctx, place.worker, &room) >= place.fits
            {
                return;
            }
            room = room.plus(&victim.resources);
            self.preempt(
                victim.task,
                StopReason::Gathered { by: ctx.key },
                now,
            );
        }
    }

    /// Renews tickets that expire soon, once most of the members fit.
    fn renew_tickets(
        &mut self,
        ctx: &StepContext,
        chosen: &[GangPlacement],
        need: u32,
        now: Moment,
    ) {
        let Some(policy) = ctx.policy else { return };
        let missing: u32 = chosen.iter().map(|place| place.missing).sum();
        if f64::from(missing) > f64::from(need) * (1.0 - TICKET_ROOM_SHARE) {
            return;
        }
        let soon = now.steady.plus_ms(TICKET_RENEWAL_MS);
        let step =
            self.jobs[&ctx.key.job].step(ctx.key.occurrence, ctx.key.step);
        if now.steady < step.advice_retry_at {
            return;
        }
        let stale: Vec<AdviceCandidate> = chosen
            .iter()
            .filter(|place| !step.has_ticket(place.worker, soon))
            .map(|place| AdviceCandidate {
                worker: place.worker,
                fits: place.fits,
                fits_now: place.fits - place.missing,
                allowed: true,
                reserved: false,
            })
            .collect();
        if !stale.is_empty() {
            self.request_advice(ctx, policy, stale, need);
        }
    }

    /// Returns the cores that a gang may keep idle, in thousandths; `None` if
    /// there is no limit. While half of its service is in use, or the gang has
    /// only begun to wait, it keeps all that it needs. What is in its way may
    /// run for long, and others would wait for as long as that.
    fn kept_limit_milli(
        &mut self,
        ctx: &StepContext,
        now: TimeMs,
    ) -> Option<u64> {
        let job = self.jobs.get_mut(&ctx.key.job)?;
        let step = job.step_mut(ctx.key.occurrence, ctx.key.step);
        let since = *step.keeping_since.get_or_insert(now);
        let room = self.room_of(ctx);
        let is_half_used = room.free_milli * 2 <= room.usable_milli;
        let keeps_all = now.ms_since(since) % KEEP_PERIOD_MS < KEEP_ALL_MS;
        let limit_milli = room.usable_milli as f64 * KEPT_SHARE;
        let is_limited = !ctx.apart && !is_half_used && !keeps_all;
        is_limited.then_some(limit_milli as u64)
    }

    /// Reserves resources for members of a gang on workers, in order, as long as
    /// the free cores among them are no more than `limit_milli`.
    fn reserve(
        &mut self,
        ctx: &StepContext,
        chosen: &[GangPlacement],
        limit_milli: Option<u64>,
        now: TimeMs,
    ) {
        self.cancel_reservations(ctx.key);
        let mut left_milli = limit_milli.unwrap_or(u64::MAX);
        for place in chosen {
            let worker = &self.workers[place.worker as usize];
            let (priority, room) = match ctx.apart {
                true => (0, worker.listing.capacity),
                false => {
                    (ctx.priority, ctx.counted.times(u64::from(place.fits)))
                }
            };
            let free = self.room_on(ctx, worker).cores_milli;
            let idle_milli = room.cores_milli.min(free);
            if idle_milli > left_milli {
                continue;
            }
            left_milli -= idle_milli;
            let reservation = Reservation {
                step: ctx.key,
                priority,
                room,
                until: now.plus_ms(RESERVATION_MS),
            };
            self.add_reservation(place.worker, reservation);
        }
    }

    /// Requests advice about workers on which no answer for the gang has
    /// decided yet.
    fn request_advice_for_gang(
        &mut self,
        ctx: &StepContext,
        need: u32,
        now: Moment,
    ) {
        let Some(policy) = ctx.policy else { return };
        let candidates = self.gang_candidates(ctx, now);
        self.request_advice(ctx, policy, candidates, need);
    }

    /// Returns the workers that may run members of a gang and on which no
    /// answer has decided yet; none right after a request without an answer.
    fn gang_candidates(
        &self,
        ctx: &StepContext,
        now: Moment,
    ) -> Vec<AdviceCandidate> {
        let step =
            self.jobs[&ctx.key.job].step(ctx.key.occurrence, ctx.key.step);
        let mut candidates = Vec::new();
        if now.steady < step.advice_retry_at {
            return candidates;
        }
        self.count_examined(self.workers.len());
        for (slot, worker) in self.workers.iter().enumerate() {
            let slot = slot as WorkerSlot;
            let is_known = step.verdicts.contains_key(&slot);
            if is_known || !self.may_host(ctx, worker, now.steady) {
                continue;
            }
            let room = self.gatherable_on(ctx, worker);
            let fits = self.fits_on(ctx, slot, &room);
            let free = self.room_on(ctx, worker);
            let fits_now = self.fits_on(ctx, slot, &free).min(fits);
            if fits > 0 {
                candidates.push(AdviceCandidate {
                    worker: slot,
                    fits,
                    fits_now,
                    allowed: false,
                    reserved: false,
                });
            }
        }
        candidates
    }
}
