//! Preemption: stops less urgent tasks to free resources for more urgent ones.

use limpet_core::Resources;

use super::{
    Engine, Moment, Preemptible, PreemptibleTask, job::ClaimPhase,
    step_context::StepContext,
};
use crate::{
    effect::StopReason,
    key::TaskKey,
    worker::{Reservation, WorkerSlot},
};

/// How long the resources of preempted tasks stay reserved for the step that
/// they were preempted for.
const RESERVATION_MS: u64 = 1_200;
/// The maximum number of times that a task is preempted.
const MAX_PREEMPTIONS: u32 = 2;

/// A task that may be preempted.
#[derive(Clone, Copy, Debug)]
pub(super) struct Victim {
    pub(super) task: TaskKey,
    /// The resources that come free on its worker.
    pub(super) resources: Resources,
    /// The work that would be lost, in core-milliseconds.
    pub(super) lost_core_ms: u64,
}

/// The preemptions on one worker that make room for tasks of a step.
#[derive(Debug)]
struct Offer {
    worker: WorkerSlot,
    /// The number of tasks of the step that fit afterwards.
    fits: u32,
    /// The tasks to preempt.
    victims: Vec<Victim>,
    /// The sum of the work that the victims lose, in core-milliseconds.
    lost_core_ms: u64,
}

impl Engine {
    /// Preempts less urgent tasks to make room for up to `need` tasks of a
    /// step. Workers on which the least work is lost per task come first.
    /// Returns whether that makes room for any.
    pub(super) fn preempt_for_step(
        &mut self,
        ctx: &StepContext,
        need: u32,
        now: Moment,
    ) -> bool {
        let mut offers = self.offers(ctx, need, now);
        let total: u32 = offers.iter().map(|offer| offer.fits).sum();
        if total == 0 {
            return false;
        }
        offers.sort_by_key(|offer| {
            let worker = &self.workers[offer.worker as usize];
            (
                offer.lost_core_ms / u64::from(offer.fits.max(1)),
                worker.is_cold,
                offer.worker,
            )
        });
        let by = ctx.key;
        let fits_unasked = self.fits_on_unasked(ctx, now);
        let reason = StopReason::Preempted { by, fits_unasked };
        let mut left = need;
        for offer in offers {
            if left == 0 {
                break;
            }
            let taken = offer.fits.min(left);
            left -= taken;
            self.accept_offer(ctx, &offer, taken, reason, now);
        }
        true
    }

    /// Preempts the tasks of an offer, and reserves the resources of `taken`
    /// tasks for the step.
    fn accept_offer(
        &mut self,
        ctx: &StepContext,
        offer: &Offer,
        taken: u32,
        reason: StopReason,
        now: Moment,
    ) {
        for victim in &offer.victims {
            self.preempt(victim.task, reason, now);
        }
        let reservation = Reservation {
            step: ctx.key,
            priority: ctx.priority,
            room: ctx.counted.times(u64::from(taken)),
            until: now.steady.plus_ms(RESERVATION_MS),
        };
        self.add_reservation(offer.worker, reservation);
    }

    /// Stops a task to make room for a more urgent one.
    pub(super) fn preempt(
        &mut self,
        key: TaskKey,
        reason: StopReason,
        now: Moment,
    ) {
        if let Some(task) = self
            .jobs
            .get_mut(&key.step.job)
            .and_then(|job| job.get_task_mut(key))
        {
            task.preemptions += 1;
        }
        self.stop_task(key, reason, now);
        self.update_preemptible();
    }

    /// Returns whether a task of a step that needs advice fits on a worker
    /// about which no answer has decided.
    fn fits_on_unasked(&self, ctx: &StepContext, now: Moment) -> bool {
        if ctx.policy.is_none() {
            return false;
        }
        self.count_examined(self.workers.len());
        let step =
            self.jobs[&ctx.key.job].step(ctx.key.occurrence, ctx.key.step);
        self.workers.iter().enumerate().any(|(slot, worker)| {
            let slot = slot as WorkerSlot;
            let room = worker.room_for(ctx.key, ctx.priority);
            !step.verdicts.contains_key(&slot)
                && self.may_host(ctx, worker, now.steady)
                && self.fits_on(ctx, slot, &room) > 0
        })
    }

    /// Returns an offer for each worker on which preemption makes room.
    fn offers(&self, ctx: &StepContext, need: u32, now: Moment) -> Vec<Offer> {
        let mut offers = Vec::new();
        for slot in self.ticketed_workers(ctx, now.steady) {
            let worker = &self.workers[slot as usize];
            if !self.may_host(ctx, worker, now.steady) {
                continue;
            }
            // Tasks are already being stopped here for this step.
            if worker.has_reservation_for(ctx.key) {
                continue;
            }
            if let Some(offer) = self.offer(ctx, slot, need, now) {
                offers.push(offer);
            }
        }
        offers
    }

    /// Chooses the tasks to preempt on a worker, cheapest first, until `need`
    /// tasks of the step fit. Returns `None` if none fits or, unless the step
    /// is a gang, if tasks fit without preemption.
    fn offer(
        &self,
        ctx: &StepContext,
        slot: WorkerSlot,
        need: u32,
        now: Moment,
    ) -> Option<Offer> {
        let mut room =
            self.workers[slot as usize].room_for(ctx.key, ctx.priority);
        let mut fits = self.fits_on(ctx, slot, &room);
        let mut victims = self.victims(ctx, slot, now);
        victims.sort_by_key(|victim| (victim.lost_core_ms, victim.task));
        let (mut used, mut lost_core_ms) = (Vec::new(), 0);
        for victim in victims {
            if fits >= need {
                break;
            }
            room = room.plus(&victim.resources);
            lost_core_ms += victim.lost_core_ms;
            used.push(victim);
            fits = self.fits_on(ctx, slot, &room);
        }
        (fits > 0 && (ctx.spec().gang || !used.is_empty())).then_some(Offer {
            worker: slot,
            fits,
            victims: used,
            lost_core_ms,
        })
    }

    /// Returns the tasks on a worker that a step may preempt: running tasks of
    /// less urgent queues that are neither members of a gang nor long-running
    /// and have not been preempted too often.
    pub(super) fn victims(
        &self,
        ctx: &StepContext,
        slot: WorkerSlot,
        now: Moment,
    ) -> Vec<Victim> {
        let tasks = self.workers[slot as usize].preemptible.tasks();
        self.count_examined(tasks.len());
        tasks
            .iter()
            .filter(|task| task.priority > ctx.priority)
            .map(|task| {
                let ran_ms = now.steady.ms_since(task.started_at);
                let lost_ms = if task.checkpointing { 0 } else { ran_ms };
                Victim {
                    task: task.task,
                    resources: task.resources,
                    lost_core_ms: lost_ms * task.cores_milli / 1_000,
                }
            })
            .collect()
    }

    /// Returns the resources that a step could use on a worker if all less
    /// urgent tasks there were preempted.
    pub(super) fn preemptible_room(
        &self,
        ctx: &StepContext,
        slot: WorkerSlot,
    ) -> Resources {
        let worker = &self.workers[slot as usize];
        worker
            .room_for(ctx.key, ctx.priority)
            .plus(&worker.preemptible.room(ctx.priority))
    }

    /// Determines the preemptible tasks of the workers whose claims have
    /// changed.
    pub(super) fn update_preemptible(&mut self) {
        for slot in std::mem::take(&mut self.changed_claims) {
            let tasks = self.preemptible_tasks(slot);
            self.workers[slot as usize].preemptible = Preemptible::new(tasks);
        }
    }

    fn preemptible_tasks(&self, slot: WorkerSlot) -> Vec<PreemptibleTask> {
        let claims = self.claims_of(slot);
        self.count_examined(claims.len());
        let mut tasks = Vec::new();
        for (key, _) in claims {
            let Some(job) = self.jobs.get(&key.step.job) else { continue };
            let spec = job.step_spec(key.step.step);
            let Some(task) = job.get_task(key) else { continue };
            let Some(claim) = &task.claim else { continue };
            if spec.gang
                || spec.long_running
                || claim.phase != ClaimPhase::Running
                || task.preemptions >= MAX_PREEMPTIONS
            {
                continue;
            }
            tasks.push(PreemptibleTask {
                task: key,
                priority: job.policy.priority,
                resources: super::ends::counted_resources(spec),
                cores_milli: spec.task.cores_milli,
                checkpointing: spec.checkpointing,
                started_at: claim.progress.started_at,
            });
        }
        tasks
    }
}
