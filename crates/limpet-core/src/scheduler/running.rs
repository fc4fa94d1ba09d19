//! Commits room on workers to tasks, and frees it again.

use super::{
    Decision, Effect, Scheduler, StopReason,
    slot::WorkerSlot,
    team::{Loss, Victim},
};
use crate::{
    JobState, TaskId, TaskState, TimeMs, WorkerId, config::QueuePolicy,
};

impl Scheduler {
    /// Returns the slot of `worker` if the task is placed on it.
    pub(super) fn placed_slot(
        &self,
        id: TaskId,
        worker: &WorkerId,
    ) -> Option<WorkerSlot> {
        let job = self.jobs.get(&id.job)?;
        let task = job.tasks.get(id.index as usize)?;
        let is_here = task.worker.as_ref() == Some(worker);
        (task.state.is_placed() && is_here).then_some(task.slot)?
    }

    /// Starts a task on a worker. The caller has removed it from the backlog.
    pub(super) fn start_task(
        &mut self,
        id: TaskId,
        slot: WorkerSlot,
        reason: &str,
        now: TimeMs,
        out: &mut Vec<Effect>,
    ) {
        let Some(worker) = self.fleet.get(slot) else { return };
        let worker = worker.shape.worker.clone();
        self.commit(id, slot, TaskState::Starting, now);
        let job = &self.jobs[&id.job];
        let group = job.group_of(id.index);
        out.push(Effect::Start {
            task: id,
            worker: worker.clone(),
            attempt: job.tasks[id.index as usize].starts,
            size: group.size,
            run_time_ms: group.run_time_ms,
            idempotent: group.idempotent,
        });
        if self.options.decisions {
            out.push(Effect::Decided(Decision {
                task: id,
                worker: Some(worker),
                reason: reason.to_owned(),
            }));
        }
    }

    /// Commits room on a worker to a task and sets the task's state. The
    /// caller has removed the task from the backlog.
    pub(super) fn commit(
        &mut self,
        id: TaskId,
        slot: WorkerSlot,
        state: TaskState,
        now: TimeMs,
    ) {
        let Some(job) = self.jobs.get_mut(&id.job) else { return };
        let Some(worker) = self.fleet.get(slot) else { return };
        let size = job.group_of(id.index).size;
        let task = &mut job.tasks[id.index as usize];
        task.state = state;
        task.slot = Some(slot);
        task.worker = Some(worker.shape.worker.clone());
        task.starts += 1;
        task.started_at = Some(now);
        task.confirmed = state == TaskState::Running;
        job.counts.placed += 1;
        job.started_at.get_or_insert(now);
        job.state = JobState::Running;
        if job.policy == QueuePolicy::Service {
            job.spread.add(&worker.shape);
        }
        let team = job.team;
        self.fleet.update(slot, |worker| {
            worker.committed = worker.committed.plus(&size);
            worker.tasks.insert(id);
        });
        let victim = self.victim(id);
        let record = self.teams.get_mut(team);
        record.running = record.running.plus(&size);
        record.preemptible.extend(victim);
        self.teams.refresh(team, self.fleet.held(), now);
    }

    /// Returns the preemption order of a running task, or `None` if it must
    /// not be preempted. That holds for tasks that must not run again, urgent
    /// tasks and tasks of gangs that can't be moved singly.
    pub(super) fn victim(&self, id: TaskId) -> Option<Victim> {
        let job = self.jobs.get(&id.job)?;
        let group = job.group_of(id.index);
        let runs_together = job.is_gang() && !job.can_move_single_tasks();
        if !group.idempotent || job.spec.urgent || runs_together {
            return None;
        }
        let started_at = job.tasks[id.index as usize].started_at?;
        let loss = match (group.can_checkpoint, job.policy) {
            (true, _) => Loss::Nothing,
            (false, QueuePolicy::Service) => Loss::Service,
            (false, _) => Loss::Progress,
        };
        let reversed_start_ms = u64::MAX - started_at.as_ms();
        Some(Victim { loss, reversed_start_ms, task: id })
    }

    /// Frees the room of a task that certainly doesn't run any more.
    pub(super) fn free(&mut self, id: TaskId, slot: WorkerSlot, now: TimeMs) {
        let victim = self.victim(id);
        let Some(job) = self.jobs.get_mut(&id.job) else { return };
        let size = job.group_of(id.index).size;
        let task = &mut job.tasks[id.index as usize];
        let used = std::mem::take(&mut task.used);
        task.slot = None;
        task.stopping = None;
        task.throttled = false;
        task.backfilled = false;
        job.counts.placed -= 1;
        if job.policy == QueuePolicy::Service
            && let Some(worker) = self.fleet.get(slot)
        {
            job.spread.remove(&worker.shape);
        }
        let team = job.team;
        self.fleet.update(slot, |worker| {
            worker.committed = worker.committed.minus(&size);
            worker.used = worker.used.minus(&used);
            worker.tasks.remove(&id);
        });
        let record = self.teams.get_mut(team);
        record.running = record.running.minus(&size);
        record.reset_ready_classes();
        if let Some(victim) = victim {
            record.preemptible.remove(&victim);
        }
        self.teams.refresh(team, self.fleet.held(), now);
        self.record_freed_room(slot);
    }

    /// Records that a worker has more room, and opens the classes that fit
    /// there.
    pub(super) fn record_freed_room(&mut self, slot: WorkerSlot) {
        let Some(worker) = self.fleet.get(slot) else { return };
        self.freed.push(slot);
        if worker.is_ready() {
            self.classes.reopen_fitting(
                slot,
                &worker.free(),
                &worker.shape.data_centre,
            );
        }
    }

    /// Handles the report that a task runs on a worker. A start is confirmed;
    /// a waiting task that an earlier owner started is adopted; any other
    /// task is stopped, since it should not run there.
    pub(super) fn handle_running(
        &mut self,
        id: TaskId,
        worker: &WorkerId,
        now: TimeMs,
        out: &mut Vec<Effect>,
    ) {
        if self.placed_slot(id, worker).is_some() {
            self.confirm_task(id, out);
            return;
        }
        let Some(slot) = self.fleet.slot(worker) else {
            return self.stop_stray(id, worker, out);
        };
        let Some(job) = self.jobs.get(&id.job) else {
            return self.stop_stray(id, worker, out);
        };
        let Some(task) = job.tasks.get(id.index as usize) else {
            return self.stop_stray(id, worker, out);
        };
        let was_here = task.worker.as_ref() == Some(worker);
        match task.state {
            TaskState::Waiting => self.adopt_task(id, slot, now),
            // Its outcome was recorded as unknown, but it still runs.
            TaskState::Unknown if was_here && !job.state.is_final() => {
                if let Some(job) = self.jobs.get_mut(&id.job) {
                    job.counts.ended -= 1;
                }
                self.commit(id, slot, TaskState::Running, now);
            }
            _ => self.stop_stray(id, worker, out),
        }
    }

    /// Takes a waiting task off the backlog and commits room on the worker on
    /// which it already runs.
    pub(super) fn adopt_task(
        &mut self,
        id: TaskId,
        slot: WorkerSlot,
        now: TimeMs,
    ) {
        let entry = self.delayed.iter().find(|(_, task)| *task == id).copied();
        if let Some(entry) = entry {
            self.delayed.remove(&entry);
            self.end_delay(id);
        }
        self.remove_waiting(id);
        self.commit(id, slot, TaskState::Running, now);
        self.sync_job(id.job);
    }

    /// Orders a task to stop on a worker where it is not expected.
    fn stop_stray(
        &self,
        task: TaskId,
        worker: &WorkerId,
        out: &mut Vec<Effect>,
    ) {
        let reason = StopReason::Stray;
        out.push(Effect::Stop { task, worker: worker.clone(), reason });
    }

    /// Records that the worker confirmed a task's start.
    fn confirm_task(&mut self, id: TaskId, out: &mut Vec<Effect>) {
        let Some(job) = self.jobs.get_mut(&id.job) else { return };
        let task = &mut job.tasks[id.index as usize];
        task.confirmed = true;
        if task.state != TaskState::Starting {
            return;
        }
        task.state = TaskState::Running;
        let leaving = task
            .slot
            .and_then(|slot| self.fleet.get(slot))
            .is_some_and(|worker| worker.leaving);
        if leaving {
            self.move_task(id, out);
        }
    }

    /// Handles a start that an earlier owner recorded and that may have had an
    /// effect: the task counts as starting until its worker answers.
    pub(super) fn adopt_claimed_task(
        &mut self,
        id: TaskId,
        worker: &WorkerId,
        attempt: u32,
        now: TimeMs,
    ) {
        if self.task_state(id) != Some(TaskState::Waiting) {
            return;
        }
        let slot = self.fleet.slot_or_placeholder(worker);
        self.adopt_task(id, slot, now);
        if let Some(job) = self.jobs.get_mut(&id.job) {
            let task = &mut job.tasks[id.index as usize];
            task.state = TaskState::Starting;
            task.starts = task.starts.max(attempt);
            task.confirmed = false;
        }
    }
}
