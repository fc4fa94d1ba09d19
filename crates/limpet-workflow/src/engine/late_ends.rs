//! Ends that are reported when the claim of their run is gone, or before it is
//! loaded: after the expiry of a lease, by an earlier life of a worker, or
//! during the load of a new owner.
//!
//! A task that is reported as done must not start again, whatever has become
//! of the claim in the meantime.

use super::{Engine, Moment};
use crate::{
    effect::StopReason,
    key::TaskKey,
    worker::{EndKind, RunEnd, WorkerSlot},
};

/// A run whose claim was released although the end of the run is unknown.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct ReleasedRun {
    task: TaskKey,
    run: u32,
    /// The incarnation of the worker to which the run belonged.
    incarnation: u64,
    /// The submission of the job: a later job may have the same id.
    submission: u64,
}

impl Engine {
    /// Remembers a run before its claim is released because its worker was
    /// lost. The worker may answer again and report that it was done.
    pub(super) fn remember_released(&mut self, key: TaskKey) {
        let Some(job) = self.jobs.get(&key.step.job) else { return };
        let submission = job.record.submission;
        let Some(claim) = job.get_task(key).and_then(|t| t.claim.as_ref())
        else {
            return;
        };
        let released = ReleasedRun {
            task: key,
            run: claim.run,
            incarnation: claim.incarnation,
            submission,
        };
        let worker = &mut self.workers[claim.worker as usize];
        worker.released_runs.push(released);
    }

    /// Applies the end of a run without a claim if the run was done and its
    /// claim was released for the loss of its worker. Returns whether the task
    /// is done by it.
    pub(super) fn apply_released_end(
        &mut self,
        slot: WorkerSlot,
        incarnation: u64,
        end: &RunEnd,
        now: Moment,
    ) -> bool {
        let Some(job) = self.jobs.get(&end.task.step.job) else {
            return false;
        };
        let released = ReleasedRun {
            task: end.task,
            run: end.run,
            incarnation,
            submission: job.record.submission,
        };
        end.kind == EndKind::Done
            && self.workers[slot as usize].released_runs.contains(&released)
            && self.finish_late(end.task, now)
    }

    /// Applies the ends that an earlier life of a worker has reported, as far
    /// as their runs are done. They are not acknowledged: that life is gone.
    pub(super) fn apply_late_ends(
        &mut self,
        slot: WorkerSlot,
        incarnation: u64,
        ends: &[RunEnd],
        now: Moment,
    ) {
        for end in ends {
            let claim = self.claim_mut(end.task);
            let is_claimed = claim.is_some_and(|claim| {
                claim.worker == slot
                    && claim.run == end.run
                    && claim.incarnation == incarnation
            });
            if is_claimed && end.kind == EndKind::Done {
                self.finish_late(end.task, now);
            } else {
                self.apply_released_end(slot, incarnation, end, now);
            }
        }
    }

    /// Applies the ends that a worker listed during the load of this owner and
    /// that no report has listed since, as far as their runs are done. Their
    /// claims stay until the worker is lost or has confirmed a stop: a start
    /// order of the earlier owner may still reach a later life.
    pub(super) fn apply_unread_ends(&mut self, slot: WorkerSlot, now: Moment) {
        let worker = &mut self.workers[slot as usize];
        for end in std::mem::take(&mut worker.unread_ends) {
            let claims = &self.workers[slot as usize].claims;
            let is_claimed = claims.get(&end.task) == Some(&end.run);
            if is_claimed && end.kind == EndKind::Done {
                self.finish_late(end.task, now);
            }
        }
    }

    /// Marks a task, or its gang, as done although its run has no claim or one
    /// of an earlier life. Runs that were started since then are stopped.
    /// Returns false if the task lasts, is done already or its job has ended.
    fn finish_late(&mut self, key: TaskKey, now: Moment) -> bool {
        let Some(job) = self.jobs.get(&key.step.job) else { return false };
        let spec = job.step_spec(key.step.step);
        let (gang, count) = (spec.gang, spec.count);
        let is_open = job.get_task(key).is_some_and(|task| !task.done);
        if job.phase.has_ended() || spec.long_running || !is_open {
            return false;
        }
        self.finish_tasks(key, gang, now);
        let indices = if gang { 0..count } else { key.index..key.index + 1 };
        let tasks: Vec<TaskKey> =
            indices.map(|index| key.step.task(index)).collect();
        self.stop_tasks(&tasks, StopReason::Done, now);
        self.mark_dirty(key.step.job);
        true
    }
}
