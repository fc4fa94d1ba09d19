//! Which gangs may reserve resources at the same time.

use super::{Engine, step_context::StepContext};
use crate::key::StepKey;

/// The fraction of the free cores that gangs may reserve; the rest is for
/// steps that need no reservation.
const FREE_SHARE: f64 = 0.5;
/// The fraction of all usable cores, free or not, that gangs may reserve in
/// addition.
const GATHERING_SHARE: f64 = 0.15;

impl Engine {
    /// Returns whether a gang may reserve resources in addition to the other
    /// gangs of its service, which together are limited by [`FREE_SHARE`] and
    /// [`GATHERING_SHARE`]. A gang may reserve any amount while no other one
    /// reserves or requests any. Gangs of less urgent queues don't count.
    pub(super) fn may_gather(&self, ctx: &StepContext, need: u32) -> bool {
        let room = self.room_of(ctx);
        let reserved = self.cores_requested_by_gangs(ctx)
            + room.reserved_up_to(ctx.priority)
            - self.reserved_cores_milli_for(ctx.key);
        let own = ctx.counted.cores_milli * u64::from(need);
        let extra = room.usable_milli as f64 * GATHERING_SHARE;
        let limit = room.free_milli as f64 * FREE_SHARE + extra;
        reserved == 0 || (reserved + own) as f64 <= limit
    }

    /// Returns whether an advice request of a step is in progress.
    pub(super) fn has_request(&self, ctx: &StepContext) -> bool {
        let step =
            self.jobs[&ctx.key.job].step(ctx.key.occurrence, ctx.key.step);
        step.advice_request.is_some()
    }

    /// Returns the cores that the advice requests of other gangs of queues that
    /// of its service that are at least as urgent are for, in thousandths.
    fn cores_requested_by_gangs(&self, ctx: &StepContext) -> u64 {
        self.advice_requests
            .values()
            .filter(|request| request.gang && request.step != ctx.key)
            .filter(|request| self.is_before(request.step, ctx))
            .map(|request| request.requested_cores_milli)
            .sum()
    }

    fn is_before(&self, key: StepKey, ctx: &StepContext) -> bool {
        let job = self.jobs.get(&key.job);
        job.is_some_and(|job| {
            job.policy.priority <= ctx.priority
                && job.policy.service == ctx.service()
        })
    }
}
