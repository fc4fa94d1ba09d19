//! The ends of runs, and the release of claims.

use std::collections::BTreeSet;

use super::{Engine, Moment, job::ClaimPhase, timeline::RerunReason};
use crate::{
    effect::{Effect, StopOrder, StopReason},
    key::{StepKey, TaskKey},
    progress::JobPhase,
    tenure::Tenure,
    worker::{EndKind, RunEnd, UncommittedEnd, WorkerSlot},
};

/// The steps of which a report has listed ends, until their gangs are stopped
/// and their idle tasks queued.
#[derive(Debug, Default)]
pub(super) struct EndedSteps {
    steps: BTreeSet<StepKey>,
    broken_gangs: BTreeSet<StepKey>,
}

impl Engine {
    /// Applies the end of a run, and records that it may be acknowledged once
    /// the resulting progress of the job is committed. The end of a run
    /// without a claim changes nothing and needs no commit, unless the claim
    /// was released for the loss of the worker and the run was done. The caller
    /// passes the steps in `ended` to [`Engine::settle_steps`].
    pub(super) fn handle_end(
        &mut self,
        slot: WorkerSlot,
        end: &RunEnd,
        ended: &mut EndedSteps,
        now: Moment,
    ) {
        let is_claimed = self.workers[slot as usize].claims.get(&end.task)
            == Some(&end.run);
        let is_applied = if is_claimed {
            self.apply_end(slot, end, ended, now);
            true
        } else {
            let incarnation = self.workers[slot as usize].listing.incarnation;
            self.apply_released_end(slot, incarnation, end, now)
        };
        let job = end.task.step.job;
        let version = match self.jobs.get_mut(&job) {
            Some(job) if is_applied => {
                job.workers_with_ends.push(slot);
                job.version
            }
            _ => 0,
        };
        let worker = &mut self.workers[slot as usize];
        worker.last_handled = end.number;
        worker.uncommitted.push_back(UncommittedEnd {
            number: end.number,
            job,
            version,
        });
    }

    /// Allows the ended runs of a worker to be acknowledged, in order, up to
    /// the first whose effects are not durable.
    pub(super) fn release_ends(&mut self, slot: WorkerSlot) {
        let worker = &mut self.workers[slot as usize];
        while let Some(end) = worker.uncommitted.front() {
            let durable = self
                .jobs
                .get(&end.job)
                .is_none_or(|job| job.committed >= end.version);
            if !durable {
                // The commit that led here may have covered an earlier
                // version of this job: check again after its next commit.
                if let Some(job) = self.jobs.get_mut(&end.job)
                    && !job.workers_with_ends.contains(&slot)
                {
                    job.workers_with_ends.push(slot);
                }
                break;
            }
            worker.last_committed = end.number;
            worker.uncommitted.pop_front();
        }
    }

    /// Stops the gangs of which members have ended, and queues tasks that are
    /// not done to be placed again. Each step is walked once a report: thousands
    /// of its runs may have ended.
    pub(super) fn settle_steps(&mut self, ended: EndedSteps, now: Moment) {
        for gang in ended.broken_gangs {
            self.stop_gang(gang, now);
        }
        let mut jobs = BTreeSet::new();
        for step in ended.steps {
            self.enqueue_step(step);
            jobs.insert(step.job);
        }
        for job in jobs {
            self.advance_timeline(job, now.steady);
        }
    }

    /// Applies the end of a claimed run to its task, its gang and its job.
    fn apply_end(
        &mut self,
        slot: WorkerSlot,
        end: &RunEnd,
        ended: &mut EndedSteps,
        now: Moment,
    ) {
        let key = end.task;
        self.record_result(slot, key, end.kind, now);
        if end.kind == EndKind::Done {
            self.time_run(key, now);
        }
        self.release_claim(key);
        let Some(job) = self.jobs.get_mut(&key.step.job) else { return };
        let has_ended = job.phase.has_ended();
        let spec = job.step_spec(key.step.step);
        let (gang, long_running) = (spec.gang, spec.long_running);
        if let Some(task) = job.get_task_mut(key)
            && !end.checkpoint.is_empty()
        {
            task.checkpoint.clone_from(&end.checkpoint);
        }
        if has_ended {
            return;
        }
        if end.kind == EndKind::Failed {
            self.record_rerun(key, RerunReason::Failed);
        }
        match end.kind {
            EndKind::Done if long_running => {}
            EndKind::Done => {
                self.finish_tasks(key, gang, now);
                self.learn_speeds(key.step);
            }
            EndKind::Failed => {
                self.count_failure(slot, key, gang, end.run, now)
            }
            _ => {}
        }
        if gang && end.kind != EndKind::Done {
            ended.broken_gangs.insert(key.step);
        }
        ended.steps.insert(key.step);
        self.mark_dirty(key.step.job);
    }

    /// Marks a task, or all tasks of its gang, as done. If that completes the
    /// step, completes the job or queues the steps that are now ready.
    pub(super) fn finish_tasks(
        &mut self,
        key: TaskKey,
        gang: bool,
        now: Moment,
    ) {
        let Some(job) = self.jobs.get_mut(&key.step.job) else { return };
        job.crashed_lives = 0;
        let step = job.step_mut(key.step.occurrence, key.step.step);
        if gang {
            for task in step.tasks.iter_mut() {
                task.done = true;
            }
            step.remaining = 0;
            self.suspects.retain(|suspect| suspect.step != key.step);
        } else if !step.tasks[key.index].done {
            step.tasks[key.index].done = true;
            step.remaining -= 1;
            self.suspects.remove(&key);
        }
        if step.remaining > 0 {
            if !job.is_small() {
                self.enqueue_occurrence(key.step.job, key.step.occurrence);
            }
            return;
        }
        step.tickets.clear();
        step.verdicts.clear();
        self.waiting.remove(&key.step);
        if job.is_done() {
            job.phase = JobPhase::Completed;
            job.ended_at = now.steady;
            self.drop_advice_requests(key.step.job);
            return;
        }
        self.enqueue_occurrence(key.step.job, key.step.occurrence);
        self.schedule_next(key.step.job);
    }

    /// Counts a failed run, once for all members of a gang. Fails the job at
    /// the queue's `max_attempts`, which does not apply to long-running tasks.
    fn count_failure(
        &mut self,
        slot: WorkerSlot,
        key: TaskKey,
        gang: bool,
        run: u32,
        now: Moment,
    ) {
        let Some(job) = self.jobs.get_mut(&key.step.job) else { return };
        let attempts = job.policy.max_attempts;
        let long_running = job.step_spec(key.step.step).long_running;
        let step = job.step_mut(key.step.occurrence, key.step.step);
        let task = &mut step.tasks[key.index];
        task.failed_on.push(slot);
        task.failures += 1;
        let failures = if gang {
            if step.gang_failed_run < run {
                step.gang_failed_run = run;
                step.gang_failures += 1;
            }
            step.gang_failures
        } else {
            task.failures
        };
        if failures >= attempts && !long_running {
            self.end_job(key.step.job, JobPhase::Failed, now);
        }
    }

    /// Stops all runs of a gang after one of its members has ended.
    pub(super) fn stop_gang(&mut self, key: StepKey, now: Moment) {
        let Some(job) = self.jobs.get(&key.job) else { return };
        let step = job.step(key.occurrence, key.step);
        self.count_examined(step.tasks.held() as usize);
        let members: Vec<TaskKey> = step
            .tasks
            .indexed()
            .filter(|(_, task)| task.claim.is_some())
            .map(|(index, _)| key.task(index))
            .collect();
        let mut is_released = false;
        let mut is_stopped = false;
        for member in members {
            match self.claim_phase(member) {
                Some(ClaimPhase::Committing) => {
                    self.release_claim(member);
                    self.record_rerun(member, RerunReason::Lost);
                    is_released = true;
                }
                _ => {
                    is_stopped |=
                        self.order_stop(member, StopReason::GangBroken, now);
                }
            }
        }
        if is_released {
            self.mark_dirty(key.job);
            self.enqueue_step(key);
        }
        if is_stopped {
            self.advance_timeline(key.job, now.steady);
        }
    }

    /// Removes a claim and frees its resources.
    pub(super) fn release_claim(&mut self, key: TaskKey) {
        let Some(job) = self.jobs.get_mut(&key.step.job) else { return };
        let resources = counted_resources(job.step_spec(key.step.step));
        let Some(task) = job.get_task_mut(key) else { return };
        let Some(claim) = task.claim.take() else { return };
        let worker = &mut self.workers[claim.worker as usize];
        let tenure = Tenure::of(job.step_spec(key.step.step));
        worker.remove_claim(key, &resources, tenure);
        self.changed_claims.insert(claim.worker);
        let service = &self.workers[claim.worker as usize].listing.service;
        let room = self.service_rooms.get_mut(service);
        room.turnover.record_freed(resources.cores_milli);
        let running = job.step_spec(key.step.step).task;
        if let Some(team) = self.teams.get_mut(&job.record.team) {
            team.running = team.running.minus(&running);
        }
        self.record_departure(key, claim.worker);
    }

    /// Releases a claim whose run is certainly not in progress, and queues the
    /// task to be placed again. The rest of its gang is stopped.
    pub(super) fn requeue_task(&mut self, key: TaskKey, now: Moment) {
        self.requeue_tasks(&[key], now);
    }

    /// Like [`Engine::requeue_task`], for several tasks. Each gang is stopped
    /// once, as one of them may have thousands of members among the tasks.
    pub(super) fn requeue_tasks(&mut self, tasks: &[TaskKey], now: Moment) {
        let mut steps = BTreeSet::new();
        for key in tasks {
            self.release_claim(*key);
            let Some(job) = self.jobs.get(&key.step.job) else { continue };
            if job.phase.has_ended() {
                continue;
            }
            self.record_rerun(*key, RerunReason::Lost);
            steps.insert(key.step);
        }
        for step in steps {
            self.mark_dirty(step.job);
            let job = &self.jobs[&step.job];
            if job.step_spec(step.step).gang {
                self.stop_gang(step, now);
            }
            self.enqueue_step(step);
        }
    }

    /// Orders the run of a task to stop, or releases its claim right away if
    /// no start order was sent.
    pub(super) fn stop_task(
        &mut self,
        key: TaskKey,
        reason: StopReason,
        now: Moment,
    ) {
        self.stop_tasks(&[key], reason, now);
    }

    /// Like [`Engine::stop_task`], for several tasks.
    pub(super) fn stop_tasks(
        &mut self,
        tasks: &[TaskKey],
        reason: StopReason,
        now: Moment,
    ) {
        let mut unsent = Vec::new();
        let mut stopped = BTreeSet::new();
        for key in tasks {
            if self.claim_phase(*key) == Some(ClaimPhase::Committing) {
                unsent.push(*key);
            } else if self.order_stop(*key, reason, now) {
                stopped.insert(key.step.job);
            }
        }
        self.requeue_tasks(&unsent, now);
        for job in stopped {
            self.advance_timeline(job, now.steady);
        }
    }

    /// Orders the run of a claim to stop, unless that was ordered before.
    /// Returns whether it is ordered now. The caller brings the times of the
    /// job up to date.
    fn order_stop(
        &mut self,
        key: TaskKey,
        reason: StopReason,
        now: Moment,
    ) -> bool {
        let Some(claim) = self.claim_mut(key) else { return false };
        match claim.phase {
            ClaimPhase::Committing
            | ClaimPhase::Stopping
            | ClaimPhase::Stopped => false,
            ClaimPhase::Inherited
            | ClaimPhase::Starting
            | ClaimPhase::Running => {
                claim.phase = ClaimPhase::Stopping;
                claim.since = now.steady;
                let order = StopOrder {
                    worker: claim.worker,
                    task: key,
                    run: claim.run,
                };
                self.record_rerun(key, RerunReason::of_stop(reason));
                self.changed_claims.insert(order.worker);
                self.effects.push(Effect::Stop { order, reason });
                true
            }
        }
    }
}

/// Returns the resources of a task that count against a worker's capacity.
pub(super) fn counted_resources(
    spec: &crate::spec::StepSpec,
) -> limpet_core::Resources {
    let mut resources = spec.task;
    if spec.fills {
        resources.cores_milli = 0;
    }
    resources
}
