//! The engine's state of jobs: occurrences, steps, tasks and claims.

use std::sync::Arc;

use limpet_core::TimeMs;
use rustc_hash::FxHashMap;

use super::{
    WaitCause,
    occurrences::Occurrences,
    speeds::TimedRun,
    tasks::{MAX_OPEN_TASKS, Tasks},
    timeline::{RerunReason, Timeline},
};
use crate::{
    config::QueuePolicy,
    effect::AdviceRequestId,
    key::{JobKey, StepKey, TaskKey},
    progress::{
        ClaimProgress, CrashRecord, JobPhase, JobProgress, StepProgress,
        TaskCrashes, TaskProgress,
    },
    spec::{JobRecord, StepSpec},
    worker::WorkerSlot,
};

/// The engine's state of a job.
#[derive(Clone, Debug)]
pub(super) struct Job {
    pub(super) key: JobKey,
    pub(super) record: Arc<JobRecord>,
    /// The latest policy of its queue.
    pub(super) policy: Arc<QueuePolicy>,
    pub(super) phase: JobPhase,
    /// The phase to show to clients, which is final only once it is durable.
    pub(super) durable_phase: JobPhase,
    pub(super) occurrences: Occurrences,
    /// Incremented with each change that has to be committed.
    pub(super) version: u64,
    /// The latest version that is durable.
    pub(super) committed: u64,
    /// The latest version with a new claim.
    pub(super) claimed: u64,
    /// The latest version that was taken to be committed.
    pub(super) taken: u64,
    /// Whether the job exceeded its team's submission rate.
    pub(super) excess: bool,
    /// The estimated critical path from the advice request of each step to the
    /// end of the job.
    pub(super) critical_paths_ms: Vec<u64>,
    /// When the job was accepted, from which its latency objective counts.
    pub(super) received_at: TimeMs,
    /// When the job ended; zero before.
    pub(super) ended_at: TimeMs,
    /// Whether a failed run was counted against a worker. A job counts against
    /// one worker only.
    pub(super) failure_counted: bool,
    /// The lives of workers that have crashed under its tasks since one of
    /// them was done.
    pub(super) crashed_lives: u32,
    /// Tasks whose start orders wait for the commit of their claims.
    pub(super) uncommitted_claims: Vec<TaskKey>,
    /// Workers with ended runs to acknowledge after the commit.
    pub(super) workers_with_ends: Vec<WorkerSlot>,
    /// Where its time went.
    pub(super) timeline: Timeline,
}

/// The state of a step of an occurrence.
#[derive(Clone, Debug, Default)]
pub(super) struct Step {
    pub(super) tasks: Tasks,
    /// The number of tasks that are not done.
    pub(super) remaining: u32,
    /// The number of failed runs of the gang.
    pub(super) gang_failures: u32,
    /// The latest run of the gang that was counted as failed.
    pub(super) gang_failed_run: u32,
    /// The latest ticket for each worker that advice allows.
    pub(super) tickets: FxHashMap<WorkerSlot, StepTicket>,
    /// Whether advice allows each worker that an answered request named.
    pub(super) verdicts: FxHashMap<WorkerSlot, bool>,
    /// The advice request in progress, if any.
    pub(super) advice_request: Option<AdviceRequestId>,
    /// The latest request of a gang about workers with free room for members
    /// that found none, since its latest placement.
    pub(super) free_room_request: Option<AdviceRequestId>,
    /// No advice is requested before this time.
    pub(super) advice_retry_at: TimeMs,
    /// Since when the gang has been reserving resources.
    pub(super) gathering_since: Option<TimeMs>,
    /// Since when room has been kept for the gang, since its latest placement.
    pub(super) keeping_since: Option<TimeMs>,
    /// Whether the gang was found to be unable to be complete, whichever other
    /// tasks end.
    pub(super) stranded: bool,
    /// Why its idle tasks wait.
    pub(super) wait_cause: WaitCause,
}

/// A ticket with which a worker runs tasks of a step.
#[derive(Clone, Debug)]
pub(super) struct StepTicket {
    pub(super) ticket: String,
    pub(super) valid_until: TimeMs,
}

/// The state of a task.
#[derive(Clone, Debug, Default)]
pub(super) struct Task {
    /// Whether a run succeeded.
    pub(super) done: bool,
    /// The number of the latest run; 0 before the first.
    pub(super) run: u32,
    /// The number of failed runs.
    pub(super) failures: u32,
    /// The checkpoint to resume from; empty if there is none.
    pub(super) checkpoint: String,
    pub(super) claim: Option<Claim>,
    /// The workers on which runs failed.
    pub(super) failed_on: Vec<WorkerSlot>,
    /// How often it was preempted.
    pub(super) preemptions: u32,
    /// How often it was moved away from a slow worker.
    pub(super) moves: u32,
    /// The workers that were lost under it.
    pub(super) crashes: CrashRecord,
    /// Its first run, once that is done, for the speed of its worker.
    pub(super) timed_run: Option<TimedRun>,
    /// It is not placed before this time.
    pub(super) held_until: TimeMs,
    /// Why its next run follows an earlier one.
    pub(super) rerun_reason: RerunReason,
}

/// A run that may be in progress on a worker.
#[derive(Clone, Debug)]
pub(super) struct Claim {
    pub(super) worker: WorkerSlot,
    /// The incarnation of the worker when it was claimed.
    pub(super) incarnation: u64,
    pub(super) run: u32,
    pub(super) phase: ClaimPhase,
    /// The job's version that contains this claim.
    pub(super) version: u64,
    pub(super) ticket: Option<StepTicket>,
    /// When it entered `phase`.
    pub(super) since: TimeMs,
    /// Whether the life of the worker ended while the run may have been in
    /// progress.
    pub(super) life_ended: bool,
    /// Start orders without a reply.
    pub(super) unanswered: u32,
    pub(super) progress: RunProgress,
}

/// The progress of a run, as reported by its worker.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RunProgress {
    /// When the worker confirmed the run.
    pub(super) started_at: TimeMs,
    /// The report from which the rate is measured: its time and the percentage
    /// done.
    pub(super) base: Option<(TimeMs, f64)>,
    /// Percent per millisecond between the latest two base reports.
    pub(super) rate: Option<f64>,
    /// The completed fraction of the work, in percent.
    pub(super) percent: f64,
    /// Whether the run resumed from a checkpoint.
    pub(super) resumed: bool,
    /// The target of a serving task divided by its latest tail latency.
    pub(super) latency_pace: Option<f64>,
    /// When that was recorded; zero before.
    pub(super) latency_at: TimeMs,
}

/// What is known about the run of a claim.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum ClaimPhase {
    /// The claim is not durable yet; no start order was sent.
    Committing,
    /// The claim is of an earlier owner; whether its run started is unknown.
    Inherited,
    /// A start order was sent.
    Starting,
    /// The worker has confirmed the run.
    Running,
    /// A stop order was sent.
    Stopping,
    /// The worker has confirmed the stop; the end may still be reported.
    Stopped,
}

impl RunProgress {
    /// Returns whether the worker has confirmed the run.
    pub(super) fn has_started(&self) -> bool {
        self.started_at != TimeMs::ZERO
    }
}

impl Job {
    /// Returns the state of a job of which no task has started.
    pub(super) fn new(
        key: JobKey,
        mut record: JobRecord,
        policy: Arc<QueuePolicy>,
        now: TimeMs,
    ) -> Job {
        record.spec.clamp_numbers();
        let occurrences = Occurrences::new(&record.spec);
        let critical_paths_ms = critical_paths_ms(&record.spec.steps, &policy);
        Job {
            key,
            record: Arc::new(record),
            policy,
            critical_paths_ms,
            phase: JobPhase::Queued,
            durable_phase: JobPhase::Queued,
            occurrences,
            version: 0,
            committed: 0,
            claimed: 0,
            taken: 0,
            excess: false,
            received_at: now,
            ended_at: TimeMs::ZERO,
            failure_counted: false,
            crashed_lives: 0,
            uncommitted_claims: Vec::new(),
            workers_with_ends: Vec::new(),
            timeline: Timeline::new(now),
        }
    }

    /// Returns the latency objective, counted from the acceptance.
    pub(super) fn objective_ms(&self) -> u64 {
        let critical_path_ms =
            self.critical_paths_ms.iter().max().copied().unwrap_or(0);
        let stretched_ms =
            (critical_path_ms as f64 * self.policy.stretch) as u64;
        stretched_ms.saturating_add(self.policy.objective_ms)
    }

    pub(super) fn step_spec(&self, step: u32) -> &StepSpec {
        &self.record.spec.steps[step as usize]
    }

    /// Returns a step of an occurrence that has begun and is not over.
    pub(super) fn get_step(&self, key: StepKey) -> Option<&Step> {
        self.occurrences.get(key.occurrence)?.steps.get(key.step as usize)
    }

    /// Returns a step of an occurrence that has begun and is not over.
    ///
    /// # Panics
    ///
    /// Panics if the occurrence has not begun or is over.
    pub(super) fn step(&self, occurrence: u32, step: u32) -> &Step {
        let occurrence = self.occurrences.get(occurrence);
        &occurrence.expect("the occurrence has begun").steps[step as usize]
    }

    /// Like [`Job::step`].
    pub(super) fn step_mut(
        &mut self,
        occurrence: u32,
        step: u32,
    ) -> &mut Step {
        let occurrence = self.occurrences.get_mut(occurrence);
        let occurrence = occurrence.expect("the occurrence has begun");
        &mut occurrence.steps[step as usize]
    }

    pub(super) fn get_task(&self, key: TaskKey) -> Option<&Task> {
        self.get_step(key.step)?.tasks.get(key.index)
    }

    pub(super) fn get_task_mut(&mut self, key: TaskKey) -> Option<&mut Task> {
        self.occurrences
            .get_mut(key.step.occurrence)?
            .steps
            .get_mut(key.step.step as usize)?
            .tasks
            .get_mut(key.index)
    }

    /// Returns the open tasks of all occurrences.
    pub(super) fn tasks(&self) -> impl Iterator<Item = &Task> {
        self.occurrences.tasks()
    }

    /// Returns the number of tasks that were dropped as done from occurrences
    /// that are not over.
    pub(super) fn dropped_tasks(&self) -> usize {
        let steps = self.occurrences.iter().flat_map(|o| &o.steps);
        steps.map(|step| step.tasks.dropped() as usize).sum()
    }

    /// Returns whether all tasks of an occurrence fit in the bound on open
    /// tasks, so that they are open from the start.
    pub(super) fn is_small(&self) -> bool {
        let steps = &self.record.spec.steps;
        steps.iter().map(|step| u64::from(step.count)).sum::<u64>()
            <= u64::from(MAX_OPEN_TASKS)
    }

    /// Opens the tasks of an occurrence as far as the bound allows: all of
    /// them in a small job, else those of steps whose turn has come.
    pub(super) fn open_tasks(&mut self, occurrence: u32) {
        let is_small = self.is_small();
        for step in 0..self.record.spec.steps.len() as u32 {
            if self.occurrences.get(occurrence).is_none() {
                return;
            }
            let is_whole = self.step_spec(step).is_whole();
            if !is_small && !self.is_ready(occurrence, step) {
                continue;
            }
            let left = match is_small {
                true => MAX_OPEN_TASKS,
                false => self.occurrences.open_left(),
            };
            let tasks = &mut self.step_mut(occurrence, step).tasks;
            if !is_small {
                tasks.drop_done();
            }
            match is_whole {
                true => tasks.open_whole(),
                false => tasks.open(left),
            }
        }
    }

    /// Returns whether all steps that `step` depends on are done.
    pub(super) fn is_ready(&self, occurrence: u32, step: u32) -> bool {
        let Some(occurrence) = self.occurrences.get(occurrence) else {
            return false;
        };
        let steps = &occurrence.steps;
        self.step_spec(step)
            .after
            .iter()
            .all(|earlier| steps[*earlier as usize].remaining == 0)
    }

    /// Returns whether all tasks of all occurrences are done.
    pub(super) fn is_done(&self) -> bool {
        self.occurrences.are_done()
    }

    /// Returns the progress to store. `workers` returns the id of a worker.
    pub(super) fn progress(
        &self,
        workers: &dyn Fn(WorkerSlot) -> String,
    ) -> JobProgress {
        if self.phase.has_ended() {
            return JobProgress::ended(self.phase);
        }
        let occurrences = self
            .occurrences
            .iter()
            .filter(|occurrence| !occurrence.is_done())
            .map(|occurrence| {
                let steps = occurrence.steps.iter();
                let steps = steps.map(|step| step.progress(workers));
                (occurrence.number, steps.collect())
            })
            .collect();
        JobProgress {
            phase: self.phase,
            next_occurrence: self.occurrences.next(),
            occurrences,
            crashes: self.task_crashes(),
        }
    }

    /// Returns the tasks under which workers were lost.
    fn task_crashes(&self) -> Vec<TaskCrashes> {
        let mut crashes = Vec::new();
        for occurrence in self.occurrences.iter() {
            for (step, state) in occurrence.steps.iter().enumerate() {
                for (index, task) in state.tasks.indexed() {
                    if !task.done && task.crashes != CrashRecord::default() {
                        crashes.push(TaskCrashes {
                            occurrence: occurrence.number,
                            step: step as u32,
                            index,
                            record: task.crashes,
                        });
                    }
                }
            }
        }
        crashes
    }
}

/// Returns the estimated critical path from the advice request of each step to
/// the end of the job.
fn critical_paths_ms(steps: &[StepSpec], policy: &QueuePolicy) -> Vec<u64> {
    let advice_ms = policy.advice.map_or(0, |advice| advice.usual_ms() as u64);
    let step_ms = |step: &StepSpec| step.estimate_ms.saturating_add(advice_ms);
    let mut chains: Vec<u64> = steps.iter().map(step_ms).collect();
    for (number, step) in steps.iter().enumerate().rev() {
        for earlier in &step.after {
            let earlier = *earlier as usize;
            let through =
                step_ms(&steps[earlier]).saturating_add(chains[number]);
            chains[earlier] = chains[earlier].max(through);
        }
    }
    chains
}

impl Step {
    fn progress(
        &self,
        workers: &dyn Fn(WorkerSlot) -> String,
    ) -> StepProgress {
        let (done, tasks) = match self.remaining {
            0 => (u32::MAX, Vec::new()),
            _ => {
                let open = self.tasks.iter();
                let open = open.map(|task| task.progress(workers));
                (self.tasks.dropped(), open.collect())
            }
        };
        StepProgress { gang_failures: self.gang_failures, done, tasks }
    }

    /// Returns the number of tasks that have a claim on a worker.
    pub(super) fn claimed_on(&self, worker: WorkerSlot) -> u32 {
        let here = |task: &&Task| {
            task.claim.as_ref().is_some_and(|claim| claim.worker == worker)
        };
        self.tasks.iter().filter(here).count() as u32
    }

    /// Returns whether the step has a ticket for a worker that is valid at
    /// `now`.
    pub(super) fn has_ticket(&self, worker: WorkerSlot, now: TimeMs) -> bool {
        self.tickets.get(&worker).is_some_and(|ticket| ticket.is_valid(now))
    }

    pub(super) fn has_claims(&self) -> bool {
        self.tasks.iter().any(|task| task.claim.is_some())
    }
}

impl Task {
    /// Returns whether the task has to be placed.
    pub(super) fn is_idle(&self) -> bool {
        !self.done && self.claim.is_none()
    }

    fn progress(
        &self,
        workers: &dyn Fn(WorkerSlot) -> String,
    ) -> TaskProgress {
        TaskProgress {
            done: self.done,
            run: self.run,
            failures: self.failures,
            checkpoint: self.checkpoint.clone(),
            claim: self.claim.as_ref().map(|claim| ClaimProgress {
                worker: workers(claim.worker),
                incarnation: claim.incarnation,
            }),
        }
    }
}
