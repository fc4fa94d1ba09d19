//! Moves of tasks that last out of evacuated data centres. They never end by
//! themselves, so they are stopped there once other workers have room.

use std::collections::BTreeSet;

use limpet_core::TimeMs;
use rustc_hash::{FxHashMap, FxHashSet};

use super::{
    Engine, Moment,
    advice::AdviceCandidate,
    job::{ClaimPhase, Task},
    step_context::StepContext,
};
use crate::{
    effect::StopReason,
    key::{StepKey, TaskKey},
    worker::{Reservation, WorkerSlot},
};

/// How long the resources that a task moves to stay reserved: until it has
/// been stopped, its end is reported and it is placed.
const MOVE_RESERVATION_MS: u64 = 1_200;
/// A task is moved only if a ticket for its next worker is valid for this
/// much longer.
const MOVE_TICKET_MS: u64 = 600;

/// The time between two looks for tasks to move.
const MOVE_PERIOD_MS: u64 = 50;
/// How often a look may examine the workers, on average, so that many steps
/// to move leave time for the scheduling pass.
const MOVE_LOOKS: u64 = 4;

/// The moves of tasks out of evacuated data centres.
#[derive(Debug, Default)]
pub(super) struct Moves {
    /// The number of tasks that were moved.
    pub(super) total: u64,
    /// Why tasks of each step that lasts stay.
    pub(super) stays: FxHashMap<StepKey, Stay>,
    /// When tasks were last looked for to move.
    looked_at: TimeMs,
    /// The latest step that was looked at, if others were left out.
    left_after: Option<(u32, StepKey)>,
}

/// Why tasks of a step that lasts stay in an evacuated data centre.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Stay {
    /// Other workers have no room, or the team is over its limit.
    Room,
    /// Advice about other workers is needed first.
    Advice,
    /// Another task of the step has to run again first.
    Turn,
    /// The gang is larger than the number of tasks that may be away.
    MaxAway,
}

impl Engine {
    /// Moves tasks that last out of the evacuated data centres: one of a step
    /// at a time, or a whole gang, and only if other workers have room. Steps
    /// of more urgent queues come first.
    pub(super) fn move_evacuated(&mut self, now: Moment) {
        let looked_ms = now.steady.ms_since(self.evacuation.moves.looked_at);
        if self.evacuation.data_centres.is_empty() {
            self.evacuation.moves.stays.clear();
            return;
        }
        if looked_ms < MOVE_PERIOD_MS {
            return;
        }
        self.evacuation.moves.looked_at = now.steady;
        let steps = self.evacuated_lasting_steps();
        let present: FxHashSet<StepKey> =
            steps.iter().map(|(_, step)| *step).collect();
        self.evacuation.moves.stays.retain(|key, _| present.contains(key));
        let from = match self.evacuation.moves.left_after.take() {
            Some(last) => steps.partition_point(|step| *step <= last),
            None => 0,
        };
        let looks = MOVE_LOOKS * self.workers.len() as u64;
        let began = self.examined();
        for step in steps[from..].iter().chain(&steps[..from]) {
            match self.move_step(step.1, now) {
                Some(stay) => self.evacuation.moves.stays.insert(step.1, stay),
                None => self.evacuation.moves.stays.remove(&step.1),
            };
            if self.examined() - began >= looks {
                self.evacuation.moves.left_after = Some(*step);
                break;
            }
        }
    }

    /// Returns the steps that last and have claims in evacuated data centres,
    /// with the priority of their queues, in this order.
    fn evacuated_lasting_steps(&self) -> Vec<(u32, StepKey)> {
        let mut steps = BTreeSet::new();
        for worker in self.workers.iter().filter(|worker| worker.evacuated) {
            self.count_examined(worker.claims.len());
            for task in worker.claims.keys() {
                let Some(job) = self.jobs.get(&task.step.job) else {
                    continue;
                };
                if job.step_spec(task.step.step).long_running
                    && !job.phase.has_ended()
                {
                    steps.insert((job.policy.priority, task.step));
                }
            }
        }
        steps.into_iter().collect()
    }

    /// Moves a task of a step, or the whole gang. Returns why tasks stay, or
    /// `None` if one was moved.
    fn move_step(&mut self, key: StepKey, now: Moment) -> Option<Stay> {
        let mut ctx = self.step_context(key)?;
        let job = self.jobs.get(&key.job)?;
        let step = job.step(key.occurrence, key.step);
        let is_away = |task: &Task| !task.done && !self.is_in_place(task);
        // A task that waits needs the room elsewhere more than a move does.
        if step.tasks.iter().any(is_away) {
            return Some(Stay::Turn);
        }
        let is_evacuated = |task: &Task| {
            let claim = task.claim.as_ref();
            claim.is_some_and(|claim| self.is_evacuated(claim.worker))
        };
        let first = step
            .tasks
            .indexed()
            .find(|(_, task)| !task.done && is_evacuated(task));
        let (first, _) = first?;
        let moved: Vec<u32> = match ctx.spec().gang {
            true => step.tasks.indexed().map(|(index, _)| index).collect(),
            false => vec![first],
        };
        let max_away = ctx.spec().max_away as usize;
        if max_away > 0 && moved.len() > max_away {
            return Some(Stay::MaxAway);
        }
        ctx.apart = step.tasks[first].runs_apart();
        if !self.is_team_in_limit(&ctx) {
            return Some(Stay::Room);
        }
        let need = moved.len() as u32;
        let targets = match self.move_targets(&ctx, need, now) {
            Ok(targets) => targets,
            Err(stay) => return Some(stay),
        };
        for (slot, count) in targets {
            let reservation = Reservation {
                step: key,
                priority: ctx.priority,
                room: ctx.counted.times(u64::from(count)),
                until: now.steady.plus_ms(MOVE_RESERVATION_MS),
            };
            self.add_reservation(slot, reservation);
        }
        self.evacuation.moves.total += moved.len() as u64;
        let moved: Vec<TaskKey> =
            moved.into_iter().map(|index| key.task(index)).collect();
        self.stop_tasks(&moved, StopReason::Evacuated, now);
        None
    }

    /// Returns whether a task runs on a worker that answers.
    fn is_in_place(&self, task: &Task) -> bool {
        task.claim.as_ref().is_some_and(|claim| {
            claim.phase == ClaimPhase::Running
                && self.workers[claim.worker as usize].reachable
        })
    }

    /// Returns whether the running tasks of a step's team are within its
    /// limit, so that a task that is stopped may start again.
    fn is_team_in_limit(&self, ctx: &StepContext) -> bool {
        let limit = self.team_limit(ctx.team());
        self.teams
            .get(ctx.team())
            .is_none_or(|team| team.running.fits_in(&limit))
    }

    /// Returns the workers on which `need` tasks of a step could start now,
    /// with the number of tasks. Requests advice if that is all that they
    /// lack.
    fn move_targets(
        &mut self,
        ctx: &StepContext,
        need: u32,
        now: Moment,
    ) -> Result<Vec<(WorkerSlot, u32)>, Stay> {
        let job = &self.jobs[&ctx.key.job];
        let step = job.step(ctx.key.occurrence, ctx.key.step);
        let soon = now.steady.plus_ms(MOVE_TICKET_MS);
        let (mut ready, mut unasked) = (Vec::new(), Vec::new());
        self.count_examined(self.workers.len());
        for (slot, worker) in self.workers.iter().enumerate() {
            let slot = slot as WorkerSlot;
            let verdict = step.verdicts.get(&slot).copied();
            let is_denied = ctx.policy.is_some() && verdict == Some(false);
            if is_denied || !self.may_host(ctx, worker, now.steady) {
                continue;
            }
            let room = self.room_on(ctx, worker);
            let fits = self.fits_on(ctx, slot, &room);
            if fits == 0 {
                continue;
            }
            if ctx.policy.is_none() || step.has_ticket(slot, soon) {
                ready.push((worker.is_cold, room.cores_milli, slot, fits));
            } else {
                unasked.push(AdviceCandidate {
                    worker: slot,
                    fits,
                    fits_now: fits,
                    allowed: verdict == Some(true),
                    reserved: worker.has_other_reservation(ctx.key),
                });
            }
        }
        ready.sort_unstable();
        let mut left = need;
        let mut targets = Vec::new();
        for (_, _, slot, fits) in ready {
            let count = fits.min(left);
            if count > 0 {
                targets.push((slot, count));
            }
            left -= count;
        }
        if left == 0 {
            return Ok(targets);
        }
        let is_requested = step.advice_request.is_some();
        let may_ask =
            now.steady >= step.advice_retry_at && self.has_advice_capacity();
        if unasked.iter().map(|candidate| candidate.fits).sum::<u32>() < left {
            return Err(Stay::Room);
        }
        if let Some(policy) = ctx.policy
            && !is_requested
            && may_ask
        {
            self.request_advice(ctx, policy, unasked, left);
        }
        Err(Stay::Advice)
    }
}
