//! Starts gangs whole.

use super::{
    Effect, Scheduler, StopReason, accept::end_waiting, job::Job,
    slot::WorkerSlot,
};
use crate::{DataCentre, JobId, Resources, TaskId, TaskState, TimeMs};

/// How soon a gang without room is tried again.
const RETRY_MS: u64 = 500;
/// How many gangs are tried at one time.
const TRY_LIMIT: usize = 8;

/// What is kept of a gang that waits.
#[derive(Clone, Copy, Debug)]
pub(super) struct WaitingGang {
    pub(super) retry_at: TimeMs,
    /// When it may hold a reservation again.
    pub(super) reserve_at: TimeMs,
}

impl WaitingGang {
    pub(super) const NEW: WaitingGang =
        WaitingGang { retry_at: TimeMs::ZERO, reserve_at: TimeMs::ZERO };
}

/// A place for one task of a gang.
type Place = (u32, WorkerSlot);

impl Scheduler {
    /// Tries the gangs that have just come.
    pub(super) fn start_new_gangs(
        &mut self,
        now: TimeMs,
        out: &mut Vec<Effect>,
    ) {
        for id in std::mem::take(&mut self.new_gangs) {
            self.try_gang(id, now, out);
        }
    }

    /// Tries the gangs that wait, the team furthest below its share first.
    pub(super) fn retry_gangs(&mut self, now: TimeMs, out: &mut Vec<Effect>) {
        let mut due: Vec<(f64, u64, JobId)> = self
            .gangs
            .iter()
            .filter(|(_, gang)| gang.retry_at <= now)
            .map(|(&id, _)| {
                let job = &self.jobs[&id];
                let standing = self.teams.get(job.team).standing;
                let first = if job.spec.urgent { -1.0 } else { standing };
                (first, job.rank_ms, id)
            })
            .collect();
        due.sort_by(|a, b| {
            a.0.total_cmp(&b.0).then((a.1, a.2).cmp(&(b.1, b.2)))
        });
        for (_, _, id) in due.into_iter().take(TRY_LIMIT) {
            if !self.try_gang(id, now, out) {
                self.try_reserve(id, now);
            }
        }
    }

    pub(super) fn try_gang(
        &mut self,
        id: JobId,
        now: TimeMs,
        out: &mut Vec<Effect>,
    ) -> bool {
        let Some(job) = self.jobs.get(&id) else { return false };
        if !self.gangs.contains_key(&id) {
            return false;
        }
        let allowed = self.teams.get(job.team).allows(&startable_size(job));
        let places = if allowed { self.plan_gang(id) } else { None };
        let Some(places) = places else {
            if let Some(gang) = self.gangs.get_mut(&id) {
                gang.retry_at = now.plus_ms(RETRY_MS);
            }
            return false;
        };
        self.start_gang(id, &places, now, out);
        true
    }

    fn start_gang(
        &mut self,
        id: JobId,
        places: &[Place],
        now: TimeMs,
        out: &mut Vec<Effect>,
    ) {
        self.clear_waiting(id);
        for &(index, slot) in places {
            let id = TaskId::new(id, index);
            self.start_task(id, slot, "its whole gang has room", now, out);
        }
        self.sync_job(id);
    }

    /// Returns a place for every task of a gang, inside one data centre
    /// where that can be.
    fn plan_gang(&mut self, id: JobId) -> Option<Vec<Place>> {
        let job = &self.jobs[&id];
        if let Some(place) = job.spec.data_centre.clone() {
            return self.plan_gang_in(id, Some(&place));
        }
        let places: Vec<DataCentre> =
            self.fleet.data_centres().cloned().collect();
        let total = startable_size(job);
        let mut fits_one = false;
        for place in &places {
            fits_one |= total.fits_in(&self.held_in(place));
            if let Some(plan) = self.plan_gang_in(id, Some(place)) {
                return Some(plan);
            }
        }
        // A gang that one data centre could hold waits for one.
        if fits_one { None } else { self.plan_gang_in(id, None) }
    }

    fn held_in(&self, place: &DataCentre) -> Resources {
        self.fleet
            .iter()
            .filter(|worker| worker.shape.data_centre == *place)
            .fold(Resources::ZERO, |sum, worker| sum.plus(&worker.shape.held))
    }

    /// Plans by setting room aside task by task, and gives it all back: a
    /// plan commits nothing.
    fn plan_gang_in(
        &mut self,
        id: JobId,
        place: Option<&DataCentre>,
    ) -> Option<Vec<Place>> {
        let job = &self.jobs[&id];
        let mut wanted: Vec<(u32, Resources)> = Vec::new();
        for group in &job.groups {
            let indexes = group.waiting.iter().rev();
            wanted.extend(indexes.map(|&index| (index, group.size)));
        }
        let mut places: Vec<Place> = Vec::with_capacity(wanted.len());
        for (index, size) in &wanted {
            let Some(slot) = self.fleet.find_packed(size, place) else {
                break;
            };
            self.set_aside(slot, size);
            places.push((*index, slot));
        }
        for (&(_, slot), (_, size)) in places.iter().zip(&wanted) {
            self.give_back(slot, size);
        }
        (places.len() == wanted.len()).then_some(places)
    }

    pub(super) fn set_aside(&mut self, slot: WorkerSlot, size: &Resources) {
        self.fleet.update(slot, |worker| {
            worker.reserved = worker.reserved.plus(size);
        });
    }

    pub(super) fn give_back(&mut self, slot: WorkerSlot, size: &Resources) {
        self.fleet.update(slot, |worker| {
            worker.reserved = worker.reserved.minus(size);
        });
    }

    /// Gives a job's reservation up, where it has one.
    pub(super) fn release_gang(&mut self, id: JobId) {
        self.gangs.remove(&id);
        let held = self.reservation.as_ref().is_some_and(|r| r.job == id);
        if held {
            self.drop_reservation();
        }
    }

    /// Ends a gang that lost a task for good: it can't be whole again, so
    /// nothing of it starts any more. What must not run twice goes on.
    pub(super) fn break_gang(&mut self, id: JobId, out: &mut Vec<Effect>) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.broken = true;
        end_waiting(id, job, TaskState::Failed);
        self.clear_waiting(id);
        self.stop_gang(id, out);
    }

    /// Stops the rest of a gang that lost a task and has to run whole, so
    /// that it can start again. Work that must not run again goes on.
    pub(super) fn stop_gang(&mut self, id: JobId, out: &mut Vec<Effect>) {
        let Some(job) = self.jobs.get(&id) else { return };
        let mut rest = Vec::new();
        for (index, task) in job.tasks.iter().enumerate() {
            let runs =
                matches!(task.state, TaskState::Running | TaskState::Starting);
            if runs && job.group_of(index as u32).idempotent {
                rest.push(TaskId::new(id, index as u32));
            }
        }
        for task in rest {
            self.stop_task(task, StopReason::Preempted, out);
        }
    }
}

/// Returns what the tasks that would start now need together.
pub(super) fn startable_size(job: &Job) -> Resources {
    job.groups.iter().fold(Resources::ZERO, |sum, group| {
        sum.plus(&group.size.times(group.waiting.len() as u64))
    })
}
