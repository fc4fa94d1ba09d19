//! Chooses the next task to start and its worker.

use super::{
    Effect, Scheduler,
    class::CandidateWorkers,
    fleet::{best_fit, least_crowded},
    job::Job,
    slot::{ClassSlot, TeamSlot, WorkerSlot},
    worker::Worker,
};
use crate::{TaskId, TimeMs, config::QueuePolicy};

/// How often the weighted usage of all teams is recomputed. It decays with
/// time, also while nothing starts or ends.
const USAGE_REFRESH_MS: u64 = 1_000;

/// A lane of the backlog, that is the waiting work of one class of a team,
/// with the rank of its first entry.
#[derive(Clone, Copy, Debug)]
struct LaneChoice {
    team: TeamSlot,
    class: ClassSlot,
    rank_ms: u64,
}

impl Scheduler {
    /// Starts every waiting task that can start now, and makes room for
    /// urgent work that can't.
    pub(super) fn place_waiting(
        &mut self,
        now: TimeMs,
        out: &mut Vec<Effect>,
    ) {
        self.use_claims(now, out);
        self.start_reserved_gang(now, out);
        self.freed.clear();
        while let Some(choice) = self.next_lane() {
            self.place_first(choice.team, choice.class, now, out);
        }
        self.make_room_for_urgent(now, out);
        self.start_new_gangs(now, out);
    }

    /// Handles everything that is due because time has passed.
    pub(super) fn tick(&mut self, now: TimeMs, out: &mut Vec<Effect>) {
        self.stop_late_checkpoints(now, out);
        self.expire_claims(now);
        self.expire_reservation(now);
        self.start_canaries(now, out);
        if now.ms_since(self.refreshed_at) >= USAGE_REFRESH_MS {
            self.refreshed_at = now;
            self.teams.refresh_all(self.fleet.held(), now);
        }
        self.rebalance(now, out);
        self.retry_gangs(now, out);
    }

    /// Returns the lane whose first task is to start next.
    ///
    /// Urgent work comes first, then the work of the team furthest below its
    /// share, and within a team the work with the lowest rank.
    fn next_lane(&mut self) -> Option<LaneChoice> {
        if self.backlog.is_empty() {
            return None;
        }
        self.block_unplaceable();
        let urgent = self.classes.urgent_classes();
        let open_urgent =
            urgent.intersection(self.classes.open_classes()).next();
        if open_urgent.is_some()
            && let Some(choice) = self.choose_lane(true)
        {
            return Some(choice);
        }
        self.choose_lane(false)
    }

    /// Blocks the classes that were opened for a few workers only and don't
    /// fit on any of them any more.
    fn block_unplaceable(&mut self) {
        let has_reservation = self.reservation.is_some();
        let fleet = &self.fleet;
        self.classes.block_restricted(|slot, size| {
            fleet.get(slot).is_some_and(|worker| {
                // Backfill may use a gang's reserved room until the gang
                // starts.
                let room = if has_reservation {
                    worker.free()
                } else {
                    worker.room()
                };
                size.fits_in(&room)
            })
        });
    }

    /// Returns the lane to serve next among urgent work or all other work.
    fn choose_lane(&mut self, urgent: bool) -> Option<LaneChoice> {
        let mut best: Option<LaneChoice> = None;
        for position in 0..self.teams.order().len() {
            let team = self.teams.order()[position];
            let found = self.choose_lane_of_team(team, urgent);
            if self.options.shares && found.is_some() {
                return found;
            }
            best = lowest_rank(best, found);
        }
        best
    }

    /// Returns the lane of a team with the lowest rank that its allotment
    /// allows. Classes that the allotment doesn't allow are marked as not
    /// ready.
    fn choose_lane_of_team(
        &mut self,
        team: TeamSlot,
        urgent: bool,
    ) -> Option<LaneChoice> {
        let mut best = None;
        let mut over_allotment = Vec::new();
        let record = self.teams.get(team);
        let open = self.classes.open_classes();
        for class in record.ready_classes.intersection(open) {
            if self.classes.get(class).urgent != urgent {
                continue;
            }
            if !record.allows(&self.classes.get(class).size) {
                over_allotment.push(class);
                continue;
            }
            let Some(entry) = self.backlog.first(team, class) else {
                continue;
            };
            let rank_ms = entry.rank_ms;
            best =
                lowest_rank(best, Some(LaneChoice { team, class, rank_ms }));
        }
        for class in over_allotment {
            self.teams.get_mut(team).ready_classes.remove(class);
        }
        best
    }

    /// Starts the first task of a lane, or blocks its class if no worker has
    /// room.
    fn place_first(
        &mut self,
        team: TeamSlot,
        class: ClassSlot,
        now: TimeMs,
        out: &mut Vec<Effect>,
    ) {
        let Some(entry) = self.backlog.first(team, class) else { return };
        let group = entry.group as usize;
        let job = &self.jobs[&entry.job];
        let Some(&index) = job.groups[group].waiting.last() else { return };
        let found = self.choose_worker(job, index);
        let (slot, reason, backfilled) = match found {
            Some(slot) => (slot, choice_reason(job), false),
            None => match self.choose_backfill(job, index, now) {
                Some(slot) => {
                    (slot, "backfills room reserved for a gang", true)
                }
                None => return self.classes.block(class),
            },
        };
        self.pop_waiting(entry.job, group);
        let id = TaskId::new(entry.job, index);
        self.start_task(id, slot, reason, now, out);
        if backfilled && let Some(job) = self.jobs.get_mut(&id.job) {
            job.tasks[index as usize].backfilled = true;
        }
    }

    /// Returns the best worker for a task by the policy of its queue: the
    /// least crowded one for services and for tasks that failed before, the
    /// best fit otherwise.
    fn choose_worker(&self, job: &Job, index: u32) -> Option<WorkerSlot> {
        let group = job.group_of(index);
        let (size, data_centre) = (&group.size, job.spec.data_centre.as_ref());
        let failed = job.tasks[index as usize].retries > 0;
        let spread = failed || job.policy == QueuePolicy::Service;
        let crowding = |worker: &Worker| {
            if failed {
                self.failure_penalty(job, worker)
            } else {
                job.spread.crowding(&worker.shape)
            }
        };
        match (self.classes.candidates(group.class), spread) {
            (CandidateWorkers::All, true) => {
                self.fleet.find_least_crowded(size, data_centre, crowding)
            }
            (CandidateWorkers::All, false) => {
                self.fleet.find_best_fit(size, data_centre)
            }
            (CandidateWorkers::Only(workers), true) => {
                let found =
                    self.fleet.with_room_among(workers, size, data_centre);
                least_crowded(&found, size, crowding)
            }
            (CandidateWorkers::Only(workers), false) => best_fit(
                &self.fleet.with_room_among(workers, size, data_centre),
                size,
            ),
        }
    }

    /// Returns a score by which a retry avoids a worker: highest if the job
    /// failed on this worker, else the number of workers in the same rack on
    /// which it failed.
    fn failure_penalty(&self, job: &Job, worker: &Worker) -> u32 {
        let shape = &worker.shape;
        let mut penalty = 0;
        for failed in &job.failed_on {
            if *failed == shape.worker {
                return 1000;
            }
            let same_rack = self
                .fleet
                .slot(failed)
                .and_then(|slot| self.fleet.get(slot))
                .is_some_and(|other| other.shape.rack == shape.rack);
            penalty += u32::from(same_rack);
        }
        penalty
    }
}

/// Returns the reason for a choice of worker that the decision log gives.
const fn choice_reason(job: &Job) -> &'static str {
    match job.policy {
        QueuePolicy::Service => "least crowded worker with room",
        QueuePolicy::Batch | QueuePolicy::Gang => {
            "best-fitting worker with room"
        }
    }
}

/// Returns the lane with the lower rank; `left` if both ranks are equal.
fn lowest_rank(
    left: Option<LaneChoice>,
    right: Option<LaneChoice>,
) -> Option<LaneChoice> {
    match (left, right) {
        (Some(left), Some(right)) if right.rank_ms < left.rank_ms => {
            Some(right)
        }
        (Some(left), _) => Some(left),
        (None, right) => right,
    }
}
