//! The scheduling pass: places the tasks of waiting steps, most urgent first.

use std::sync::Arc;

use limpet_core::{Resources, TimeMs};

use super::{
    Engine, Moment, WaitCause, WaitCounts,
    rank::{Lateness, Rank},
    speeds::SpeedPreference,
    step_context::StepContext,
};
use crate::{
    key::{JobKey, StepKey},
    worker::{Worker, WorkerSlot},
};

/// The number of consecutive failed runs, of different jobs, after which a
/// worker is suspect.
pub(crate) const SUSPECT_FAILURES: u32 = 2;
/// How long a suspect worker gets no tasks before it gets one as a trial.
pub(super) const QUARANTINE_MS: u64 = 2_500;
/// The number of advice requests that may be queued in addition to those in
/// progress.
const MAX_QUEUED_REQUESTS: usize = 2;
/// How long a worker that refused a start order gets no tasks.
pub(super) const REFUSED_QUARANTINE_MS: u64 = 300;
/// The burst that a team may submit beyond its rate, in seconds of that rate.
pub(super) const TOKEN_BURST_S: f64 = 2.0;

/// The most tasks of a step that are said to fit somewhere, so that sums over
/// workers stay within their type: any number fits of tasks of which nothing
/// counts. A step never has as many open ones, as its progress has a place for
/// each in a row of the store.
const MAX_FITS: u32 = 1 << 16;

/// How often a pass may examine the workers for steps that wait, on average.
const PASS_LOOKS: u64 = 8;

impl Engine {
    /// Runs a scheduling pass: releases claims whose lease has expired, then
    /// places tasks of waiting steps, most urgent first. Without a
    /// configuration nothing is placed.
    ///
    /// The work of a pass is limited by [`PASS_LOOKS`]. Half of it goes to the
    /// most urgent steps, a quarter to steps with new tickets, which expire,
    /// and the rest to the others, those first that were left for longest.
    pub fn schedule(&mut self, now: Moment) {
        self.tick_workers(now);
        if !self.configured {
            return;
        }
        self.begin_due_occurrences(now);
        self.update_preemptible();
        self.update_lasting(now.steady);
        self.update_bands(now.steady);
        self.release_evacuated(now);
        self.move_evacuated(now);
        let mut order: Vec<(Rank, StepKey)> = self
            .waiting
            .iter()
            .filter_map(|key| Some((self.rank(*key, now)?, *key)))
            .collect();
        order.sort();
        self.count_free(now.steady);
        self.update_gang_demand(&order);
        self.wait_counts = WaitCounts::default();
        self.no_room.clear();
        self.visit_steps(&order, now);
        self.answered.retain(|key| self.waiting.contains(key));
        self.left_since.retain(|key, _| self.waiting.contains(key));
    }

    /// Visits the steps of `order` as far as [`PASS_LOOKS`] allows.
    fn visit_steps(&mut self, order: &[(Rank, StepKey)], now: Moment) {
        let looks = PASS_LOOKS * self.workers.len() as u64;
        let began = self.examined();
        let mut others = Vec::new();
        for step in order {
            let used = self.examined() - began;
            let has_turn = used < looks / 2
                || used < looks / 4 * 3 && self.answered.contains(&step.1);
            if has_turn {
                self.visit_step(*step, now);
            } else {
                others.push(*step);
            }
        }
        others.sort_by_key(|(_, key)| {
            self.left_since.get(key).copied().unwrap_or(now.steady)
        });
        let mut left = others.into_iter();
        while self.examined() - began < looks
            && let Some(step) = left.next()
        {
            self.visit_step(step, now);
        }
        for (rank, key) in left {
            self.left_since.entry(key).or_insert(now.steady);
            self.record_wait(key, Some(WaitCause::Turn), now.steady);
            self.wait_counts.add(rank.priority, WaitCause::Turn);
            self.record_lasting_cause(key, WaitCause::Turn);
        }
    }

    /// Places tasks of a step, and counts why others still wait.
    fn visit_step(&mut self, (rank, key): (Rank, StepKey), now: Moment) {
        self.count_examined(1);
        self.answered.remove(&key);
        self.left_since.remove(&key);
        let cause = self.place_step(key, rank, now);
        self.record_wait(key, cause, now.steady);
        if let Some(cause) = cause {
            self.wait_counts.add(rank.priority, cause);
            self.record_lasting_cause(key, cause);
        }
    }

    /// Returns whether a new advice request would be sent soon. A request that
    /// is queued for longer would be based on an outdated state.
    pub(super) fn has_advice_capacity(&self) -> bool {
        self.advice_requests.len()
            < self.advice_concurrency + MAX_QUEUED_REQUESTS
    }

    /// Begins the occurrences that are now due.
    fn begin_due_occurrences(&mut self, now: Moment) {
        let mut begun = Vec::new();
        while let Some((due, job)) = self.timed.first().copied() {
            if due > now.unix_ms {
                break;
            }
            self.timed.pop_first();
            if self.begin_occurrences(job, now.unix_ms) {
                begun.push(job);
            }
        }
        for job in begun {
            self.schedule_next(job);
        }
    }

    /// Begins the occurrences of a job that are due, as far as there is room
    /// for them. Returns whether there is for the next one.
    fn begin_occurrences(&mut self, key: JobKey, unix_ms: u64) -> bool {
        let Some(job) = self.jobs.get_mut(&key) else { return false };
        let record = Arc::clone(&job.record);
        let steps = &record.spec.steps;
        job.occurrences.drop_over();
        let mut room = job.occurrences.room(steps);
        let mut begun = Vec::new();
        while room > 0
            && job.occurrences.next_due_unix_ms().is_some_and(|d| d <= unix_ms)
        {
            begun.push(job.occurrences.begin(steps));
            room -= 1;
        }
        for occurrence in begun {
            self.enqueue_occurrence(key, occurrence);
        }
        room > 0
    }

    /// Notes when the next occurrence of a job is due.
    pub(super) fn schedule_next(&mut self, key: JobKey) {
        let next = self
            .jobs
            .get(&key)
            .filter(|job| !job.phase.has_ended())
            .and_then(|job| job.occurrences.next_due_unix_ms());
        if let Some(due_unix_ms) = next {
            self.timed.insert((due_unix_ms, key));
        }
    }

    /// Places tasks of a step. Returns why some of them still wait, or `None`
    /// if none does.
    fn place_step(
        &mut self,
        key: StepKey,
        rank: Rank,
        now: Moment,
    ) -> Option<WaitCause> {
        let mut ctx = self.step_context(key)?;
        let job = self.jobs.get(&key.job)?;
        let left_ms = job.critical_paths_ms[key.step as usize];
        ctx.is_on_time = rank.lateness == Lateness::OnTime;
        ctx.has_little_time = rank.has_little_time(left_ms, now.steady);
        ctx.speed = SpeedPreference::of(&ctx);
        let step = job.step(key.occurrence, key.step);
        let idle: Vec<u32> = step
            .tasks
            .indexed()
            .filter(|(_, task)| task.is_idle())
            .map(|(index, _)| index)
            .collect();
        if idle.is_empty() {
            self.waiting.remove(&key);
            return None;
        }
        if ctx.spec().gang && step.has_claims() {
            return Some(WaitCause::Breaking);
        }
        let is_held = |index: &u32| step.tasks[*index].held_until > now.steady;
        let (held, ready): (Vec<u32>, Vec<u32>) =
            idle.into_iter().partition(is_held);
        if ready.is_empty() || ctx.spec().gang && !held.is_empty() {
            return Some(WaitCause::Suspect);
        }
        if self.exceeds_all_workers(&ctx) {
            self.record_stranded(key, true);
            return Some(WaitCause::Room);
        }
        let (apart, shared) = self.split_apart(&ctx, ready);
        let cause = match shared.is_empty() {
            true => None,
            false => self.place_idle(&ctx, shared, rank, now),
        };
        if apart.is_empty() {
            return cause;
        }
        let of_apart = self.place_apart(ctx, apart, rank, now);
        cause.or(of_apart)
    }

    /// Places tasks that may crash their workers apart from other jobs: all
    /// members of a gang and all tasks that last, which have users, else one
    /// after another. Where no worker comes free in time, they start among
    /// others.
    fn place_apart(
        &mut self,
        mut ctx: StepContext,
        mut idle: Vec<u32>,
        rank: Rank,
        now: Moment,
    ) -> Option<WaitCause> {
        if !ctx.spec().gang && !ctx.spec().long_running {
            if self.has_trial(ctx.key.job, now.steady) {
                return Some(WaitCause::Suspect);
            }
            idle.truncate(1);
        }
        if self.gathered_ms(&ctx, now) >= Engine::apart_wait_ms(&ctx) {
            return self.place_idle(&ctx, idle, rank, now);
        }
        ctx.apart = true;
        let count = idle.len() as u32;
        if self.quota_left(&ctx) < count {
            return Some(WaitCause::Quota);
        }
        let left = self.place_tasks(&ctx, &idle, now);
        if left == 0 {
            self.cancel_reservations(ctx.key);
            return None;
        }
        let may_preempt = rank.may_preempt(now.steady);
        self.gather_room(&ctx, left, may_preempt, now);
        Some(WaitCause::Suspect)
    }

    /// Places idle tasks of a step. Returns why some of them still wait, or
    /// `None` if none does.
    fn place_idle(
        &mut self,
        ctx: &StepContext,
        mut idle: Vec<u32>,
        rank: Rank,
        now: Moment,
    ) -> Option<WaitCause> {
        let key = ctx.key;
        let count = idle.len() as u32;
        // A gang is placed only if all of its members can be.
        let is_short =
            |granted| granted == 0 || ctx.spec().gang && granted < count;
        let in_quota = self.quota_left(ctx).min(count);
        if is_short(in_quota) {
            return Some(WaitCause::Quota);
        }
        let yielded = self.yielded_cores_milli(ctx);
        let granted = in_quota.min(self.fits_outside_headroom(ctx, yielded));
        if is_short(granted) {
            return Some(WaitCause::Headroom);
        }
        let may_preempt = rank.may_preempt(now.steady);
        if self.is_known_to_fail(ctx, may_preempt) {
            return Some(WaitCause::Room);
        }
        idle.truncate(granted as usize);
        let left = self.place_tasks(ctx, &idle, now);
        if left == 0 {
            self.cancel_reservations(key);
            return match granted {
                granted if granted == count => None,
                granted if granted == in_quota => Some(WaitCause::Quota),
                _ => Some(WaitCause::Headroom),
            };
        }
        if ctx.spec().gang {
            self.gather_room(ctx, left, may_preempt, now);
            return Some(WaitCause::Gathering);
        }
        // Urgent steps request advice even if many requests are queued.
        let is_urgent = !rank.less_urgent && rank.lateness < Lateness::Excess;
        let may_ask = is_urgent || self.has_advice_capacity();
        if may_ask
            && self.request_advice_if_useful(ctx, left, may_preempt, now)
        {
            return Some(WaitCause::Advice);
        }
        let has_preempted =
            may_preempt && self.preempt_for_step(ctx, left, now);
        if left == granted && ctx.policy.is_none() {
            // Preemption leaves out workers with reservations of the step.
            let is_final = may_preempt
                && !has_preempted
                && !self.reserved_by.contains_key(&key);
            self.record_no_room(ctx, is_final);
        }
        Some(WaitCause::Room)
    }

    /// Returns the number of tasks of a step that fit into the open cores
    /// without using the headroom for the most urgent queues and the cores
    /// that it yields to others. Gangs and tasks that last may use both: batch
    /// work makes room for them again.
    fn fits_outside_headroom(
        &self,
        ctx: &StepContext,
        yielded_milli: i64,
    ) -> u32 {
        let spec = ctx.spec();
        let is_exempt = ctx.priority == 0 || spec.gang || spec.long_running;
        if is_exempt || ctx.counted.cores_milli == 0 {
            return u32::MAX;
        }
        let cores_milli = ctx.counted.cores_milli;
        self.room_of(ctx).fits_outside_headroom(cores_milli, yielded_milli)
    }

    /// Returns the number of tasks of a step that fit into its team's limit.
    fn quota_left(&self, ctx: &StepContext) -> u32 {
        let limit = self.team_limit(ctx.team());
        let running = self
            .teams
            .get(ctx.team())
            .map_or(Resources::ZERO, |team| team.running);
        count_fits(&limit.minus(&running), &ctx.spec().task)
    }

    /// Returns whether tasks of a step may run on a worker, leaving free
    /// resources and advice aside.
    pub(super) fn may_host(
        &self,
        ctx: &StepContext,
        worker: &Worker,
        now: TimeMs,
    ) -> bool {
        worker.is_usable(now)
            && worker.apart_job.is_none_or(|job| job == ctx.key.job)
            && Engine::meets_requirements(ctx, worker)
    }

    /// Returns whether a worker is of the service and has the label that a
    /// step requires.
    pub(super) fn meets_requirements(
        ctx: &StepContext,
        worker: &Worker,
    ) -> bool {
        worker.listing.service == ctx.service()
            && ctx
                .spec()
                .required_label
                .as_ref()
                .is_none_or(|label| worker.has_label(label))
    }

    /// Returns the number of further tasks of a step that fit into `room` on a
    /// worker.
    pub(super) fn fits_on(
        &self,
        ctx: &StepContext,
        slot: WorkerSlot,
        room: &Resources,
    ) -> u32 {
        let mut fits = count_fits(room, &ctx.counted);
        let lasts = ctx.spec().long_running && !ctx.spec().gang;
        if lasts && self.workers[slot as usize].is_suspect() {
            fits = fits.min(1);
        }
        let max_tasks = ctx.spec().max_per_worker;
        if max_tasks == 0 || fits == 0 {
            return fits;
        }
        let step =
            self.jobs[&ctx.key.job].step(ctx.key.occurrence, ctx.key.step);
        fits.min(max_tasks.saturating_sub(step.claimed_on(slot)))
    }
}

/// Returns the number of tasks that fit into `room`, up to [`MAX_FITS`].
fn count_fits(room: &Resources, task: &Resources) -> u32 {
    let per = |room: u64, task: u64| {
        room.checked_div(task).unwrap_or(u64::from(MAX_FITS))
    };
    per(room.cores_milli, task.cores_milli)
        .min(per(room.memory_mb, task.memory_mb))
        .min(per(room.accelerators, task.accelerators))
        .min(u64::from(MAX_FITS)) as u32
}
