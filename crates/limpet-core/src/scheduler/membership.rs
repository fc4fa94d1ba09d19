//! Handles workers that join, leave, stop answering or are removed, and
//! tries workers on probation with canary tasks.

use super::{Effect, Scheduler, StopReason, WorkerShape, slot::WorkerSlot};
use crate::{TaskId, TaskState, TimeMs, WorkerId};

impl Scheduler {
    /// Adds a worker, or updates it after it joined again.
    pub(super) fn join_worker(&mut self, shape: &WorkerShape, now: TimeMs) {
        let slot = self.fleet.join(shape);
        self.record_freed_room(slot);
        self.teams.refresh_all(self.fleet.held(), now);
    }

    /// Marks a worker as suspected, so that it gets no new tasks, or as
    /// answering again.
    pub(super) fn suspect_worker(&mut self, id: &WorkerId, suspected: bool) {
        let Some(slot) = self.fleet.slot(id) else { return };
        self.fleet.update(slot, |worker| worker.suspected = suspected);
        if !suspected {
            self.record_freed_room(slot);
        }
    }

    /// Stops placing tasks on a worker and moves those of its tasks that can
    /// checkpoint. The others run to their end.
    pub(super) fn mark_leaving(
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

    /// Pauses or resumes placement. On resuming, asks the tasks on leaving
    /// workers to checkpoint, which is not done during a pause.
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

    /// Asks a running task on a leaving worker to checkpoint, so that it can
    /// continue elsewhere. Unlike a preempted task, it is not stopped if the
    /// checkpoint takes long.
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

    /// Removes a worker and ends every task on it. All leases there have
    /// certainly expired, so none of the tasks still runs.
    pub(super) fn remove_lapsed_worker(
        &mut self,
        id: &WorkerId,
        now: TimeMs,
        out: &mut Vec<Effect>,
    ) {
        let Some(slot) = self.fleet.slot(id) else { return };
        // Keeps the room that the ended tasks free from being used.
        self.fleet.update(slot, |worker| worker.leaving = true);
        for task in self.tasks_on(slot) {
            self.end_lapsed_task(task, slot, now, out);
        }
        self.drop_claims_on(slot);
        self.drop_reservation_on(slot);
        self.probation.remove(&slot);
        self.freed.retain(|&freed| freed != slot);
        self.fleet.remove(slot);
        self.teams.refresh_all(self.fleet.held(), now);
    }

    /// Returns the tasks that are placed on a worker.
    pub(super) fn tasks_on(&self, slot: WorkerSlot) -> Vec<TaskId> {
        self.fleet
            .get(slot)
            .map(|worker| worker.tasks.iter().copied().collect())
            .unwrap_or_default()
    }

    /// Starts a canary task on each worker whose waiting time on probation is
    /// over.
    pub(super) fn start_canaries(
        &mut self,
        now: TimeMs,
        out: &mut Vec<Effect>,
    ) {
        for slot in self.probation.clone() {
            let Some(worker) = self.fleet.get(slot) else { continue };
            if worker.health.is_ready() {
                self.probation.remove(&slot);
            } else if worker.is_reachable() && worker.health.is_canary_due(now)
            {
                self.start_canary(slot, now, out);
            }
        }
    }

    /// Starts a waiting task as a canary on a worker, if one suits.
    fn start_canary(
        &mut self,
        slot: WorkerSlot,
        now: TimeMs,
        out: &mut Vec<Effect>,
    ) {
        let Some((job, group)) = self.find_canary_task(slot) else { return };
        let Some(index) = self.pop_waiting(job, group) else { return };
        self.fleet.update(slot, |worker| worker.health.start_canary());
        let id = TaskId::new(job, index);
        self.start_task(id, slot, "canary on a worker on probation", now, out);
    }

    /// Returns a job and the index of one of its groups with a waiting task
    /// that suits as a canary: one that may run again, is not urgent, is not
    /// part of a gang and fits on the worker.
    fn find_canary_task(
        &self,
        slot: WorkerSlot,
    ) -> Option<(crate::JobId, usize)> {
        let worker = self.fleet.get(slot)?;
        let room = worker.room();
        let data_centre = &worker.shape.data_centre;
        for &team in self.teams.order() {
            let record = self.teams.get(team);
            for class in record.ready_classes.iter() {
                let key = self.classes.get(class);
                let suits = key.size.fits_in(&room)
                    && !key.urgent
                    && record.allows(&key.size)
                    && key
                        .data_centre
                        .as_ref()
                        .is_none_or(|at| at == data_centre);
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

    /// Returns the state of a task, if the scheduler knows the task.
    pub(super) fn task_state(&self, id: TaskId) -> Option<TaskState> {
        let job = self.jobs.get(&id.job)?;
        Some(job.tasks.get(id.index as usize)?.state)
    }
}
