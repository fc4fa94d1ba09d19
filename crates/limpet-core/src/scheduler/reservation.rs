//! Reserves room for a gang that can't start at once.
//!
//! Only one gang at a time holds a reservation, and the reservation expires,
//! so gangs can't block each other by each holding a part of the room that
//! the other needs.

use super::{
    Effect, Scheduler, StopReason,
    gang::startable_size,
    job::Job,
    preemption_budget::PreemptionBudget,
    slot::{TeamSlot, WorkerSlot},
};
use crate::{DataCentre, JobId, Resources, TaskId, TaskState, TimeMs};

/// How far ahead the expected start of a reserved gang may lie.
const PLANNING_HORIZON_MS: u64 = 900_000;
/// How long a reservation is kept after the expected start of its gang.
const EXPIRY_GRACE_MS: u64 = 60_000;
/// How long a gang waits for another reservation after its last expired.
const RESERVATION_BACKOFF_MS: u64 = 60_000;
/// How long a preempted task is expected to take to leave its worker.
const EXPECTED_EVICTION_MS: u64 = 1_000;
/// The quantile of the run time at which planning expects a running task to
/// end.
const PLAN_QUANTILE: f64 = 0.5;
/// The quantile of the run time within which a task has to end before the
/// gang's expected start to be used as backfill.
const BACKFILL_QUANTILE: f64 = 0.9;

/// Room on several workers that is reserved for one gang until it starts.
#[derive(Clone, Debug)]
pub(super) struct GangReservation {
    pub(super) job: JobId,
    /// When the gang is expected to start.
    pub(super) expected_at: TimeMs,
    pub(super) expires_at: TimeMs,
    pub(super) parts: Vec<ReservedPart>,
}

/// What a reservation reserves on one worker.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReservedPart {
    pub(super) worker: WorkerSlot,
    pub(super) size: Resources,
}

impl Scheduler {
    /// Reserves room for a gang on the workers that are expected to free
    /// enough of it soonest. Does nothing if another gang holds the
    /// reservation, if the gang has to wait for its next one, or if its team's
    /// allotment doesn't allow the gang.
    pub(super) fn try_reserve(&mut self, id: JobId, now: TimeMs) {
        let Some(gang) = self.gangs.get(&id) else { return };
        if self.reservation.is_some() || gang.reserve_at > now {
            return;
        }
        let job = &self.jobs[&id];
        if !self.teams.get(job.team).allows(&startable_size(job)) {
            return;
        }
        let Some((expected_at, parts)) = self.plan_reservation(job, now)
        else {
            return;
        };
        for part in &parts {
            self.reserve_room(part.worker, &part.size);
        }
        let expires_at = expected_at.plus_ms(EXPIRY_GRACE_MS);
        self.reservation =
            Some(GangReservation { job: id, expected_at, expires_at, parts });
    }

    /// Returns the earliest plan for a gang over all data centres that it may
    /// run in, as the expected start and the room to reserve.
    fn plan_reservation(
        &self,
        job: &Job,
        now: TimeMs,
    ) -> Option<(TimeMs, Vec<ReservedPart>)> {
        let budget = self.preemption_budget_for(job.team);
        let mut best: Option<(TimeMs, Vec<ReservedPart>)> = None;
        for data_centre in self.fleet.data_centres() {
            let wanted = job.spec.data_centre.as_ref();
            if wanted.is_some_and(|wanted| wanted != data_centre) {
                continue;
            }
            let plan =
                self.plan_reservation_in(job, data_centre, &budget, now);
            let is_sooner = match (&best, &plan) {
                (_, None) => false,
                (None, Some(_)) => true,
                (Some((best_at, _)), Some((at, _))) => at < best_at,
            };
            if is_sooner {
                best = plan;
            }
        }
        best
    }

    /// Returns a budget for preempting tasks for a team below its share, empty
    /// if preemption is switched off.
    fn preemption_budget_for(&self, team: TeamSlot) -> PreemptionBudget {
        if !self.options.preemption {
            return PreemptionBudget::default();
        }
        self.excess_budget_for(team)
    }

    /// Returns the workers of one data centre on which the tasks of a gang
    /// would fit soonest, and the time when all of them do. Every task is
    /// assumed to be as large as the largest.
    fn plan_reservation_in(
        &self,
        job: &Job,
        data_centre: &DataCentre,
        budget: &PreemptionBudget,
        now: TimeMs,
    ) -> Option<(TimeMs, Vec<ReservedPart>)> {
        let size = largest_size(job);
        let mut budget = budget.clone();
        let mut available: Vec<(TimeMs, WorkerSlot)> = Vec::new();
        for (slot, worker) in self.fleet.slots() {
            if worker.is_ready() && worker.shape.data_centre == *data_centre {
                self.add_available_times(
                    slot,
                    &size,
                    &mut budget,
                    now,
                    &mut available,
                );
            }
        }
        available.sort_unstable();
        available.truncate(job.waiting());
        let &(expected_at, _) = available.last()?;
        let too_late = expected_at > now.plus_ms(PLANNING_HORIZON_MS);
        if available.len() < job.waiting() || too_late {
            return None;
        }
        let mut parts: Vec<ReservedPart> = Vec::new();
        for (_, worker) in available {
            match parts.iter_mut().find(|part| part.worker == worker) {
                Some(part) => part.size = part.size.plus(&size),
                None => parts.push(ReservedPart { worker, size }),
            }
        }
        Some((expected_at, parts))
    }

    /// Adds an entry for each further task of `size` that will fit on a
    /// worker, with the time from which it does.
    fn add_available_times(
        &self,
        slot: WorkerSlot,
        size: &Resources,
        budget: &mut PreemptionBudget,
        now: TimeMs,
        available: &mut Vec<(TimeMs, WorkerSlot)>,
    ) {
        let Some(worker) = self.fleet.get(slot) else { return };
        let mut ends: Vec<(TimeMs, Resources)> = worker
            .tasks
            .iter()
            .filter_map(|&id| self.expected_release(id, budget, now))
            .collect();
        ends.sort_by_key(|&(at, _)| at);
        let mut room = worker.room();
        let mut at = now;
        let mut next = ends.into_iter();
        loop {
            while size.fits_in(&room) {
                room = room.minus(size);
                available.push((at, slot));
            }
            let Some((end, freed)) = next.next() else { return };
            at = end.max(now);
            room = room.plus(&freed);
        }
    }

    /// Returns when a task is expected to free its room, and how much that
    /// is. A task that may be preempted frees it soon, and is charged to the
    /// budget.
    fn expected_release(
        &self,
        id: TaskId,
        budget: &mut PreemptionBudget,
        now: TimeMs,
    ) -> Option<(TimeMs, Resources)> {
        let job = &self.jobs[&id.job];
        let size = job.group_of(id.index).size;
        let fraction = size.dominant_share(self.fleet.held());
        let can_preempt = budget.can_take(job.team, fraction);
        if can_preempt && self.victim(id).is_some() {
            budget.spend(job.team, fraction);
            return Some((now.plus_ms(EXPECTED_EVICTION_MS), size));
        }
        self.expected_end(id, PLAN_QUANTILE, now)
    }

    /// Starts the gang that holds the reservation once all its room is free.
    /// Backfill on that room is preempted first, so it doesn't delay the
    /// gang.
    pub(super) fn start_reserved_gang(
        &mut self,
        now: TimeMs,
        out: &mut Vec<Effect>,
    ) {
        let Some(reservation) = &self.reservation else { return };
        let affected = reservation
            .parts
            .iter()
            .any(|part| self.freed.contains(&part.worker));
        let due = now >= reservation.expected_at;
        if (!affected && !due) || !self.is_reservation_available(reservation) {
            return;
        }
        if self.evict_backfill(now, out) {
            return;
        }
        let Some(reservation) = self.reservation.take() else { return };
        for part in &reservation.parts {
            self.release_room(part.worker, &part.size);
        }
        let id = reservation.job;
        if self.try_gang(id, now, out) {
            self.record_freed_parts(&reservation);
        } else {
            for part in &reservation.parts {
                self.reserve_room(part.worker, &part.size);
            }
            self.reservation = Some(reservation);
        }
    }

    /// Returns whether all reserved room is free or used only by backfill.
    fn is_reservation_available(&self, reservation: &GangReservation) -> bool {
        reservation.parts.iter().all(|part| {
            self.fleet.get(part.worker).is_some_and(|worker| {
                let backfilled = self.backfill_on(part.worker).iter().fold(
                    Resources::ZERO,
                    |sum, &id| {
                        let job = &self.jobs[&id.job];
                        sum.plus(&job.group_of(id.index).size)
                    },
                );
                part.size.fits_in(&worker.free().plus(&backfilled))
            })
        })
    }

    /// Returns the tasks on a worker that were placed there as backfill.
    fn backfill_on(&self, slot: WorkerSlot) -> Vec<TaskId> {
        let mut found = self.tasks_on(slot);
        found.retain(|id| {
            self.jobs[&id.job].tasks[id.index as usize].backfilled
        });
        found
    }

    /// Preempts the backfill on workers that lack room for their part of the
    /// reservation. Returns whether any of it still holds room there.
    fn evict_backfill(&mut self, now: TimeMs, out: &mut Vec<Effect>) -> bool {
        let Some(reservation) = &self.reservation else { return false };
        let mut backfilled = Vec::new();
        for part in &reservation.parts {
            let is_short = self
                .fleet
                .get(part.worker)
                .is_some_and(|worker| !part.size.fits_in(&worker.free()));
            if is_short {
                backfilled.extend(self.backfill_on(part.worker));
            }
        }
        for &id in &backfilled {
            let state = self.task_state(id);
            if matches!(state, Some(TaskState::Running | TaskState::Starting))
            {
                self.evict_task(id, StopReason::Preempted, now, out);
            }
        }
        !backfilled.is_empty()
    }

    /// Returns a worker with reserved room that a task may use as backfill.
    ///
    /// The task must be expected to end before the gang starts, and must be
    /// idempotent, because it is preempted if it runs longer.
    pub(super) fn choose_backfill(
        &self,
        job: &Job,
        index: u32,
        now: TimeMs,
    ) -> Option<WorkerSlot> {
        let reservation = self.reservation.as_ref()?;
        let group = job.group_of(index);
        if !self.options.backfill || !group.idempotent || job.is_gang() {
            return None;
        }
        let declared_ms = group.run_time_ms?;
        let expected_ms = if self.options.learning {
            let queue = &job.spec.queue;
            self.estimates.estimate_ms(
                job.team,
                queue,
                declared_ms,
                BACKFILL_QUANTILE,
            )
        } else {
            declared_ms
        };
        if now.plus_ms(expected_ms) > reservation.expected_at {
            return None;
        }
        let data_centre = job.spec.data_centre.as_ref();
        reservation.parts.iter().map(|part| part.worker).find(|&slot| {
            self.fleet.get(slot).is_some_and(|worker| {
                worker.is_ready()
                    && group.size.fits_in(&worker.free())
                    && data_centre
                        .is_none_or(|at| *at == worker.shape.data_centre)
                    && self.claims.iter().all(|claim| claim.worker != slot)
            })
        })
    }

    /// Preempts tasks of teams above their share on the reserved workers, if
    /// the team of the gang is below its share.
    pub(super) fn clear_reserved_room(
        &mut self,
        now: TimeMs,
        out: &mut Vec<Effect>,
    ) {
        let Some(reservation) = self.reservation.clone() else { return };
        let Some(job) = self.jobs.get(&reservation.job) else { return };
        let mut budget = self.preemption_budget_for(job.team);
        if budget.is_empty() {
            return;
        }
        for part in &reservation.parts {
            // The part's own reservation must not count as used room.
            self.release_room(part.worker, &part.size);
            let victims = self.victims_on(part.worker, &part.size, &budget);
            self.reserve_room(part.worker, &part.size);
            for id in victims.unwrap_or_default() {
                budget.spend(self.jobs[&id.job].team, self.fraction_of(id));
                self.evict_task(id, StopReason::Preempted, now, out);
            }
        }
    }

    /// Drops the reservation if it has expired. Its gang then waits before it
    /// may get another, so that other gangs have their turn.
    pub(super) fn expire_reservation(&mut self, now: TimeMs) {
        let Some(reservation) = &self.reservation else { return };
        if reservation.expires_at > now {
            return;
        }
        let id = reservation.job;
        self.drop_reservation();
        if let Some(gang) = self.gangs.get_mut(&id) {
            gang.reserve_at = now.plus_ms(RESERVATION_BACKOFF_MS);
        }
    }

    /// Drops the reservation if it includes a worker that is being removed.
    pub(super) fn drop_reservation_on(&mut self, slot: WorkerSlot) {
        let includes_worker = self
            .reservation
            .as_ref()
            .is_some_and(|r| r.parts.iter().any(|part| part.worker == slot));
        if includes_worker {
            self.drop_reservation();
        }
    }

    /// Drops the reservation and makes its room available to other work.
    pub(super) fn drop_reservation(&mut self) {
        let Some(reservation) = self.reservation.take() else { return };
        for part in &reservation.parts {
            self.release_room(part.worker, &part.size);
        }
        self.record_freed_parts(&reservation);
    }

    fn record_freed_parts(&mut self, reservation: &GangReservation) {
        for part in &reservation.parts {
            self.record_freed_room(part.worker);
        }
    }
}

/// Returns the largest amount of each resource that any task of a job
/// declares.
fn largest_size(job: &Job) -> Resources {
    job.groups.iter().fold(Resources::ZERO, |most, group| {
        Resources::new(
            most.cores_milli.max(group.size.cores_milli),
            most.memory_mb.max(group.size.memory_mb),
            most.accelerators.max(group.size.accelerators),
        )
    })
}
