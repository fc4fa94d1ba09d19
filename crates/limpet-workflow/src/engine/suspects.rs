//! Tasks that may crash their workers.
//!
//! A worker that crashes makes suspects of all tasks that ran there. A suspect
//! starts again where little else runs, and from the second loss on apart from
//! the work of other jobs, so that the next crash names it. Crashes that many
//! workers have in common are nobody's fault. `docs/RULES.md` names what each
//! rule guards against.

use limpet_core::{Resources, TimeMs};
use rustc_hash::FxHashMap;

use super::{
    Engine, Moment,
    common_cause::CommonCause,
    job::{Claim, ClaimPhase, Job, Task},
    lost_runs::{LifeEnd, LostRun},
    step_context::StepContext,
};
use crate::{
    effect::Effect,
    key::{JobKey, StepKey, TaskKey},
    progress::{CrashRecord, JobPhase},
    worker::{Worker, WorkerSlot},
};

/// The number of lost workers from which a task runs apart.
const APART_LOSSES: u32 = 2;
/// The number of crashes after which a job is given up if the latest run was
/// apart from other jobs, and [`MIN_CONFIRMED`] of the runs were confirmed.
const GIVE_UP_CRASHES: u32 = 3;
/// The fewest of them that make a job one to be given up.
const MIN_CONFIRMED: u32 = 2;
/// The number of crashes after which a job is given up wherever its runs were
/// and whether or not they were confirmed.
const MAX_CRASHES: u32 = 4;
/// The number of lost workers after which [`MIN_CONFIRMED`] crashes are
/// enough: those that fell silent before a takeover can't be told from cuts.
const MAX_LOSSES: u32 = 5;
/// The number of losses for which that excuses a task: jobs that crash their
/// workers may do so in step.
const MAX_EXCUSED: u32 = 1;
/// A run that lasts this long clears its task.
const CLEARED_AFTER_MS: u64 = 10_000;
/// It has to last this many times as long as the longest run that was lost.
const CLEARED_FACTOR: u64 = 3;
/// How long a task waits after a worker fell silent under it, once it has lost
/// several: a worker that has crashed is back by then.
const SILENT_LOSS_WAIT_MS: u64 = 5_000;
/// How long a suspect waits for a worker to itself.
const APART_WAIT_MS: u64 = 6_000;
/// How long a suspect that lasts, and has users, waits for it.
const LASTING_APART_WAIT_MS: u64 = 2_000;

impl Task {
    /// Returns whether a worker was lost under it, and its innocence isn't
    /// known.
    pub(super) fn is_suspect(&self) -> bool {
        self.crashes.lost > 0
    }

    /// Returns whether it has to run apart from other jobs.
    pub(super) fn runs_apart(&self) -> bool {
        self.crashes.lost >= APART_LOSSES
    }
}

impl Worker {
    /// Returns whether it hosts another job.
    pub(super) fn hosts_other(&self, job: JobKey) -> bool {
        self.claims.keys().any(|task| task.step.job != job)
    }
}

impl Engine {
    /// Returns the tasks under which workers were lost and that have neither
    /// ended nor been cleared.
    pub fn suspects(&self) -> impl Iterator<Item = (TaskKey, CrashRecord)> {
        self.suspects.iter().filter_map(|key| {
            let job = self.jobs.get(&key.step.job)?;
            Some((*key, job.get_task(*key)?.crashes))
        })
    }

    /// Returns whether the workers of a job crash wherever its tasks start:
    /// several have, and at least as many of its tasks were lost with them as
    /// are done or run elsewhere.
    fn crashes_everywhere(&self, job: &Job) -> bool {
        if job.crashed_lives < APART_LOSSES {
            return false;
        }
        let runs = |task: &Task| {
            task.claim.as_ref().is_some_and(|claim| {
                claim.phase == ClaimPhase::Running
                    && self.workers[claim.worker as usize].reachable
            })
        };
        let open = job.tasks().filter(|task| task.done || runs(task)).count();
        let sound = job.dropped_tasks() + open;
        let lost = job.tasks().filter(|task| task.is_suspect()).count();
        lost >= sound
    }

    /// Returns whether a task of a job runs of which the end is to tell
    /// whether the job crashes workers. A run that has lasted tells it.
    pub(super) fn has_trial(&self, job: JobKey, now: TimeMs) -> bool {
        let Some(job) = self.jobs.get(&job) else { return false };
        let is_everywhere = self.crashes_everywhere(job);
        let is_open = |claim: &Claim| {
            let lasted_ms = now.ms_since(claim.progress.started_at);
            !claim.progress.has_started() || lasted_ms < CLEARED_AFTER_MS
        };
        job.tasks().any(|task| {
            (is_everywhere || task.is_suspect())
                && task.claim.as_ref().is_some_and(is_open)
        })
    }

    /// Returns whether a worker hosts a suspect.
    pub(super) fn hosts_suspect(&self, worker: &Worker) -> bool {
        worker.claims.keys().any(|task| self.suspects.contains(task))
    }

    /// Returns whether a task of a step is a suspect.
    pub(super) fn has_suspect(&self, key: StepKey) -> bool {
        !self.suspects.is_empty()
            && self.jobs.get(&key.job).is_some_and(|job| {
                let tasks = &job.step(key.occurrence, key.step).tasks;
                tasks.iter().any(Task::is_suspect)
            })
    }

    /// Returns whether a task is a suspect.
    pub(super) fn is_suspect(&self, key: TaskKey) -> bool {
        self.suspects.contains(&key)
    }

    /// Counts the runs that were lost with a life of a worker against their
    /// tasks, and gives up the jobs of those that crash their workers.
    pub(super) fn count_losses(
        &mut self,
        slot: WorkerSlot,
        end: LifeEnd,
        runs: &mut [LostRun],
        now: Moment,
    ) {
        if end == LifeEnd::Left {
            return;
        }
        let mut jobs: Vec<JobKey> = Vec::new();
        let mut causes: FxHashMap<JobKey, CommonCause> = FxHashMap::default();
        for lost in runs.iter_mut() {
            let key = lost.task;
            let cause = *causes
                .entry(key.step.job)
                .or_insert_with_key(|job| self.common_cause(slot, *job));
            let was_suspect = self.is_suspect(key);
            let Some(job) = self.jobs.get_mut(&key.step.job) else { continue };
            if job.phase.has_ended() {
                continue;
            }
            let Some(task) = job.get_task_mut(key) else { continue };
            if task.done {
                continue;
            }
            let crashes = &mut task.crashes;
            let is_excused = match cause {
                CommonCause::None => false,
                CommonCause::Several => crashes.excused < MAX_EXCUSED,
                CommonCause::Group => true,
            };
            lost.excused = is_excused;
            if is_excused {
                crashes.excused += 1;
                if !was_suspect {
                    self.mark_dirty(key.step.job);
                    continue;
                }
            }
            crashes.lost += 1;
            crashes.longest_ms = crashes.longest_ms.max(lost.lasted_ms);
            if end == LifeEnd::Crashed && !is_excused {
                crashes.record_crash(lost.began);
            }
            if crashes.lost >= APART_LOSSES && crashes.lost > crashes.crashed {
                task.held_until = now.steady.plus_ms(SILENT_LOSS_WAIT_MS);
            }
            lost.crashes = task.crashes;
            self.suspects.insert(key);
            if !is_excused && !jobs.contains(&key.step.job) {
                jobs.push(key.step.job);
                job.crashed_lives += 1;
            }
            if end == LifeEnd::Silent {
                self.workers[slot as usize].silent_losses.push(*lost);
            }
            self.mark_dirty(key.step.job);
        }
        for lost in runs.iter() {
            self.give_up_if_named(slot, lost.task, now);
        }
    }

    /// Records that a worker that had fallen silent has crashed: its machine
    /// or its id has a new life. An excused loss does not become a crash: the
    /// cause that the workers had in common may have crashed them.
    pub(super) fn confirm_crash(&mut self, slot: WorkerSlot, now: Moment) {
        let worker = &mut self.workers[slot as usize];
        // Claims that it still has are lost with a crash.
        worker.refused = true;
        for lost in std::mem::take(&mut worker.silent_losses) {
            if lost.excused || !self.is_suspect(lost.task) {
                continue;
            }
            if let Some(task) = self.task_mut(lost.task) {
                task.crashes.record_crash(lost.began);
                self.mark_dirty(lost.task.step.job);
                self.give_up_if_named(slot, lost.task, now);
            }
        }
    }

    /// Takes back what was counted against the tasks of a worker that had
    /// fallen silent: it answers again, and so has not crashed.
    pub(super) fn retract_losses(&mut self, slot: WorkerSlot) {
        let losses =
            std::mem::take(&mut self.workers[slot as usize].silent_losses);
        for lost in losses {
            let Some(task) = self.task_mut(lost.task) else { continue };
            task.crashes.lost = task.crashes.lost.saturating_sub(1);
            if !task.is_suspect() {
                self.suspects.remove(&lost.task);
            }
            self.mark_dirty(lost.task.step.job);
        }
    }

    fn task_mut(&mut self, key: TaskKey) -> Option<&mut Task> {
        self.jobs.get_mut(&key.step.job)?.get_task_mut(key)
    }

    /// Gives a job up if the crashes under one of its tasks name that task.
    fn give_up_if_named(
        &mut self,
        slot: WorkerSlot,
        key: TaskKey,
        now: Moment,
    ) {
        let Some(job) = self.jobs.get(&key.step.job) else { return };
        let Some(task) = job.get_task(key) else { return };
        let crashes = task.crashes;
        let was_apart =
            self.workers[slot as usize].jobs_at_end == [key.step.job];
        let is_named = crashes.crashed >= MAX_CRASHES
            || crashes.lost >= MAX_LOSSES && crashes.crashed >= MIN_CONFIRMED
            || was_apart
                && crashes.crashed >= GIVE_UP_CRASHES
                && crashes.confirmed >= MIN_CONFIRMED;
        if is_named && !job.phase.has_ended() {
            self.effects.push(Effect::GiveUp { task: key, crashes });
            self.end_job(key.step.job, JobPhase::Failed, now);
        }
    }

    /// Clears a suspect whose run has lasted for long enough.
    pub(super) fn clear_if_lasting(&mut self, key: TaskKey, now: TimeMs) {
        if !self.is_suspect(key) {
            return;
        }
        let Some(task) = self.task_mut(key) else { return };
        let Some(claim) = &task.claim else { return };
        let lasted_ms = now.ms_since(claim.progress.started_at);
        let needed_ms =
            CLEARED_AFTER_MS.max(task.crashes.longest_ms * CLEARED_FACTOR);
        if !claim.progress.has_started() || lasted_ms < needed_ms {
            return;
        }
        let slot = claim.worker;
        task.crashes = CrashRecord::default();
        self.suspects.remove(&key);
        self.workers[slot as usize].apart_job = None;
        self.mark_dirty(key.step.job);
    }

    /// Forgets the suspects among the tasks of a job that has ended.
    pub(super) fn forget_suspects(&mut self, job: JobKey) {
        self.suspects.retain(|task| task.step.job != job);
    }

    /// Splits idle tasks of a step into those that have to run apart from
    /// other jobs and the others. The members of a gang stay together.
    pub(super) fn split_apart(
        &self,
        ctx: &StepContext,
        idle: Vec<u32>,
    ) -> (Vec<u32>, Vec<u32>) {
        if self.suspects.is_empty() {
            return (Vec::new(), idle);
        }
        let job = &self.jobs[&ctx.key.job];
        let step = job.step(ctx.key.occurrence, ctx.key.step);
        let runs_apart = |index: &u32| step.tasks[*index].runs_apart();
        let all = self.crashes_everywhere(job)
            || ctx.spec().gang && idle.iter().any(runs_apart);
        match all {
            true => (idle, Vec::new()),
            false => idle.into_iter().partition(runs_apart),
        }
    }

    /// Returns how long a suspect waits for a worker to itself.
    pub(super) fn apart_wait_ms(ctx: &StepContext) -> u64 {
        match ctx.spec().long_running {
            true => LASTING_APART_WAIT_MS,
            false => APART_WAIT_MS,
        }
    }

    /// Returns the resources that are free for a step on a worker.
    pub(super) fn room_on(
        &self,
        ctx: &StepContext,
        worker: &Worker,
    ) -> Resources {
        let is_shared = worker.hosts_other(ctx.key.job)
            || worker.strays != Resources::ZERO
            || worker.has_other_reservation(ctx.key);
        if ctx.apart && is_shared {
            return Resources::ZERO;
        }
        let room = worker.room_for(ctx.key, ctx.priority);
        room.minus(&self.urgent_headroom(ctx, worker))
    }

    /// Returns the resources that a step could use on a worker once all tasks
    /// that end soon or can be stopped have made room.
    pub(super) fn gatherable_on(
        &self,
        ctx: &StepContext,
        worker: &Worker,
    ) -> Resources {
        if !ctx.apart {
            return worker.gatherable_room(ctx.key);
        }
        if self.hosts_other_lasting(ctx, worker)
            || worker.has_other_reservation(ctx.key)
        {
            return Resources::ZERO;
        }
        worker.listing.capacity
    }

    /// Returns whether a worker hosts tasks that last of another job.
    pub(super) fn hosts_other_lasting(
        &self,
        ctx: &StepContext,
        worker: &Worker,
    ) -> bool {
        worker.lasting > 0
            && worker.claims.keys().any(|task| {
                let job = self.jobs.get(&task.step.job);
                task.step.job != ctx.key.job
                    && job.is_some_and(|job| {
                        job.step_spec(task.step.step).long_running
                    })
            })
    }
}
