//! The steps that found no room in a scheduling pass, so that others which
//! need as much are not tried.

use limpet_core::Resources;

use super::{Engine, step_context::StepContext};

/// A kind of task for which no worker has room.
#[derive(Debug)]
pub(super) struct NoRoom {
    service: String,
    required_label: Option<String>,
    priority: u32,
    /// The resources of a task.
    counted: Resources,
    /// Whether preemption makes no room either.
    with_preemption: bool,
}

impl NoRoom {
    pub(super) fn new(ctx: &StepContext, with_preemption: bool) -> NoRoom {
        NoRoom {
            service: ctx.service().to_owned(),
            required_label: ctx.spec().required_label.clone(),
            priority: ctx.priority,
            counted: ctx.counted,
            with_preemption,
        }
    }

    /// Returns whether there is no room for a task of a step either.
    fn covers(&self, ctx: &StepContext, may_preempt: bool) -> bool {
        (self.with_preemption || !may_preempt)
            && self.priority <= ctx.priority
            && self.counted.fits_in(&ctx.counted)
            && self.service == ctx.service()
            && (self.required_label.is_none()
                || self.required_label == ctx.spec().required_label)
    }
}

impl Engine {
    /// Returns whether no listed worker meets the requirements of a step and
    /// is large enough for one of its tasks.
    pub(super) fn exceeds_all_workers(&mut self, ctx: &StepContext) -> bool {
        let label = &ctx.spec().required_label;
        let known = self.largest_capacities.get(ctx.service(), label);
        let largest = known.unwrap_or_else(|| {
            self.count_examined(self.workers.len());
            self.largest_capacities.determine(
                ctx.service(),
                label,
                &self.workers,
            )
        });
        largest.is_none_or(|largest| !ctx.counted.fits_in(&largest))
    }

    /// Returns whether this pass has found that no worker has room for a task
    /// of a step, nor one that the step could request advice about.
    pub(super) fn is_known_to_fail(
        &self,
        ctx: &StepContext,
        may_preempt: bool,
    ) -> bool {
        // Without preemption, advice is also requested about workers of which
        // the resources come free soon.
        let is_exempt = ctx.spec().gang
            || ctx.policy.is_some() && !may_preempt
            || self.reserved_by.contains_key(&ctx.key);
        !is_exempt
            && self.no_room.iter().any(|found| found.covers(ctx, may_preempt))
    }

    /// Records that no worker has room for a task of a step.
    pub(super) fn record_no_room(
        &mut self,
        ctx: &StepContext,
        with_preemption: bool,
    ) {
        let step =
            self.jobs[&ctx.key.job].step(ctx.key.occurrence, ctx.key.step);
        // A step may be kept from workers by its own tasks there.
        let is_general = ctx.spec().max_per_worker == 0 || !step.has_claims();
        if is_general && !ctx.spec().gang {
            self.no_room.push(NoRoom::new(ctx, with_preemption));
        }
    }
}
