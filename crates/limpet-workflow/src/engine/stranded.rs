//! Gangs that can't be complete, whichever other tasks end.
//!
//! Room that is kept for such a gang is lost to all others: until a worker
//! comes, or a task that lasts ends, neither of which is to be expected.

use limpet_core::Resources;

use super::{Engine, step_context::StepContext};
use crate::{key::StepKey, worker::Worker};

impl Engine {
    /// Determines and records whether a gang is stranded.
    pub(super) fn check_stranded(
        &mut self,
        ctx: &StepContext,
        need: u32,
    ) -> bool {
        let is_stranded = self.is_stranded(ctx, need);
        self.record_stranded(ctx.key, is_stranded);
        is_stranded
    }

    /// Records whether a gang is stranded, until it is determined again.
    pub(super) fn record_stranded(&mut self, key: StepKey, stranded: bool) {
        if let Some(job) = self.jobs.get_mut(&key.job) {
            job.step_mut(key.occurrence, key.step).stranded = stranded;
        }
    }

    /// Returns whether fewer than the `need` members of a gang would fit once
    /// all tasks have ended that don't last, on the workers that advice allows
    /// or has not decided about.
    fn is_stranded(&self, ctx: &StepContext, need: u32) -> bool {
        let step =
            self.jobs[&ctx.key.job].step(ctx.key.occurrence, ctx.key.step);
        self.count_examined(self.workers.len());
        let mut fits = 0;
        for slot in self.worker_slots() {
            let worker = &self.workers[slot as usize];
            let is_denied = ctx.policy.is_some()
                && step.verdicts.get(&slot) == Some(&false);
            if is_denied || !is_expected(ctx, worker) {
                continue;
            }
            let room = self.room_beside_lasting(ctx, worker);
            fits += self.fits_on(ctx, slot, &room);
            if fits >= need {
                return false;
            }
        }
        true
    }

    /// Returns the resources that a step could use on a worker once all tasks
    /// have ended that don't last.
    fn room_beside_lasting(
        &self,
        ctx: &StepContext,
        worker: &Worker,
    ) -> Resources {
        if ctx.apart && self.hosts_other_lasting(ctx, worker) {
            return Resources::ZERO;
        }
        worker.listing.capacity.minus(&worker.lasting_used)
    }
}

/// Returns whether a worker is expected to run tasks of a step now or soon:
/// one that has fallen silent, or has to show that it is sound, may be back in
/// a moment.
fn is_expected(ctx: &StepContext, worker: &Worker) -> bool {
    worker.listed
        && !worker.listing.draining
        && !worker.evacuated
        && Engine::meets_requirements(ctx, worker)
}
