//! Stops tasks, or lets them checkpoint and stop.

use super::{Effect, Scheduler, StopReason};
use crate::{TaskId, TaskState, TimeMs};

/// How long the checkpoint of a preempted task may take before the task is
/// stopped.
const CHECKPOINT_LIMIT_MS: u64 = 400;

impl Scheduler {
    /// Orders a placed task to stop.
    pub(super) fn stop_task(
        &mut self,
        id: TaskId,
        reason: StopReason,
        out: &mut Vec<Effect>,
    ) {
        let Some(job) = self.jobs.get_mut(&id.job) else { return };
        let task = &mut job.tasks[id.index as usize];
        let Some(worker) = task.worker.clone() else { return };
        if !task.state.is_placed() {
            return;
        }
        task.state = TaskState::Stopping;
        task.stopping = Some(reason);
        out.push(Effect::Stop { task: id, worker, reason });
    }

    /// Removes an idempotent task from its worker with the least work lost: by
    /// a checkpoint if the task can save its progress, else by a stop.
    pub(super) fn evict_task(
        &mut self,
        id: TaskId,
        reason: StopReason,
        now: TimeMs,
        out: &mut Vec<Effect>,
    ) {
        let Some(job) = self.jobs.get_mut(&id.job) else { return };
        if !job.group_of(id.index).can_checkpoint {
            return self.stop_task(id, reason, out);
        }
        let task = &mut job.tasks[id.index as usize];
        let Some(worker) = task.worker.clone() else { return };
        task.state = TaskState::Stopping;
        task.stopping = Some(reason);
        out.push(Effect::Checkpoint { task: id, worker, reason });
        self.checkpoints.insert((now.plus_ms(CHECKPOINT_LIMIT_MS), id));
    }

    /// Stops preempted tasks whose checkpoint takes too long.
    pub(super) fn stop_late_checkpoints(
        &mut self,
        now: TimeMs,
        out: &mut Vec<Effect>,
    ) {
        while let Some(&(at, id)) = self.checkpoints.first() {
            if at > now {
                return;
            }
            self.checkpoints.pop_first();
            let stopping = self
                .jobs
                .get(&id.job)
                .map(|job| &job.tasks[id.index as usize])
                .filter(|task| task.state == TaskState::Stopping)
                .and_then(|task| task.stopping);
            if stopping == Some(StopReason::Preempted) {
                self.stop_task(id, StopReason::Preempted, out);
            }
        }
    }
}
