//! Starts and stops gangs, that is jobs whose tasks have to start together.

use super::{
    Effect, Scheduler, StopReason, accept::end_waiting, job::Job,
    slot::WorkerSlot,
};
use crate::{DataCentre, JobId, Resources, TaskId, TaskState, TimeMs};

/// How long a gang that could not start waits until it is tried again.
const GANG_RETRY_MS: u64 = 500;
/// How many gangs are tried at most in one tick.
const GANGS_PER_RETRY: usize = 8;

/// When a waiting gang may be tried again.
#[derive(Clone, Copy, Debug)]
pub(super) struct WaitingGang {
    /// The earliest time at which it is tried again.
    pub(super) retry_at: TimeMs,
    /// The earliest time at which it may get a reservation.
    pub(super) reserve_at: TimeMs,
}

impl WaitingGang {
    pub(super) const NEW: WaitingGang =
        WaitingGang { retry_at: TimeMs::ZERO, reserve_at: TimeMs::ZERO };
}

/// The index of a task of a gang and the worker planned for it.
type Assignment = (u32, WorkerSlot);

impl Scheduler {
    /// Tries to start the gangs that have just become startable.
    pub(super) fn start_new_gangs(
        &mut self,
        now: TimeMs,
        out: &mut Vec<Effect>,
    ) {
        for id in std::mem::take(&mut self.new_gangs) {
            self.try_gang(id, now, out);
        }
    }

    /// Tries to start the waiting gangs that are due, urgent ones first, then
    /// those of the team furthest below its share. Reserves room for a gang
    /// that can't start.
    pub(super) fn retry_gangs(&mut self, now: TimeMs, out: &mut Vec<Effect>) {
        let mut due: Vec<(f64, u64, JobId)> = self
            .gangs
            .iter()
            .filter(|(_, gang)| gang.retry_at <= now)
            .map(|(&id, _)| {
                let job = &self.jobs[&id];
                let weighted_usage = self.teams.get(job.team).weighted_usage;
                let first =
                    if job.spec.urgent { -1.0 } else { weighted_usage };
                (first, job.rank_ms, id)
            })
            .collect();
        due.sort_by(|a, b| {
            a.0.total_cmp(&b.0).then((a.1, a.2).cmp(&(b.1, b.2)))
        });
        for (_, _, id) in due.into_iter().take(GANGS_PER_RETRY) {
            if !self.try_gang(id, now, out) {
                self.try_reserve(id, now);
            }
        }
    }

    /// Starts all tasks of a gang if its team's allotment and the free room
    /// allow it. Returns whether it started.
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
        let assignments = if allowed { self.plan_gang(id) } else { None };
        let Some(assignments) = assignments else {
            if let Some(gang) = self.gangs.get_mut(&id) {
                gang.retry_at = now.plus_ms(GANG_RETRY_MS);
            }
            return false;
        };
        self.start_gang(id, &assignments, now, out);
        true
    }

    fn start_gang(
        &mut self,
        id: JobId,
        assignments: &[Assignment],
        now: TimeMs,
        out: &mut Vec<Effect>,
    ) {
        self.clear_waiting(id);
        for &(index, slot) in assignments {
            let id = TaskId::new(id, index);
            self.start_task(id, slot, "the whole gang has room", now, out);
        }
        self.sync_job(id);
    }

    /// Returns a worker for every waiting task of a gang, or `None` if there
    /// is no room for all of them.
    ///
    /// Unless the gang is too large for any single data centre, all its
    /// tasks are placed in the same one.
    fn plan_gang(&mut self, id: JobId) -> Option<Vec<Assignment>> {
        let job = &self.jobs[&id];
        if let Some(data_centre) = job.spec.data_centre.clone() {
            return self.plan_gang_in(id, Some(&data_centre));
        }
        let data_centres: Vec<DataCentre> =
            self.fleet.data_centres().cloned().collect();
        let total = startable_size(job);
        let mut fits_one_data_centre = false;
        for data_centre in &data_centres {
            fits_one_data_centre |= total.fits_in(&self.held_in(data_centre));
            if let Some(plan) = self.plan_gang_in(id, Some(data_centre)) {
                return Some(plan);
            }
        }
        // A gang that fits into one data centre waits for room there.
        if fits_one_data_centre { None } else { self.plan_gang_in(id, None) }
    }

    /// Returns the total capacity of the workers in a data centre.
    fn held_in(&self, data_centre: &DataCentre) -> Resources {
        self.fleet
            .iter()
            .filter(|worker| worker.shape.data_centre == *data_centre)
            .fold(Resources::ZERO, |sum, worker| sum.plus(&worker.shape.held))
    }

    /// Plans a gang, in one data centre if one is given. Room is reserved task
    /// by task while planning and released at the end.
    fn plan_gang_in(
        &mut self,
        id: JobId,
        data_centre: Option<&DataCentre>,
    ) -> Option<Vec<Assignment>> {
        let job = &self.jobs[&id];
        let mut wanted: Vec<(u32, Resources)> = Vec::new();
        for group in &job.groups {
            let indexes = group.waiting.iter().rev();
            wanted.extend(indexes.map(|&index| (index, group.size)));
        }
        let mut assignments: Vec<Assignment> =
            Vec::with_capacity(wanted.len());
        for (index, size) in &wanted {
            let Some(slot) = self.fleet.find_best_fit(size, data_centre)
            else {
                break;
            };
            self.reserve_room(slot, size);
            assignments.push((*index, slot));
        }
        for (&(_, slot), (_, size)) in assignments.iter().zip(&wanted) {
            self.release_room(slot, size);
        }
        (assignments.len() == wanted.len()).then_some(assignments)
    }

    /// Reserves room on a worker, so that no other work is placed there.
    pub(super) fn reserve_room(&mut self, slot: WorkerSlot, size: &Resources) {
        self.fleet.update(slot, |worker| {
            worker.reserved = worker.reserved.plus(size);
        });
    }

    /// Releases room that was reserved on a worker.
    pub(super) fn release_room(&mut self, slot: WorkerSlot, size: &Resources) {
        self.fleet.update(slot, |worker| {
            worker.reserved = worker.reserved.minus(size);
        });
    }

    /// Removes a job from the waiting gangs and drops its reservation, if it
    /// has one.
    pub(super) fn release_gang(&mut self, id: JobId) {
        self.gangs.remove(&id);
        let has_reservation =
            self.reservation.as_ref().is_some_and(|r| r.job == id);
        if has_reservation {
            self.drop_reservation();
        }
    }

    /// Fails a gang of which a task reached a final state without being done,
    /// so that its tasks can never run all together. Its waiting tasks fail
    /// and its idempotent tasks are stopped; tasks that must not run twice run
    /// to their end.
    pub(super) fn fail_gang(&mut self, id: JobId, out: &mut Vec<Effect>) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.gang_failed = true;
        end_waiting(id, job, TaskState::Failed);
        self.clear_waiting(id);
        self.stop_gang(id, out);
    }

    /// Stops the running tasks of a gang whose tasks have to run together,
    /// after one of them left its worker. The gang then starts again as a
    /// whole, unless it failed. Tasks that must not run twice run to their
    /// end.
    pub(super) fn stop_gang(&mut self, id: JobId, out: &mut Vec<Effect>) {
        let Some(job) = self.jobs.get(&id) else { return };
        let mut remaining = Vec::new();
        for (index, task) in job.tasks.iter().enumerate() {
            let is_running =
                matches!(task.state, TaskState::Running | TaskState::Starting);
            if is_running && job.group_of(index as u32).idempotent {
                remaining.push(TaskId::new(id, index as u32));
            }
        }
        for task in remaining {
            self.stop_task(task, StopReason::Preempted, out);
        }
    }
}

/// Returns the total size of a job's waiting tasks that may start.
pub(super) fn startable_size(job: &Job) -> Resources {
    job.groups.iter().fold(Resources::ZERO, |sum, group| {
        sum.plus(&group.size.times(group.waiting.len() as u64))
    })
}
