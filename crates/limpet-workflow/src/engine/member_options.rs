//! The choice of workers for the members of a gang that waits for room.

use std::{cmp::Reverse, collections::BinaryHeap};

use limpet_core::{Resources, TimeMs};

use super::{
    Engine, ends::counted_resources, job::ClaimPhase,
    step_context::StepContext,
};
use crate::worker::{Worker, WorkerSlot};

/// The members of a gang that are to run on one worker.
#[derive(Clone, Copy, Debug)]
pub(super) struct GangPlacement {
    pub(super) worker: WorkerSlot,
    /// The number of members.
    pub(super) fits: u32,
    /// The number of those that do not fit yet.
    pub(super) missing: u32,
}

/// The option to run one more member of a gang on a worker.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct MemberOption {
    /// Whether the worker is neither free now nor a choice of the latest pass
    /// on which runs are being stopped. A gang keeps such a choice.
    is_new: bool,
    /// The resources that are not free yet, in thousandths of the resources
    /// of a member.
    pub(super) missing: u64,
    /// Whether the worker is still slow after a time without work.
    is_cold: bool,
    /// The sort key of the worker's speed: fast ones come first.
    speed_key: i32,
    worker: WorkerSlot,
    /// The number of members on this worker, this one included.
    nth: u32,
}

/// What a worker offers to the members of a gang.
#[derive(Debug)]
struct MemberRoom<'a> {
    slot: WorkerSlot,
    worker: &'a Worker,
    /// The number of members that fit once short tasks have ended; not 0.
    fits: u32,
    /// The resources that are free now.
    free: Resources,
    /// The cores that are reserved for the gang, in thousandths.
    reserved_milli: u64,
    /// Whether runs are being stopped on a worker that is reserved for it.
    has_stops: bool,
}

impl MemberRoom<'_> {
    /// Returns the option to run the `nth` member here, from 1. Later members
    /// wait for more resources.
    fn option(&self, ctx: &StepContext, nth: u32) -> MemberOption {
        let wanted = ctx.counted.times(u64::from(nth));
        let missing = match ctx.apart {
            true if self.free == Resources::ZERO => {
                self.worker.used.cores_milli.max(1)
            }
            true => 0,
            false => {
                dominant_share_milli(&wanted.minus(&self.free), &ctx.counted)
            }
        };
        let is_reserved =
            self.has_stops && self.reserved_milli >= wanted.cores_milli;
        MemberOption {
            is_new: missing > 0 && !is_reserved,
            missing,
            is_cold: self.worker.is_cold,
            speed_key: ctx.speed.key(self.worker.speed_band),
            worker: self.slot,
            nth,
        }
    }
}

impl Engine {
    /// Returns the options for `need` members, or as many as there are, on
    /// workers that advice allows and once short tasks have ended. Options
    /// that wait for the least resources come first.
    ///
    /// Any number of members may fit on a worker, so that no list of all
    /// options is made.
    pub(super) fn member_options(
        &self,
        ctx: &StepContext,
        need: u32,
        now: TimeMs,
    ) -> Vec<MemberOption> {
        let rooms = self.member_rooms(ctx, now);
        // The options of a worker are in order, so that the next one is always
        // the next of some worker.
        let mut next: BinaryHeap<_> = rooms
            .iter()
            .enumerate()
            .map(|(index, room)| Reverse((room.option(ctx, 1), index)))
            .collect();
        let mut member_options = Vec::new();
        while member_options.len() < need as usize
            && let Some(Reverse((option, index))) = next.pop()
        {
            member_options.push(option);
            let nth = option.nth + 1;
            if nth <= rooms[index].fits {
                next.push(Reverse((rooms[index].option(ctx, nth), index)));
            }
        }
        member_options
    }

    /// Returns what the workers offer on which members would fit, once short
    /// tasks have ended.
    fn member_rooms(
        &self,
        ctx: &StepContext,
        now: TimeMs,
    ) -> Vec<MemberRoom<'_>> {
        let step =
            self.jobs[&ctx.key.job].step(ctx.key.occurrence, ctx.key.step);
        let allowed = self.allowed_workers(ctx);
        self.count_examined(allowed.len().max(step.verdicts.len()));
        let mut rooms = Vec::new();
        for slot in allowed {
            let worker = &self.workers[slot as usize];
            if !self.may_host(ctx, worker, now) {
                continue;
            }
            let gatherable = self.gatherable_on(ctx, worker);
            let fits = self.fits_on(ctx, slot, &gatherable);
            if fits == 0 {
                continue;
            }
            let reserved_milli = worker.reserved_cores_milli_for(ctx.key);
            let has_stops = reserved_milli > 0
                && self.stopping_resources(slot) != Resources::ZERO;
            rooms.push(MemberRoom {
                slot,
                worker,
                fits,
                free: self.room_on(ctx, worker),
                reserved_milli,
                has_stops,
            });
        }
        rooms
    }

    /// Returns the workers that advice allows for a step; all workers if it
    /// needs none.
    fn allowed_workers(&self, ctx: &StepContext) -> Vec<WorkerSlot> {
        if ctx.policy.is_none() {
            return self.worker_slots().collect();
        }
        let step =
            self.jobs[&ctx.key.job].step(ctx.key.occurrence, ctx.key.step);
        let is_allowed =
            |(slot, allowed): (&WorkerSlot, &bool)| allowed.then_some(*slot);
        step.verdicts.iter().filter_map(is_allowed).collect()
    }

    /// Returns the resources of the tasks that are being stopped on a worker.
    pub(super) fn stopping_resources(&self, slot: WorkerSlot) -> Resources {
        self.count_examined(self.workers[slot as usize].claims.len());
        self.claims_of(slot)
            .into_iter()
            .filter(|(task, _)| {
                matches!(
                    self.claim_phase(*task),
                    Some(ClaimPhase::Stopping | ClaimPhase::Stopped)
                )
            })
            .filter_map(|(task, _)| {
                let job = self.jobs.get(&task.step.job)?;
                Some(counted_resources(job.step_spec(task.step.step)))
            })
            .fold(Resources::ZERO, |sum, resources| sum.plus(&resources))
    }
}

/// Returns the number of members by worker, in the order of the options.
pub(super) fn places(member_options: &[MemberOption]) -> Vec<GangPlacement> {
    let mut places: Vec<GangPlacement> = Vec::new();
    for member in member_options {
        let missing = u32::from(member.missing > 0);
        match places.iter_mut().find(|place| place.worker == member.worker) {
            Some(place) => {
                place.fits += 1;
                place.missing += missing;
            }
            None => {
                let worker = member.worker;
                places.push(GangPlacement { worker, fits: 1, missing });
            }
        }
    }
    places
}

/// Returns the largest ratio of `amount` to `member` in any resource, in
/// thousandths. Resources that a member does not use are ignored.
fn dominant_share_milli(amount: &Resources, member: &Resources) -> u64 {
    let ratio = |amount: u64, member: u64| {
        (amount * 1_000).checked_div(member).unwrap_or(0)
    };
    ratio(amount.cores_milli, member.cores_milli)
        .max(ratio(amount.memory_mb, member.memory_mb))
        .max(ratio(amount.accelerators, member.accelerators))
}
