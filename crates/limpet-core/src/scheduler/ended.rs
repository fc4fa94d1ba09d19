//! Handles the ends of tasks, and retries those that may run again.

use super::{
    Effect, Scheduler, StopReason,
    retry::{
        LAPSE_LIMIT, SOUND_RUN_MS, TASK_RETRY_LIMIT, backoff_ms,
        job_retry_limit,
    },
    slot::WorkerSlot,
};
use crate::{TaskId, TaskOutcome, TaskState, TimeMs, WorkerId};

/// On how many workers a job without a finished task has to fail until the
/// job itself is presumed to be at fault.
const BAD_JOB_WORKERS: usize = 3;
/// How many of the workers on which a job failed are remembered.
const FAILED_ON_LIMIT: usize = 8;

impl Scheduler {
    /// Handles the end of a task, which may have been started by an earlier
    /// owner.
    pub(super) fn handle_task_end(
        &mut self,
        id: TaskId,
        worker: &WorkerId,
        outcome: TaskOutcome,
        now: TimeMs,
        out: &mut Vec<Effect>,
    ) {
        // The start of an idempotent task needn't be recorded, its end is. So
        // while the records of an earlier owner are replayed, which happens
        // with placement paused, a task that ends may still seem to wait.
        if self.paused && self.task_state(id) == Some(TaskState::Waiting) {
            let slot = self.fleet.slot_or_placeholder(worker);
            self.adopt_task(id, slot, now);
        }
        if let Some(slot) = self.placed_slot(id, worker) {
            self.end_task(id, slot, outcome, now, out);
        }
    }

    /// Handles a start that certainly had no effect: it counts as a failure
    /// of the worker, and unless its job was cancelled, the task waits for
    /// another start.
    pub(super) fn handle_not_started(
        &mut self,
        id: TaskId,
        worker: &WorkerId,
        now: TimeMs,
        out: &mut Vec<Effect>,
    ) {
        let Some(slot) = self.placed_slot(id, worker) else { return };
        let Some(job) = self.jobs.get_mut(&id.job) else { return };
        // The task runs, so the answer is a late one about an earlier start.
        if job.tasks[id.index as usize].confirmed {
            return;
        }
        let cancelled = job.cancelled;
        self.record_failure(id, slot, now);
        self.free(id, slot, now);
        if cancelled {
            self.finish_task(id, TaskState::Cancelled, now, out);
        } else {
            self.set_waiting(id, Some(now.plus_ms(backoff_ms(1))), now, out);
        }
    }

    /// Frees the room of a task that certainly ended, and decides whether it
    /// is finished, retried or waits again.
    pub(super) fn end_task(
        &mut self,
        id: TaskId,
        slot: WorkerSlot,
        outcome: TaskOutcome,
        now: TimeMs,
        out: &mut Vec<Effect>,
    ) {
        let job = &self.jobs[&id.job];
        let cancelled = job.cancelled;
        let idempotent = job.group_of(id.index).idempotent;
        let over_size = job.tasks[id.index as usize].stopping
            == Some(StopReason::OverSize);
        match outcome {
            TaskOutcome::Done => self.record_success(id, slot, now),
            TaskOutcome::Failed => self.record_failure(id, slot, now),
            _ => {
                self.fleet.update(slot, |worker| worker.health.end_canary());
            }
        }
        self.free(id, slot, now);
        match outcome {
            TaskOutcome::Done => {
                self.finish_task(id, TaskState::Done, now, out);
            }
            _ if cancelled => {
                self.finish_task(id, TaskState::Cancelled, now, out);
            }
            TaskOutcome::Failed => self.retry_task(id, now, out),
            _ if !idempotent => {
                self.finish_task(id, TaskState::Unknown, now, out);
            }
            _ if over_size => self.retry_task(id, now, out),
            _ => self.set_waiting(id, None, now, out),
        }
    }

    /// Ends a task whose worker has lapsed. A worker that crashes reports no
    /// end, so a task under which several lapsed uses up its retries.
    pub(super) fn end_lapsed_task(
        &mut self,
        id: TaskId,
        slot: WorkerSlot,
        now: TimeMs,
        out: &mut Vec<Effect>,
    ) {
        let Some(job) = self.jobs.get_mut(&id.job) else { return };
        let idempotent = job.group_of(id.index).idempotent;
        let is_cancelled = job.cancelled;
        let task = &mut job.tasks[id.index as usize];
        let is_sound =
            task.started_at.is_some_and(|at| now.ms_since(at) >= SOUND_RUN_MS);
        if is_sound {
            task.lapses = 0;
        } else if task.confirmed {
            task.lapses += 1;
        }
        let may_wait = task.lapses <= LAPSE_LIMIT;
        if may_wait || is_cancelled || !idempotent {
            return self.end_task(id, slot, TaskOutcome::Stopped, now, out);
        }
        self.fleet.update(slot, |worker| worker.health.end_canary());
        self.free(id, slot, now);
        self.retry_task(id, now, out);
    }

    /// Sets a task to a final state. If a gang lost the task, fails the gang.
    fn finish_task(
        &mut self,
        id: TaskId,
        state: TaskState,
        now: TimeMs,
        out: &mut Vec<Effect>,
    ) {
        let Some(job) = self.jobs.get_mut(&id.job) else { return };
        job.tasks[id.index as usize].state = state;
        job.counts.ended += 1;
        if state == TaskState::Done {
            job.counts.done += 1;
        }
        let is_lost = matches!(state, TaskState::Failed | TaskState::Unknown);
        if is_lost && job.is_gang() && !job.gang_failed {
            self.fail_gang(id.job, out);
        }
        self.after_end(id, state == TaskState::Done, now, out);
    }

    /// Lets a task wait for another start, not before a time if one is given.
    /// A task of a failed gang fails instead.
    fn set_waiting(
        &mut self,
        id: TaskId,
        not_before: Option<TimeMs>,
        now: TimeMs,
        out: &mut Vec<Effect>,
    ) {
        let Some(job) = self.jobs.get_mut(&id.job) else { return };
        if job.gang_failed {
            return self.finish_task(id, TaskState::Failed, now, out);
        }
        job.tasks[id.index as usize].state = TaskState::Waiting;
        match not_before {
            Some(at) => self.delay_task(id, at),
            None => self.push_waiting(id),
        }
        self.after_end(id, false, now, out);
    }

    /// Updates the job of a task that left its worker. A gang whose tasks have
    /// to run together is stopped, unless the task is done.
    fn after_end(
        &mut self,
        id: TaskId,
        done: bool,
        now: TimeMs,
        out: &mut Vec<Effect>,
    ) {
        let job = &self.jobs[&id.job];
        if job.is_gang() {
            if !done && !job.can_move_single_tasks() {
                self.stop_gang(id.job, out);
            }
            self.sync_job(id.job);
        }
        self.settle_job(id.job, now, out);
    }

    /// Retries a failed task if it is idempotent and the limits of the task,
    /// its job and its team allow it, else lets it fail.
    fn retry_task(&mut self, id: TaskId, now: TimeMs, out: &mut Vec<Effect>) {
        let Some(job) = self.jobs.get_mut(&id.job) else { return };
        let allowed = job_retry_limit(job.tasks.len() as u32);
        let idempotent = job.group_of(id.index).idempotent;
        let task = &mut job.tasks[id.index as usize];
        let may_retry = idempotent
            && task.retries < TASK_RETRY_LIMIT
            && job.retries < allowed
            && self.teams.get_mut(job.team).retries.try_take(now);
        if !may_retry {
            return self.finish_task(id, TaskState::Failed, now, out);
        }
        task.retries += 1;
        job.retries += 1;
        let at = now.plus_ms(backoff_ms(task.retries));
        self.set_waiting(id, Some(at), now, out);
    }

    /// Records a success on a worker, and the run time for later estimates.
    fn record_success(&mut self, id: TaskId, slot: WorkerSlot, now: TimeMs) {
        let Some(was_ready) = self.fleet.update(slot, |worker| {
            let was_ready = worker.health.is_ready();
            worker.health.record_success();
            was_ready
        }) else {
            return;
        };
        if !was_ready {
            self.record_freed_room(slot);
        }
        let job = &self.jobs[&id.job];
        let group = job.group_of(id.index);
        let started_at = job.tasks[id.index as usize].started_at;
        if let (Some(declared_ms), Some(started_at)) =
            (group.run_time_ms, started_at)
        {
            let ran_ms = now.ms_since(started_at);
            let queue = job.spec.queue.clone();
            self.estimates.observe_run_time(
                job.team,
                &queue,
                declared_ms,
                ran_ms,
            );
        }
    }

    /// Records a failure on a worker. If the job has failed on at least
    /// [`BAD_JOB_WORKERS`] workers and none of its tasks is done, it is
    /// presumed to be at fault itself, and the failures that it caused on
    /// workers are retracted.
    fn record_failure(&mut self, id: TaskId, slot: WorkerSlot, now: TimeMs) {
        let Some(worker) = self.fleet.get(slot) else { return };
        let name = worker.shape.worker.clone();
        let Some(job) = self.jobs.get_mut(&id.job) else { return };
        if !job.failed_on.contains(&name) {
            job.failed_on.push(name);
            if job.failed_on.len() > FAILED_ON_LIMIT {
                job.failed_on.remove(0);
            }
        }
        let is_bad_job =
            job.counts.done == 0 && job.failed_on.len() >= BAD_JOB_WORKERS;
        if is_bad_job {
            self.retract_failures(id);
            self.fleet.update(slot, |worker| worker.health.end_canary());
            return;
        }
        let starts_probation = self
            .fleet
            .update(slot, |worker| worker.health.record_failure(id.job, now));
        if starts_probation == Some(true) {
            self.probation.insert(slot);
        }
    }

    /// Removes the recorded failures of a task's job from all workers.
    fn retract_failures(&mut self, id: TaskId) {
        for name in self.jobs[&id.job].failed_on.clone() {
            if let Some(slot) = self.fleet.slot(&name) {
                self.fleet.update(slot, |worker| {
                    worker.health.retract_failure(id.job)
                });
            }
        }
    }
}
