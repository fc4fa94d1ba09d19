//! Configuration changes, and jobs that are submitted, restored after a
//! takeover, cancelled, or removed after their retention.

use std::sync::Arc;

use limpet_core::TimeMs;

use super::{
    Activity, Engine, Moment,
    job::{Claim, ClaimPhase, Job, RunProgress, Task},
    occurrences::Occurrences,
};
use crate::{
    config::{CellConfig, QueuePolicy},
    effect::StopReason,
    key::{JobKey, StepKey, TaskKey},
    progress::{JobPhase, JobProgress, TaskCrashes},
    spec::JobRecord,
    tenure::Tenure,
    worker::{Worker, WorkerListing, WorkerSlot},
};

impl Engine {
    /// Applies a configuration, unless a newer one is already set.
    pub fn set_config(&mut self, config: Arc<CellConfig>) {
        if config.revision < self.config.revision {
            return;
        }
        self.policies = config
            .queues
            .iter()
            .map(|queue| (queue.name.clone(), Arc::new(queue.policy.clone())))
            .collect();
        for job in self.jobs.values_mut() {
            // Jobs of a removed queue keep its latest policy.
            if let Some(policy) = self.policies.get(&job.record.queue) {
                job.policy = Arc::clone(policy);
            }
        }
        self.config = config;
        self.configured = true;
        // The priorities of claimed tasks may have changed.
        self.changed_claims.extend(self.worker_slots());
    }

    /// Adds an accepted job. Returns whether it is new; a known job is left as
    /// it is.
    pub fn add_job(
        &mut self,
        key: JobKey,
        record: JobRecord,
        now: Moment,
    ) -> bool {
        if self.jobs.contains_key(&key) {
            return false;
        }
        let policy = self.policy_of(&record);
        let team = record.team.clone();
        let mut job = Job::new(key, record, policy, now.steady);
        job.excess = !self.take_token(&team, now.steady);
        let handover_ms =
            now.unix_ms.saturating_sub(job.record.accepted_unix_ms);
        job.timeline.add(Activity::Handover, handover_ms);
        self.jobs.insert(key, job);
        self.enqueue_job(key);
        true
    }

    /// Returns whether a job exceeded its team's submission rate when it was
    /// added.
    pub fn is_excess(&self, key: JobKey) -> bool {
        self.jobs.get(&key).is_some_and(|job| job.excess)
    }

    /// Adds a job of an earlier owner with its stored progress, if any.
    ///
    /// Runs that may be in progress are claimed until their workers report on
    /// them or lose their lease.
    pub fn restore_job(
        &mut self,
        key: JobKey,
        record: JobRecord,
        progress: Option<JobProgress>,
        now: Moment,
    ) {
        if self.jobs.contains_key(&key) {
            return;
        }
        let policy = self.policy_of(&record);
        let mut job = Job::new(key, record, policy, now.steady);
        // The latency objective counts from the acceptance, not from the
        // takeover.
        let age_ms = now.unix_ms.saturating_sub(job.record.accepted_unix_ms);
        job.received_at =
            TimeMs::from_ms(now.steady.as_ms().saturating_sub(age_ms));
        // What an earlier owner has done for the job isn't known in detail.
        job.timeline.add(Activity::Handover, age_ms);
        if let Some(progress) = progress {
            self.restore_progress(&mut job, progress, now.steady);
        }
        let ended = job.phase.has_ended();
        self.jobs.insert(key, job);
        if !ended {
            self.enqueue_job(key);
        }
    }

    /// Applies the stored progress of a job. A job that has ended is retained
    /// for a full retention period from `now`.
    fn restore_progress(
        &mut self,
        job: &mut Job,
        progress: JobProgress,
        now: TimeMs,
    ) {
        job.phase = progress.phase;
        job.durable_phase = progress.phase;
        if progress.phase.has_ended() {
            job.occurrences = Occurrences::of_ended();
            job.ended_at = now;
            return;
        }
        let record = Arc::clone(&job.record);
        job.occurrences.restart_at(progress.next_occurrence);
        for (occurrence, steps) in progress.occurrences {
            job.occurrences.restore(&record.spec.steps, occurrence);
            for (step, saved) in (0..).zip(steps) {
                let key = StepKey { job: job.key, occurrence, step };
                self.restore_step(job, key, saved, now);
            }
        }
        if record.spec.repeat.is_none() && job.occurrences.next() == 0 {
            job.occurrences.begin(&record.spec.steps);
        }
        for crashes in progress.crashes {
            self.restore_crashes(job, &crashes);
        }
    }

    /// Applies what is stored of the workers that were lost under a task.
    fn restore_crashes(&mut self, job: &mut Job, crashes: &TaskCrashes) {
        let step = StepKey {
            job: job.key,
            occurrence: crashes.occurrence,
            step: crashes.step,
        };
        let key = step.task(crashes.index);
        let Some(task) = job.get_task_mut(key) else { return };
        task.crashes = crashes.record;
        if task.is_suspect() {
            self.suspects.insert(key);
        }
        if let Some(claim) = &task.claim
            && task.runs_apart()
        {
            let worker = &mut self.workers[claim.worker as usize];
            worker.apart_job = Some(job.key);
        }
    }

    /// Applies the stored progress of a step, and accounts for the resources
    /// of its claims.
    fn restore_step(
        &mut self,
        job: &mut Job,
        key: StepKey,
        saved: crate::progress::StepProgress,
        now: TimeMs,
    ) {
        let resources = job.step_spec(key.step).task;
        let counted = super::ends::counted_resources(job.step_spec(key.step));
        let tenure = Tenure::of(job.step_spec(key.step));
        let team = job.record.team.clone();
        let step = job.step_mut(key.occurrence, key.step);
        step.gang_failures = saved.gang_failures;
        step.tasks.skip_done(saved.done);
        step.tasks.restore(saved.tasks.len() as u32);
        for ((index, task), saved) in step.tasks.indexed_mut().zip(saved.tasks)
        {
            task.done = saved.done;
            task.run = saved.run;
            task.failures = saved.failures;
            task.checkpoint = saved.checkpoint;
            if let Some(claim) = saved.claim {
                let slot = self.slot_or_placeholder(&claim.worker, now);
                task.claim = Some(Claim {
                    worker: slot,
                    incarnation: claim.incarnation,
                    run: saved.run,
                    phase: ClaimPhase::Inherited,
                    version: 0,
                    ticket: None,
                    since: now,
                    life_ended: false,
                    // The earlier owner's start order may be unanswered.
                    unanswered: 1,
                    progress: RunProgress {
                        resumed: !task.checkpoint.is_empty(),
                        ..RunProgress::default()
                    },
                });
                let worker = &mut self.workers[slot as usize];
                worker.add_claim(key.task(index), saved.run, &counted, tenure);
                let team = self.teams.entry(team.clone()).or_default();
                team.running = team.running.plus(&resources);
            }
        }
        step.remaining = step.tasks.remaining();
    }

    /// Returns the slot of the worker with this id. An unknown worker is added
    /// as one that the platform's list does not contain.
    fn slot_or_placeholder(&mut self, id: &str, now: TimeMs) -> WorkerSlot {
        if let Some(slot) = self.slots.get(id) {
            return *slot;
        }
        let listing =
            WorkerListing { id: id.to_owned(), ..WorkerListing::default() };
        let lease_expires_at = self.inherited_expiry(id, now);
        let mut worker = Worker::new(listing, lease_expires_at);
        worker.listed = false;
        self.push_worker(worker)
    }

    /// Cancels a job. Returns false if it is unknown or has already ended.
    pub fn cancel_job(&mut self, key: JobKey, now: Moment) -> bool {
        let Some(job) = self.jobs.get(&key) else { return false };
        if job.phase.has_ended() {
            return false;
        }
        self.end_job(key, JobPhase::Cancelled, now);
        true
    }

    /// Ends a job, and stops the runs that it still has.
    pub(super) fn end_job(
        &mut self,
        key: JobKey,
        phase: JobPhase,
        now: Moment,
    ) {
        let Some(job) = self.jobs.get_mut(&key) else { return };
        job.phase = phase;
        job.ended_at = now.steady;
        let tasks = claimed_tasks(job);
        self.dequeue_steps(key);
        self.drop_advice_requests(key);
        self.forget_suspects(key);
        self.stop_tasks(&tasks, StopReason::JobEnded, now);
        self.mark_dirty(key);
    }

    /// Removes all steps of a job from the sets of waiting steps.
    fn dequeue_steps(&mut self, key: JobKey) {
        let Some(job) = self.jobs.get(&key) else { return };
        for occurrence in job.occurrences.iter() {
            for step in 0..occurrence.steps.len() as u32 {
                let occurrence = occurrence.number;
                self.waiting.remove(&StepKey { job: key, occurrence, step });
            }
        }
        if let Some(due_unix_ms) = job.occurrences.next_due_unix_ms() {
            self.timed.remove(&(due_unix_ms, key));
        }
    }

    /// Queues all ready steps of a job, and its next occurrence.
    pub(super) fn enqueue_job(&mut self, key: JobKey) {
        let Some(job) = self.jobs.get(&key) else { return };
        let begun: Vec<u32> =
            job.occurrences.iter().map(|o| o.number).collect();
        for occurrence in begun {
            self.enqueue_occurrence(key, occurrence);
        }
        self.schedule_next(key);
    }

    /// Opens tasks of an occurrence as far as the bound allows, and queues its
    /// ready steps.
    pub(super) fn enqueue_occurrence(&mut self, key: JobKey, occurrence: u32) {
        let Some(job) = self.jobs.get_mut(&key) else { return };
        job.open_tasks(occurrence);
        for step in 0..job.record.spec.steps.len() as u32 {
            self.enqueue_step(StepKey { job: key, occurrence, step });
        }
    }

    /// Queues a step if it is ready and has open tasks to place.
    pub(super) fn enqueue_step(&mut self, key: StepKey) {
        let Some(job) = self.jobs.get(&key.job) else { return };
        if job.phase.has_ended() || !job.is_ready(key.occurrence, key.step) {
            return;
        }
        let step = job.step(key.occurrence, key.step);
        if step.tasks.iter().any(Task::is_idle) {
            self.waiting.insert(key);
        }
    }

    /// Returns the configured policy of a job's queue, or the one stored with
    /// the job if the queue is not configured.
    fn policy_of(&self, record: &JobRecord) -> Arc<QueuePolicy> {
        match self.policies.get(&record.queue) {
            Some(policy) => Arc::clone(policy),
            None => Arc::new(record.policy.clone()),
        }
    }

    /// Takes a token from a team's bucket. Returns false if the team has
    /// exceeded its submission rate.
    fn take_token(&mut self, team: &str, now: TimeMs) -> bool {
        let Some(weight) = self.config.team(team).map(|team| team.weight)
        else {
            return true;
        };
        let rate = weight.max(1.0);
        let team = self.teams.entry(team.to_owned()).or_default();
        if team.refilled_at == TimeMs::ZERO {
            team.tokens = rate * super::schedule::TOKEN_BURST_S;
        }
        let passed_s = now.ms_since(team.refilled_at) as f64 / 1_000.0;
        team.tokens = (team.tokens + passed_s * rate)
            .min(rate * super::schedule::TOKEN_BURST_S);
        team.refilled_at = now;
        if team.tokens < 1.0 {
            return false;
        }
        team.tokens -= 1.0;
        true
    }

    /// Returns the ended jobs whose retention period is over. They stay known
    /// until [`Engine::remove_job`].
    pub fn expired(&self, now: TimeMs) -> Vec<JobKey> {
        let retention_ms = self.options.status_retention_ms;
        self.jobs
            .values()
            .filter(|job| job.durable_phase.has_ended())
            .filter(|job| now.ms_since(job.ended_at) > retention_ms)
            .filter(|job| claimed_tasks(job).is_empty())
            .map(|job| job.key)
            .collect()
    }

    /// Removes a job that has ended durably and has no claims. Returns whether
    /// it is unknown now.
    pub fn remove_job(&mut self, key: JobKey) -> bool {
        let Some(job) = self.jobs.get(&key) else { return true };
        if !job.durable_phase.has_ended() || !claimed_tasks(job).is_empty() {
            return false;
        }
        self.jobs.remove(&key);
        true
    }
}

/// Returns the tasks of a job that have a claim.
pub(super) fn claimed_tasks(job: &Job) -> Vec<TaskKey> {
    let mut tasks = Vec::new();
    for occurrence in job.occurrences.iter() {
        for (step, state) in (0..).zip(&occurrence.steps) {
            let occurrence = occurrence.number;
            let key = StepKey { job: job.key, occurrence, step };
            let claimed = state.tasks.indexed();
            let claimed = claimed.filter(|(_, task)| task.claim.is_some());
            tasks.extend(claimed.map(|(index, _)| key.task(index)));
        }
    }
    tasks
}
