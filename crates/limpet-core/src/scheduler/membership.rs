//! Takes in what happens to workers.

use super::{Effect, Scheduler, StopReason, WorkerShape, slot::WorkerSlot};
use crate::{TaskId, TaskOutcome, TaskState, TimeMs, WorkerId};

impl Scheduler {
    pub(super) fn join_worker(&mut self, shape: &WorkerShape, now: TimeMs) {
        let slot = self.fleet.join(shape);
        self.note_freed(slot);
        self.teams.refresh_all(self.fleet.held(), now);
    }

    pub(super) fn suspect_worker(&mut self, id: &WorkerId, suspected: bool) {
        let Some(slot) = self.fleet.slot(id) else { return };
        self.fleet.update(slot, |worker| worker.suspected = suspected);
        if !suspected {
            self.note_freed(slot);
        }
    }

    /// Lets a worker take no new tasks and moves those of its tasks that
    /// can save their progress. The others go on to their end.
    pub(super) fn leave_worker(
        &mut self,
        id: &WorkerId,
        _now: TimeMs,
        out: &mut Vec<Effect>,
    ) {
        let Some(slot) = self.fleet.slot(id) else { return };
        self.fleet.update(slot, |worker| worker.leaving = true);
        for task in self.tasks_on(slot) {
            self.move_task(task, out);
        }
    }

    /// Stops placing, or goes on with it and with what was put off.
    pub(super) fn pause_placement(
        &mut self,
        paused: bool,
        out: &mut Vec<Effect>,
    ) {
        self.paused = paused;
        if paused {
            return;
        }
        let leaving: Vec<WorkerSlot> = self
            .fleet
            .slots()
            .filter(|(_, worker)| worker.leaving)
            .map(|(slot, _)| slot)
            .collect();
        for slot in leaving {
            for task in self.tasks_on(slot) {
                self.move_task(task, out);
            }
        }
    }

    /// Has a task on a leaving worker save its progress, so that it goes on
    /// elsewhere. It may take as long as it needs.
    pub(super) fn move_task(&mut self, id: TaskId, out: &mut Vec<Effect>) {
        let Some(job) = self.jobs.get_mut(&id.job) else { return };
        let group = job.group_of(id.index);
        if self.paused || !group.can_checkpoint || !group.idempotent {
            return;
        }
        let reason = StopReason::WorkerLeaving;
        let task = &mut job.tasks[id.index as usize];
        let Some(worker) = task.worker.clone() else { return };
        if task.state != TaskState::Running {
            return;
        }
        task.state = TaskState::Stopping;
        task.stopping = Some(reason);
        out.push(Effect::Checkpoint { task: id, worker, reason });
    }

    /// Takes a worker out, with everything on it: its leases have certainly
    /// lapsed, so nothing runs there any more.
    pub(super) fn lapse_worker(
        &mut self,
        id: &WorkerId,
        now: TimeMs,
        out: &mut Vec<Effect>,
    ) {
        let Some(slot) = self.fleet.slot(id) else { return };
        // No room that is freed here may be placed on.
        self.fleet.update(slot, |worker| worker.leaving = true);
        for task in self.tasks_on(slot) {
            self.end_task(task, slot, TaskOutcome::Stopped, now, out);
        }
        self.drop_claims_on(slot);
        self.drop_reservation_on(slot);
        self.probation.remove(&slot);
        self.freed.retain(|&freed| freed != slot);
        self.fleet.remove(slot);
        self.teams.refresh_all(self.fleet.held(), now);
    }

    pub(super) fn tasks_on(&self, slot: WorkerSlot) -> Vec<TaskId> {
        self.fleet
            .get(slot)
            .map(|worker| worker.tasks.iter().copied().collect())
            .unwrap_or_default()
    }

    /// Tries one task on each worker whose time on probation is over.
    pub(super) fn try_canaries(&mut self, now: TimeMs, out: &mut Vec<Effect>) {
        for slot in self.probation.clone() {
            let Some(worker) = self.fleet.get(slot) else { continue };
            if worker.health.is_ready() {
                self.probation.remove(&slot);
            } else if worker.is_reachable() && worker.health.wants_canary(now)
            {
                self.try_canary(slot, now, out);
            }
        }
    }

    fn try_canary(
        &mut self,
        slot: WorkerSlot,
        now: TimeMs,
        out: &mut Vec<Effect>,
    ) {
        let Some((job, group)) = self.find_canary(slot) else { return };
        let Some(index) = self.pop_waiting(job, group) else { return };
        self.fleet.update(slot, |worker| worker.health.set_canary());
        let id = TaskId::new(job, index);
        self.start_task(
            id,
            slot,
            "one try on a worker on probation",
            now,
            out,
        );
    }

    /// Returns waiting work that may fail without harm.
    fn find_canary(&self, slot: WorkerSlot) -> Option<(crate::JobId, usize)> {
        let worker = self.fleet.get(slot)?;
        let room = worker.room();
        let place = &worker.shape.data_centre;
        for &team in self.teams.order() {
            let record = self.teams.get(team);
            for class in record.ready_classes.iter() {
                let key = self.classes.get(class);
                let suits = key.size.fits_in(&room)
                    && !key.urgent
                    && record.allows(&key.size)
                    && key.data_centre.as_ref().is_none_or(|at| at == place);
                let Some(entry) = self.backlog.first(team, class) else {
                    continue;
                };
                let job = &self.jobs[&entry.job];
                let group = entry.group as usize;
                if suits && job.groups[group].idempotent && !job.is_gang() {
                    return Some((entry.job, group));
                }
            }
        }
        None
    }

    /// Returns the state of a task, where the scheduler knows it.
    pub(super) fn task_state(&self, id: TaskId) -> Option<TaskState> {
        let job = self.jobs.get(&id.job)?;
        Some(job.tasks.get(id.index as usize)?.state)
    }
}
