//! Workers: their registration, the polls that renew their leases, and what
//! happens to claims on workers that are lost.
//!
//! Each worker runs its tasks under a lease, which the platform calls a hold.
//! Each hold request of the owner may renew it. A worker stops all of its
//! tasks when the lease expires, so what was claimed on an unreachable worker
//! is started elsewhere only after the expiry, by the slowest clock that the
//! worker may have.

use limpet_core::TimeMs;

use super::{Engine, Moment, job::ClaimPhase, lost_runs::LifeEnd};
use crate::{
    effect::{Effect, LifeEvidence, StopOrder, StopReason, Suspicion},
    key::TaskKey,
    worker::{EndKind, MissedPoll, Pace, Worker, WorkerListing, WorkerSlot},
};

/// The fraction by which a worker's clock may run slower than the local clock.
pub(super) const CLOCK_DRIFT: f64 = 0.02;
/// Added to each expiry time for the granularity of timers.
const EXPIRY_MARGIN_MS: u64 = 100;
/// How long after an unanswered order it may still be carried out. The
/// platform documents up to 12 s.
const LATE_ORDER_MS: u64 = 13_000;

/// Returns how long `ms` on a worker's clock may last on the local clock, in
/// milliseconds, with a margin for timers.
pub(super) fn max_local_ms(ms: u64) -> u64 {
    (ms as f64 / (1.0 - CLOCK_DRIFT)).ceil() as u64 + EXPIRY_MARGIN_MS
}

impl Engine {
    /// Applies a worker's registration, and returns its slot.
    ///
    /// A registration of a newer incarnation ends all runs of the earlier one;
    /// one of an older incarnation is ignored.
    pub fn set_listing(
        &mut self,
        listing: WorkerListing,
        now: Moment,
    ) -> WorkerSlot {
        let machine = listing.machine.clone();
        let incarnation = listing.incarnation;
        let slot = self.apply_listing(listing, now);
        self.update_evacuated(slot, now);
        self.record_machine(machine, slot, incarnation, now);
        slot
    }

    /// Records that a worker is a life of a machine. An earlier life of it
    /// that had fallen silent has crashed.
    fn record_machine(
        &mut self,
        machine: String,
        slot: WorkerSlot,
        incarnation: u64,
        now: Moment,
    ) {
        if machine.is_empty() {
            return;
        }
        let Some(earlier) = self.machines.get(&machine).copied() else {
            self.machines.insert(machine, slot);
            return;
        };
        let worker = &self.workers[earlier as usize];
        if earlier == slot || worker.listing.incarnation >= incarnation {
            return;
        }
        let has_crashed = !worker.reachable && !worker.listing.draining;
        let speed = worker.speed;
        self.workers[slot as usize].speed = speed;
        self.machines.insert(machine, slot);
        if has_crashed {
            self.confirm_crash(earlier, now);
        }
    }

    fn apply_listing(
        &mut self,
        listing: WorkerListing,
        now: Moment,
    ) -> WorkerSlot {
        let Some(slot) = self.slots.get(&listing.id).copied() else {
            let lease_expires_at =
                self.inherited_expiry(&listing.id, now.steady);
            let mut worker = Worker::new(listing, lease_expires_at);
            worker.record_cold(now.steady);
            return self.push_worker(worker);
        };
        let known = &self.workers[slot as usize].listing;
        if known.incarnation < listing.incarnation && known.incarnation != 0 {
            self.start_incarnation(slot, listing.incarnation, now);
        }
        if self.workers[slot as usize].listing.service != listing.service {
            self.cancel_reservations_on(slot);
        }
        let worker = &mut self.workers[slot as usize];
        if listing.incarnation >= worker.listing.incarnation {
            // The time until it is warm changes all the time, and no
            // capacity with it.
            worker.listing.cold_left_ms = listing.cold_left_ms;
            if !worker.listed || worker.listing != listing {
                self.largest_capacities.clear();
            }
            worker.listing = listing;
            worker.listed = true;
            worker.record_cold(now.steady);
        }
        slot
    }

    /// Records that the capacities of the listed workers may be outdated until
    /// a time: none gets new tasks until then, unless
    /// [`Engine::trust_capacity`] is called for it.
    pub fn doubt_capacities(&mut self, until: TimeMs) {
        for worker in self.workers.iter_mut().filter(|worker| worker.listed) {
            worker.doubted_until = until;
        }
    }

    /// Records that the capacity of a worker is up to date.
    pub fn trust_capacity(&mut self, id: &str) {
        if let Some(slot) = self.slots.get(id) {
            self.workers[*slot as usize].doubted_until = TimeMs::ZERO;
        }
    }

    /// Records that the platform's list no longer contains a worker. It gets
    /// no new tasks. Its claims stay until they end or its lease expires.
    pub fn remove_listing(&mut self, id: &str) {
        if let Some(slot) = self.slots.get(id) {
            self.workers[*slot as usize].listed = false;
            self.largest_capacities.clear();
        }
    }

    /// Returns the ids of the workers that the platform's list contains.
    pub fn listed_workers(&self) -> Vec<String> {
        self.workers
            .iter()
            .filter(|worker| worker.listed)
            .map(|worker| worker.listing.id.clone())
            .collect()
    }

    /// Adds a worker, and returns its slot.
    pub(super) fn push_worker(&mut self, worker: Worker) -> WorkerSlot {
        let slot = self.workers.len() as WorkerSlot;
        self.slots.insert(worker.listing.id.clone(), slot);
        self.workers.push(worker);
        self.largest_capacities.clear();
        slot
    }

    /// Returns the latest registration of a worker.
    pub fn listing(&self, slot: WorkerSlot) -> &WorkerListing {
        &self.workers[slot as usize].listing
    }

    /// Returns the latest registration of the worker with this id.
    pub fn listing_of(&self, id: &str) -> Option<&WorkerListing> {
        self.slots.get(id).map(|slot| self.listing(*slot))
    }

    /// Returns the slots of all workers that were ever listed or claimed.
    pub fn worker_slots(&self) -> std::ops::Range<WorkerSlot> {
        0..self.workers.len() as WorkerSlot
    }

    /// Returns whether a worker has to be polled: it is listed, or may be
    /// running tasks.
    pub fn needs_poll(&self, slot: WorkerSlot) -> bool {
        let worker = &self.workers[slot as usize];
        worker.listed || !worker.claims.is_empty()
    }

    /// Returns the sequence number up to which a worker's ended runs may be
    /// acknowledged, and whether later ones wait for a commit. None may be while
    /// it is unreachable: a new life would forget its own ends up to there.
    pub fn committed_ends(&self, slot: WorkerSlot) -> (u64, bool) {
        let worker = &self.workers[slot as usize];
        let committed = match worker.reachable {
            true => worker.last_committed,
            false => 0,
        };
        (committed, !worker.uncommitted.is_empty())
    }

    /// Returns whether the worker answered the latest hold request.
    pub fn is_reachable(&self, slot: WorkerSlot) -> bool {
        self.workers[slot as usize].reachable
    }

    /// Extends a worker's lease to `hold_ms` from `now`. Returns the expiry in
    /// milliseconds on the worker's own clock, which the request to the worker
    /// has to carry; `None` if the worker is unreachable, as its clock is
    /// unknown then.
    pub fn grant_hold(
        &mut self,
        slot: WorkerSlot,
        now: TimeMs,
    ) -> Option<u64> {
        let worker = &self.workers[slot as usize];
        worker.reachable.then(|| self.extend_lease(slot, now))
    }

    /// Records that a hold request got no reply: the worker gets no new tasks,
    /// and tasks whose start order was not sent are placed elsewhere.
    pub fn report_missed_hold(
        &mut self,
        slot: WorkerSlot,
        missed: MissedPoll,
        now: Moment,
    ) {
        let worker = &mut self.workers[slot as usize];
        worker.refused |= missed == MissedPoll::Refused;
        worker.silent_since.get_or_insert(now.steady);
        if !worker.reachable {
            return;
        }
        worker.reachable = false;
        self.release_unsent(slot, now);
    }

    /// Releases the claims for which no start order was sent.
    pub(super) fn release_unsent(&mut self, slot: WorkerSlot, now: Moment) {
        let claims = self.claims_of(slot).into_iter();
        let unsent: Vec<TaskKey> = claims
            .map(|(task, _)| task)
            .filter(|task| {
                self.claim_phase(*task) == Some(ClaimPhase::Committing)
            })
            .collect();
        self.requeue_tasks(&unsent, now);
    }

    /// Returns the phase of a task's claim; `None` without a claim.
    pub(super) fn claim_phase(&self, task: TaskKey) -> Option<ClaimPhase> {
        let job = self.jobs.get(&task.step.job)?;
        Some(job.get_task(task)?.claim.as_ref()?.phase)
    }

    /// Records that a worker restarted under the same id. Unanswered start
    /// orders may still reach the new incarnation, so stop orders for them are
    /// sent to it. Other claims stay until its reports show which of their
    /// runs it has.
    pub(super) fn start_incarnation(
        &mut self,
        slot: WorkerSlot,
        incarnation: u64,
        now: Moment,
    ) {
        self.apply_unread_ends(slot, now);
        self.record_life_end(slot);
        self.confirm_crash(slot, now);
        let worker = &mut self.workers[slot as usize];
        let ended_at = worker.silent_since.take().unwrap_or(now.steady);
        worker.life_ended_at = Some(ended_at);
        worker.life_end = match worker.listing.draining {
            true => LifeEnd::Left,
            false => LifeEnd::Crashed,
        };
        worker.apart_job = None;
        let known = worker.listing.incarnation;
        worker.listing.incarnation = incarnation;
        worker.last_handled = 0;
        worker.last_committed = 0;
        worker.uncommitted.clear();
        worker.consecutive_failures = 0;
        worker.pace = Pace::default();
        worker.refused = false;
        let evidence = LifeEvidence::Start { incarnation, known };
        self.begin_life(slot, evidence, now);
        self.interference.forget_worker(slot);
        let worker = &mut self.workers[slot as usize];
        let unanswered = std::mem::take(&mut worker.unanswered);
        for (task, run, at) in &unanswered {
            if now.steady.ms_since(*at) < LATE_ORDER_MS {
                let order = StopOrder { worker: slot, task: *task, run: *run };
                let reason = StopReason::WorkerRestarted;
                self.effects.push(Effect::Stop { order, reason });
            }
        }
        // The new incarnation may have confirmed the start of a run before its
        // registration arrived. Its first report tells.
        let may_have_begun = |task: &TaskKey| {
            matches!(
                self.claim_phase(*task),
                Some(
                    ClaimPhase::Running
                        | ClaimPhase::Stopping
                        | ClaimPhase::Stopped
                )
            )
        };
        let claims = self.claims_of(slot).into_iter().map(|(task, _)| task);
        let tasks: Vec<TaskKey> =
            claims.filter(|task| !may_have_begun(task)).collect();
        self.stop_tasks(&tasks, StopReason::WorkerRestarted, now);
    }

    /// Releases the claims of workers whose lease has certainly expired, and
    /// drops outdated reservations and unanswered orders.
    pub(super) fn tick_workers(&mut self, now: Moment) {
        self.count_examined(self.workers.len());
        self.expire_interference(now.steady);
        for slot in 0..self.workers.len() {
            self.expire_reservations(slot as WorkerSlot, now.steady);
            let worker = &mut self.workers[slot];
            worker.update_cold(now.steady);
            worker
                .unanswered
                .retain(|(_, _, at)| now.steady.ms_since(*at) < LATE_ORDER_MS);
            if !worker.reachable
                && !worker.claims.is_empty()
                && now.steady >= worker.lease_expires_at
            {
                self.expire_lease(slot as WorkerSlot, now);
            }
        }
    }

    /// Counts the result of a run for or against its worker. Quarantines the
    /// worker after too many failures.
    pub(super) fn record_result(
        &mut self,
        slot: WorkerSlot,
        task: TaskKey,
        kind: EndKind,
        now: Moment,
    ) {
        let worker = &mut self.workers[slot as usize];
        match kind {
            EndKind::Done => worker.consecutive_failures = 0,
            EndKind::Failed => {
                let Some(job) = self.jobs.get_mut(&task.step.job) else {
                    return;
                };
                // Each job counts against one worker only, so that a job that
                // fails everywhere can't quarantine healthy workers.
                if !job.failure_counted {
                    job.failure_counted = true;
                    worker.consecutive_failures += 1;
                }
                if worker.consecutive_failures
                    >= super::schedule::SUSPECT_FAILURES
                {
                    worker.quarantined_until =
                        now.steady.plus_ms(super::schedule::QUARANTINE_MS);
                    let reason =
                        Suspicion::Failures(worker.consecutive_failures);
                    let effect = Effect::Suspect { worker: slot, reason };
                    self.effects.push(effect);
                }
            }
            _ => {}
        }
    }
}
