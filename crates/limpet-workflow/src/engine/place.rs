//! Placement: chooses workers for the tasks of a step and claims them.

use limpet_core::{Resources, TimeMs};

use super::{
    Engine, Moment,
    job::{Claim, ClaimPhase, RunProgress},
    speeds::SpeedPreference,
    step_context::StepContext,
};
use crate::{
    key::{StepKey, TaskKey},
    tenure::Tenure,
    worker::WorkerSlot,
};

/// A worker on which tasks of a step fit.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    worker: WorkerSlot,
    /// The number of tasks that fit.
    fits: u32,
    /// The free resources.
    room: Resources,
    /// Whether the worker is still slow after a time without work.
    is_cold: bool,
    /// Whether the worker is outside the rack that holds the step's data.
    off_data_rack: bool,
    /// Whether the worker has resources reserved for another step.
    reserved: bool,
    /// The number of claims on the worker.
    claims: usize,
    /// Whether the worker hosts a task that may crash it.
    hosts_suspect: bool,
    /// The band of the worker's speed.
    speed_band: i32,
    /// Whether the worker hosts a task that slows those of the step or is
    /// slowed by them.
    interferes: bool,
}

impl Engine {
    /// Claims workers for as many of the idle tasks as fit; for a gang, for
    /// all of them or none. Returns the number of tasks that are left.
    pub(super) fn place_tasks(
        &mut self,
        ctx: &StepContext,
        idle: &[u32],
        now: Moment,
    ) -> u32 {
        let mut candidates = self.candidates(ctx, now.steady);
        if ctx.spec().gang {
            let total: u32 =
                candidates.iter().map(|candidate| candidate.fits).sum();
            if total < idle.len() as u32 {
                return idle.len() as u32;
            }
            keep_fastest(&mut candidates, idle.len() as u32);
        }
        let gang_run = ctx.spec().gang.then(|| self.next_gang_run(ctx.key));
        let avoids_itself = self
            .images_to_avoid(ctx)
            .is_some_and(|images| images.contains(ctx.spec().image.as_str()));
        let mut left = 0;
        for index in idle {
            match self.choose(ctx, *index, &candidates, true) {
                Some(position) => {
                    self.count_if_kept_apart(
                        ctx,
                        *index,
                        &candidates,
                        position,
                    );
                    let candidate = &mut candidates[position];
                    candidate.fits -= 1;
                    candidate.room = candidate.room.minus(&ctx.counted);
                    candidate.claims += 1;
                    candidate.interferes |= avoids_itself;
                    candidate.hosts_suspect |=
                        self.is_suspect(ctx.key.task(*index));
                    let worker = candidate.worker;
                    self.claim(ctx, *index, worker, gang_run, now);
                }
                None => left += 1,
            }
        }
        left
    }

    /// Returns the number of the gang's next run, which all members share.
    fn next_gang_run(&self, key: StepKey) -> u32 {
        let step = self.jobs[&key.job].step(key.occurrence, key.step);
        step.tasks.iter().map(|task| task.run).max().unwrap_or(0) + 1
    }

    /// Returns the workers for which a step has a valid ticket; all workers if
    /// it needs none.
    pub(super) fn ticketed_workers(
        &self,
        ctx: &StepContext,
        now: TimeMs,
    ) -> Vec<WorkerSlot> {
        if ctx.policy.is_none() {
            self.count_examined(self.workers.len());
            return self.worker_slots().collect();
        }
        let step =
            self.jobs[&ctx.key.job].step(ctx.key.occurrence, ctx.key.step);
        self.count_examined(step.tickets.len());
        step.tickets
            .iter()
            .filter(|(_, ticket)| ticket.is_valid(now))
            .map(|(slot, _)| *slot)
            .collect()
    }

    /// Returns the workers on which tasks of a step may start now.
    fn candidates(&self, ctx: &StepContext, now: TimeMs) -> Vec<Candidate> {
        let has_suspect = self.has_suspect(ctx.key);
        let avoided = self.images_to_avoid(ctx);
        let mut found = Vec::new();
        for slot in self.ticketed_workers(ctx, now) {
            let worker = &self.workers[slot as usize];
            if !self.may_host(ctx, worker, now) {
                continue;
            }
            let room = self.room_on(ctx, worker);
            let fits = self.fits_on(ctx, slot, &room);
            if fits > 0 {
                let off_data_rack = ctx
                    .spec()
                    .data_rack
                    .as_ref()
                    .is_some_and(|rack| !worker.has_label(rack));
                let reserved = worker.has_other_reservation(ctx.key);
                found.push(Candidate {
                    worker: slot,
                    fits,
                    room,
                    is_cold: worker.is_cold,
                    off_data_rack,
                    reserved,
                    claims: worker.claims.len(),
                    hosts_suspect: has_suspect && self.hosts_suspect(worker),
                    speed_band: worker.speed_band,
                    interferes: avoided
                        .is_some_and(|images| self.hosts_any(images, worker)),
                });
            }
        }
        found
    }

    /// Chooses the candidate for a task. Prefers, in this order, workers on
    /// which the task has not failed, warm workers, workers in its data rack,
    /// workers without other reservations, workers of the preferred speed, if
    /// `keep_apart` is set workers without interfering tasks, and the one with
    /// the fewest free cores. A gang has its candidates chosen by
    /// speed before, and takes the slowest of them, which keeps the others
    /// free. A
    /// task that may crash its worker keeps off others that may, and starts
    /// where the fewest others run.
    fn choose(
        &self,
        ctx: &StepContext,
        index: u32,
        candidates: &[Candidate],
        keep_apart: bool,
    ) -> Option<usize> {
        let step =
            self.jobs[&ctx.key.job].step(ctx.key.occurrence, ctx.key.step);
        let failed_on = &step.tasks[index].failed_on;
        let is_suspect = self.is_suspect(ctx.key.task(index));
        let speed = match ctx.spec().gang {
            true => SpeedPreference::Slow,
            false => ctx.speed,
        };
        candidates
            .iter()
            .enumerate()
            .filter(|(_, candidate)| candidate.fits > 0)
            .min_by_key(|(_, candidate)| {
                (
                    failed_on.contains(&candidate.worker),
                    is_suspect && candidate.hosts_suspect,
                    if is_suspect { candidate.claims } else { 0 },
                    candidate.is_cold,
                    candidate.off_data_rack,
                    candidate.reserved,
                    speed.key(candidate.speed_band),
                    keep_apart && candidate.interferes,
                    candidate.room.cores_milli,
                    candidate.worker,
                )
            })
            .map(|(position, _)| position)
    }

    /// Counts the choice of a candidate if the preference for workers without
    /// interfering tasks has made it.
    fn count_if_kept_apart(
        &mut self,
        ctx: &StepContext,
        index: u32,
        candidates: &[Candidate],
        chosen: usize,
    ) {
        if candidates.iter().any(|candidate| candidate.interferes)
            && self.choose(ctx, index, candidates, false) != Some(chosen)
        {
            self.interference.starts_kept_apart += 1;
        }
    }

    /// Claims a worker for a task. The start order is sent once the claim is
    /// durable.
    fn claim(
        &mut self,
        ctx: &StepContext,
        index: u32,
        slot: WorkerSlot,
        gang_run: Option<u32>,
        now: Moment,
    ) {
        let key = ctx.key.task(index);
        let incarnation = self.workers[slot as usize].listing.incarnation;
        let Some(job) = self.jobs.get_mut(&key.step.job) else { return };
        let version = job.version + 1;
        let step = job.step_mut(key.step.occurrence, key.step.step);
        step.gathering_since = None;
        step.keeping_since = None;
        step.free_room_request = None;
        let ticket = step.tickets.get(&slot).cloned();
        if ctx.spec().gang {
            unify_checkpoints(step);
        }
        let task = &mut step.tasks[index];
        task.run = gang_run.unwrap_or(task.run + 1);
        let run = task.run;
        task.claim = Some(Claim {
            worker: slot,
            incarnation,
            run,
            phase: ClaimPhase::Committing,
            version,
            ticket,
            since: now.steady,
            life_ended: false,
            unanswered: 0,
            progress: RunProgress {
                resumed: !task.checkpoint.is_empty(),
                ..RunProgress::default()
            },
        });
        job.uncommitted_claims.push(key);
        job.claimed = version;
        self.add_claim(ctx, key, slot, run);
        let worker = &mut self.workers[slot as usize];
        if worker.is_suspect() && ctx.spec().long_running {
            // It doesn't tell whether the worker is sound.
            worker.quarantined_until =
                now.steady.plus_ms(super::schedule::QUARANTINE_MS);
        }
        self.mark_dirty(key.step.job);
    }

    /// Accounts for the resources of a new claim: on its worker, in the step's
    /// reservation there, for its team and in the free cores of this pass.
    fn add_claim(
        &mut self,
        ctx: &StepContext,
        key: TaskKey,
        slot: WorkerSlot,
        run: u32,
    ) {
        let service_room = self.service_rooms.get_mut(ctx.service());
        service_room.spare_milli -= ctx.counted.cores_milli as i64;
        service_room.free_milli -= ctx.counted.cores_milli as i64;
        service_room.open_milli -= ctx.counted.cores_milli as i64;
        let worker = &mut self.workers[slot as usize];
        worker.add_claim(key, run, &ctx.counted, Tenure::of(ctx.spec()));
        if ctx.apart {
            worker.apart_job = Some(key.step.job);
        }
        for reservation in &mut worker.reservations {
            if reservation.step == ctx.key {
                let before = reservation.room.cores_milli;
                reservation.room = reservation.room.minus(&ctx.counted);
                let reserved =
                    service_room.reserved_milli.entry(reservation.priority);
                *reserved.or_default() -=
                    before - reservation.room.cores_milli;
            }
        }
        let team = self.teams.entry(ctx.team().to_owned()).or_default();
        team.running = team.running.plus(&ctx.spec().task);
    }
}

/// Removes the slowest candidates that a gang of `need` members can do
/// without: it runs at the pace of its slowest worker.
fn keep_fastest(candidates: &mut Vec<Candidate>, need: u32) {
    candidates.sort_by_key(|candidate| {
        (std::cmp::Reverse(candidate.speed_band), candidate.worker)
    });
    let mut fits = 0;
    let slowest = candidates.iter().find(|candidate| {
        fits += candidate.fits;
        fits >= need
    });
    let Some(band) = slowest.map(|candidate| candidate.speed_band) else {
        return;
    };
    candidates.retain(|candidate| candidate.speed_band >= band);
}

/// Gives all members of a gang the same checkpoint; that of any member is
/// valid for all.
fn unify_checkpoints(step: &mut super::job::Step) {
    let Some(checkpoint) = step
        .tasks
        .iter()
        .map(|task| &task.checkpoint)
        .find(|checkpoint| !checkpoint.is_empty())
        .cloned()
    else {
        return;
    };
    for task in step.tasks.iter_mut() {
        task.checkpoint.clone_from(&checkpoint);
    }
}
