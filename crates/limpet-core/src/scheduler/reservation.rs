//! Keeps room for a gang that found none at once.
//!
//! One gang at a time holds a reservation, and only until it expires, so no
//! two gangs can wait for each other.

use super::{
    Effect, Scheduler, StopReason,
    gang::startable_size,
    job::Job,
    preemption_budget::Donors,
    slot::{TeamSlot, WorkerSlot},
};
use crate::{DataCentre, JobId, Resources, TaskId, TaskState, TimeMs};

/// How far ahead a reservation may look.
const HORIZON_MS: u64 = 900_000;
/// How long after its expected start a reservation is kept.
const GRACE_MS: u64 = 60_000;
/// How long a gang whose reservation expired waits for the next.
const REST_MS: u64 = 60_000;
/// The time in which a preempted task is expected to be gone.
const EVICTION_MS: u64 = 1_000;
/// The part of the tasks that end by the time that a plan counts on.
const PLAN_QUANTILE: f64 = 0.5;
/// The part of the tasks that end by the time that lets them fill a gap.
const BACKFILL_QUANTILE: f64 = 0.9;

/// Room that is kept for one gang until it can start.
#[derive(Clone, Debug)]
pub(super) struct GangReservation {
    pub(super) job: JobId,
    pub(super) expected_at: TimeMs,
    pub(super) expires_at: TimeMs,
    pub(super) parts: Vec<ReservedPart>,
}

/// What a reservation keeps on one worker.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReservedPart {
    pub(super) worker: WorkerSlot,
    pub(super) size: Resources,
}

impl Scheduler {
    /// Reserves room that is expected to come free for a gang, where no
    /// other gang holds a reservation.
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
            self.set_aside(part.worker, &part.size);
        }
        let expires_at = expected_at.plus_ms(GRACE_MS);
        self.reservation =
            Some(GangReservation { job: id, expected_at, expires_at, parts });
    }

    fn plan_reservation(
        &self,
        job: &Job,
        now: TimeMs,
    ) -> Option<(TimeMs, Vec<ReservedPart>)> {
        let donors = self.preemptible_for(job.team);
        let mut best: Option<(TimeMs, Vec<ReservedPart>)> = None;
        for place in self.fleet.data_centres() {
            let wanted = job.spec.data_centre.as_ref();
            if wanted.is_some_and(|wanted| wanted != place) {
                continue;
            }
            let plan = self.plan_reservation_in(job, place, &donors, now);
            let sooner = match (&best, &plan) {
                (_, None) => false,
                (None, Some(_)) => true,
                (Some((best_at, _)), Some((at, _))) => at < best_at,
            };
            if sooner {
                best = plan;
            }
        }
        best
    }

    fn preemptible_for(&self, team: TeamSlot) -> Donors {
        if !self.options.preemption {
            return Donors::default();
        }
        self.donors_for(team)
    }

    /// Returns the workers on which the gang's tasks would fit soonest, and
    /// when. All its tasks are taken to be as large as its largest.
    fn plan_reservation_in(
        &self,
        job: &Job,
        place: &DataCentre,
        donors: &Donors,
        now: TimeMs,
    ) -> Option<(TimeMs, Vec<ReservedPart>)> {
        let size = largest_size(job);
        let mut donors = donors.clone();
        let mut openings: Vec<(TimeMs, WorkerSlot)> = Vec::new();
        for (slot, worker) in self.fleet.slots() {
            if worker.is_ready() && worker.shape.data_centre == *place {
                self.add_openings(
                    slot,
                    &size,
                    &mut donors,
                    now,
                    &mut openings,
                );
            }
        }
        openings.sort_unstable();
        openings.truncate(job.waiting());
        let &(expected_at, _) = openings.last()?;
        let too_late = expected_at > now.plus_ms(HORIZON_MS);
        if openings.len() < job.waiting() || too_late {
            return None;
        }
        let mut parts: Vec<ReservedPart> = Vec::new();
        for (_, worker) in openings {
            match parts.iter_mut().find(|part| part.worker == worker) {
                Some(part) => part.size = part.size.plus(&size),
                None => parts.push(ReservedPart { worker, size }),
            }
        }
        Some((expected_at, parts))
    }

    /// Adds the times at which one more task of `size` fits on a worker.
    fn add_openings(
        &self,
        slot: WorkerSlot,
        size: &Resources,
        donors: &mut Donors,
        now: TimeMs,
        openings: &mut Vec<(TimeMs, WorkerSlot)>,
    ) {
        let Some(worker) = self.fleet.get(slot) else { return };
        let mut ends: Vec<(TimeMs, Resources)> = worker
            .tasks
            .iter()
            .filter_map(|&id| self.release_of(id, donors, now))
            .collect();
        ends.sort_by_key(|&(at, _)| at);
        let mut room = worker.room();
        let mut at = now;
        let mut next = ends.into_iter();
        loop {
            while size.fits_in(&room) {
                room = room.minus(size);
                openings.push((at, slot));
            }
            let Some((end, freed)) = next.next() else { return };
            at = end.max(now);
            room = room.plus(&freed);
        }
    }

    fn release_of(
        &self,
        id: TaskId,
        donors: &mut Donors,
        now: TimeMs,
    ) -> Option<(TimeMs, Resources)> {
        let job = &self.jobs[&id.job];
        let size = job.group_of(id.index).size;
        let part = size.dominant_part(self.fleet.held());
        let spared = donors.can_spare(job.team, part);
        if spared && self.victim(id).is_some() {
            donors.give(job.team, part);
            return Some((now.plus_ms(EVICTION_MS), size));
        }
        self.expected_end(id, PLAN_QUANTILE, now)
    }

    /// Starts the gang with the reservation once all its room is there.
    /// What filled the gap until then makes way, so it delays nothing.
    pub(super) fn start_reserved_gang(
        &mut self,
        now: TimeMs,
        out: &mut Vec<Effect>,
    ) {
        let Some(reservation) = &self.reservation else { return };
        let concerned = reservation
            .parts
            .iter()
            .any(|part| self.freed.contains(&part.worker));
        let due = now >= reservation.expected_at;
        if (!concerned && !due) || !self.is_reservation_free(reservation) {
            return;
        }
        if self.evict_backfill(now, out) {
            return;
        }
        let Some(reservation) = self.reservation.take() else { return };
        for part in &reservation.parts {
            self.give_back(part.worker, &part.size);
        }
        let id = reservation.job;
        if self.try_gang(id, now, out) {
            self.open_parts(&reservation);
        } else {
            for part in &reservation.parts {
                self.set_aside(part.worker, &part.size);
            }
            self.reservation = Some(reservation);
        }
    }

    /// Says whether every part has its room, but for what fills the gap.
    fn is_reservation_free(&self, reservation: &GangReservation) -> bool {
        reservation.parts.iter().all(|part| {
            self.fleet.get(part.worker).is_some_and(|worker| {
                let filled = self.backfill_on(part.worker).iter().fold(
                    Resources::ZERO,
                    |sum, &id| {
                        let job = &self.jobs[&id.job];
                        sum.plus(&job.group_of(id.index).size)
                    },
                );
                part.size.fits_in(&worker.free().plus(&filled))
            })
        })
    }

    fn backfill_on(&self, slot: WorkerSlot) -> Vec<TaskId> {
        let mut found = self.tasks_on(slot);
        found.retain(|id| {
            self.jobs[&id.job].tasks[id.index as usize].backfilled
        });
        found
    }

    /// Has what fills the gap make way and says whether any of it is still
    /// there.
    fn evict_backfill(&mut self, now: TimeMs, out: &mut Vec<Effect>) -> bool {
        let Some(reservation) = &self.reservation else { return false };
        let mut filled = Vec::new();
        for part in &reservation.parts {
            let lacks = self
                .fleet
                .get(part.worker)
                .is_some_and(|worker| !part.size.fits_in(&worker.free()));
            if lacks {
                filled.extend(self.backfill_on(part.worker));
            }
        }
        for &id in &filled {
            let state = self.task_state(id);
            if matches!(state, Some(TaskState::Running | TaskState::Starting))
            {
                self.evict_task(id, StopReason::Preempted, now, out);
            }
        }
        !filled.is_empty()
    }

    /// Returns room of the reserved gang that a short task may use
    /// meanwhile. It has to be one that may be stopped.
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
        let place = job.spec.data_centre.as_ref();
        reservation.parts.iter().map(|part| part.worker).find(|&slot| {
            self.fleet.get(slot).is_some_and(|worker| {
                worker.is_ready()
                    && group.size.fits_in(&worker.free())
                    && place.is_none_or(|at| *at == worker.shape.data_centre)
                    && self.claims.iter().all(|claim| claim.worker != slot)
            })
        })
    }

    /// Takes preemptible work of teams over their share off the reserved
    /// workers, where the gang's team is below its own.
    pub(super) fn clear_reserved_room(
        &mut self,
        now: TimeMs,
        out: &mut Vec<Effect>,
    ) {
        let Some(reservation) = self.reservation.clone() else { return };
        let Some(job) = self.jobs.get(&reservation.job) else { return };
        let mut donors = self.preemptible_for(job.team);
        if donors.is_empty() {
            return;
        }
        for part in &reservation.parts {
            // Only the part's own room counts, not what it keeps reserved.
            self.give_back(part.worker, &part.size);
            let victims = self.victims_on(part.worker, &part.size, &donors);
            self.set_aside(part.worker, &part.size);
            for id in victims.unwrap_or_default() {
                donors.give(self.jobs[&id.job].team, self.part_of(id));
                self.evict_task(id, StopReason::Preempted, now, out);
            }
        }
    }

    /// Gives a reservation up that took too long, and lets others go first.
    pub(super) fn expire_reservation(&mut self, now: TimeMs) {
        let Some(reservation) = &self.reservation else { return };
        if reservation.expires_at > now {
            return;
        }
        let id = reservation.job;
        self.drop_reservation();
        if let Some(gang) = self.gangs.get_mut(&id) {
            gang.reserve_at = now.plus_ms(REST_MS);
        }
    }

    /// Gives the reservation up that counts on a worker that is taken out.
    pub(super) fn drop_reservation_on(&mut self, slot: WorkerSlot) {
        let counts_on = self
            .reservation
            .as_ref()
            .is_some_and(|r| r.parts.iter().any(|part| part.worker == slot));
        if counts_on {
            self.drop_reservation();
        }
    }

    pub(super) fn drop_reservation(&mut self) {
        let Some(reservation) = self.reservation.take() else { return };
        for part in &reservation.parts {
            self.give_back(part.worker, &part.size);
        }
        self.open_parts(&reservation);
    }

    fn open_parts(&mut self, reservation: &GangReservation) {
        for part in &reservation.parts {
            self.note_freed(part.worker);
        }
    }
}

fn largest_size(job: &Job) -> Resources {
    job.groups.iter().fold(Resources::ZERO, |most, group| {
        Resources::new(
            most.cores_milli.max(group.size.cores_milli),
            most.memory_mb.max(group.size.memory_mb),
            most.accelerators.max(group.size.accelerators),
        )
    })
}
