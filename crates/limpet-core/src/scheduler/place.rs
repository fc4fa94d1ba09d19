//! Chooses what goes next and where.

use super::{
    Effect, Scheduler,
    class::Openings,
    fleet::{least_crowded, tightest},
    job::Job,
    slot::{ClassSlot, TeamSlot, WorkerSlot},
    worker::Worker,
};
use crate::{TaskId, TimeMs, config::QueuePolicy};

/// How often the teams' standings are worked out again for the passing of
/// time alone.
const REFRESH_MS: u64 = 1_000;

/// A choice of what goes next.
#[derive(Clone, Copy, Debug)]
struct Choice {
    team: TeamSlot,
    class: ClassSlot,
    rank_ms: u64,
}

impl Scheduler {
    /// Starts everything that can start now.
    pub(super) fn place_waiting(
        &mut self,
        now: TimeMs,
        out: &mut Vec<Effect>,
    ) {
        self.settle_claims(now, out);
        self.start_reserved_gang(now, out);
        self.freed.clear();
        while let Some(choice) = self.next_choice() {
            self.place_first(choice.team, choice.class, now, out);
        }
        self.make_room_for_urgent(now, out);
        self.start_new_gangs(now, out);
    }

    /// Does what the passing of time calls for.
    pub(super) fn tick(&mut self, now: TimeMs, out: &mut Vec<Effect>) {
        self.stop_late_checkpoints(now, out);
        self.expire_claims(now);
        self.expire_reservation(now);
        self.try_canaries(now, out);
        if now.ms_since(self.refreshed_at) >= REFRESH_MS {
            self.refreshed_at = now;
            self.teams.refresh_all(self.fleet.held(), now);
        }
        self.rebalance(now, out);
        self.retry_gangs(now, out);
    }

    /// Returns the work that goes next: urgent work first, then that of the
    /// team furthest below its share, and of its work the lowest rank.
    fn next_choice(&mut self) -> Option<Choice> {
        if self.backlog.is_empty() {
            return None;
        }
        self.block_hopeless();
        let urgent = self.classes.urgent_classes();
        let any = urgent.common(self.classes.open_classes()).next();
        if any.is_some()
            && let Some(choice) = self.choose(true)
        {
            return Some(choice);
        }
        self.choose(false)
    }

    /// Blocks the classes that were opened for the room of a few workers
    /// and don't fit there any more.
    fn block_hopeless(&mut self) {
        let kept = self.reservation.is_some();
        let fleet = &self.fleet;
        self.classes.block_narrow(|slot, size| {
            fleet.get(slot).is_some_and(|worker| {
                // A gang's room may still be filled until it starts.
                let room = if kept { worker.free() } else { worker.room() };
                size.fits_in(&room)
            })
        });
    }

    fn choose(&mut self, urgent: bool) -> Option<Choice> {
        let mut best: Option<Choice> = None;
        for position in 0..self.teams.order().len() {
            let team = self.teams.order()[position];
            let found = self.choose_of_team(team, urgent);
            if self.options.shares && found.is_some() {
                return found;
            }
            best = lower_rank(best, found);
        }
        best
    }

    fn choose_of_team(
        &mut self,
        team: TeamSlot,
        urgent: bool,
    ) -> Option<Choice> {
        let mut best = None;
        let mut beyond = Vec::new();
        let record = self.teams.get(team);
        let open = self.classes.open_classes();
        for class in record.ready_classes.common(open) {
            if self.classes.get(class).urgent != urgent {
                continue;
            }
            if !record.allows(&self.classes.get(class).size) {
                beyond.push(class);
                continue;
            }
            let Some(entry) = self.backlog.first(team, class) else {
                continue;
            };
            let rank_ms = entry.rank_ms;
            best = lower_rank(best, Some(Choice { team, class, rank_ms }));
        }
        for class in beyond {
            self.teams.get_mut(team).ready_classes.remove(class);
        }
        best
    }

    /// Starts the first task of a lane, or finds that there is no room.
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
                Some(slot) => (slot, "fills a gang's room", true),
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

    /// Returns the worker that suits a task best by its queue's policy.
    fn choose_worker(&self, job: &Job, index: u32) -> Option<WorkerSlot> {
        let group = job.group_of(index);
        let (size, place) = (&group.size, job.spec.data_centre.as_ref());
        let failed = job.tasks[index as usize].retries > 0;
        let spread = failed || job.policy == QueuePolicy::Service;
        let crowding = |worker: &Worker| {
            if failed {
                self.distrust(job, worker)
            } else {
                job.spread.crowding(&worker.shape)
            }
        };
        match (self.classes.openings(group.class), spread) {
            (Openings::Anywhere, true) => {
                self.fleet.find_spread(size, place, crowding)
            }
            (Openings::Anywhere, false) => self.fleet.find_packed(size, place),
            (Openings::On(few), true) => {
                let found = self.fleet.among(few, size, place);
                least_crowded(&found, size, crowding)
            }
            (Openings::On(few), false) => {
                tightest(&self.fleet.among(few, size, place), size)
            }
        }
    }

    /// Returns how much speaks against a worker for a job that has failed:
    /// having failed there, then in the same rack.
    fn distrust(&self, job: &Job, worker: &Worker) -> u32 {
        let shape = &worker.shape;
        let mut distrust = 0;
        for failed in &job.failed_on {
            if *failed == shape.worker {
                return 1000;
            }
            let same_rack = self
                .fleet
                .slot(failed)
                .and_then(|slot| self.fleet.get(slot))
                .is_some_and(|other| other.shape.rack == shape.rack);
            distrust += u32::from(same_rack);
        }
        distrust
    }
}

const fn choice_reason(job: &Job) -> &'static str {
    match job.policy {
        QueuePolicy::Service => "least crowded worker with room",
        QueuePolicy::Batch | QueuePolicy::Gang => "tightest worker with room",
    }
}

fn lower_rank(left: Option<Choice>, right: Option<Choice>) -> Option<Choice> {
    match (left, right) {
        (Some(left), Some(right)) if right.rank_ms < left.rank_ms => {
            Some(right)
        }
        (Some(left), _) => Some(left),
        (None, right) => right,
    }
}
