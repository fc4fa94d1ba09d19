use std::sync::Arc;

use limpet_core::TimeMs;
use rustc_hash::FxHashMap;

use crate::{
    config::QueuePolicy,
    effect::AskId,
    key::{JobKey, TaskKey},
    progress::{
        ClaimProgress, JobPhase, JobProgress, StepProgress, TaskProgress,
    },
    spec::{JobRecord, StepSpec},
    worker::WorkerSlot,
};

/// A job as its owner holds it.
#[derive(Clone, Debug)]
pub(super) struct Job {
    pub(super) key: JobKey,
    pub(super) record: Arc<JobRecord>,
    /// The newest policy of its queue.
    pub(super) policy: Arc<QueuePolicy>,
    pub(super) phase: JobPhase,
    /// The phase that is durable and may be shown.
    pub(super) shown: JobPhase,
    pub(super) occurrences: Vec<Occurrence>,
    /// Counts the changes that have to be committed.
    pub(super) version: u64,
    pub(super) committed: u64,
    /// Whether the team had used up its rate when the job came.
    pub(super) excess: bool,
    /// The longest estimated chain of work from each step to the job's end.
    pub(super) chains_ms: Vec<u64>,
    pub(super) received_at: TimeMs,
    pub(super) ended_at: TimeMs,
    /// Whether a failed run of it was counted against a worker.
    pub(super) blamed: bool,
    /// Tasks whose claims wait for the commit.
    pub(super) awaiting: Vec<TaskKey>,
    /// Workers that hold ends which wait for the commit.
    pub(super) ends_at: Vec<WorkerSlot>,
}

#[derive(Clone, Debug)]
pub(super) struct Occurrence {
    pub(super) due_unix_ms: u64,
    pub(super) steps: Vec<Step>,
}

#[derive(Clone, Debug, Default)]
pub(super) struct Step {
    pub(super) tasks: Vec<Task>,
    /// Tasks that are not done.
    pub(super) remaining: u32,
    pub(super) gang_failures: u32,
    /// The last run of the gang that counted as failed.
    pub(super) gang_failed_run: u32,
    pub(super) tickets: FxHashMap<WorkerSlot, StepTicket>,
    /// Whether the policy allows a worker, as far as it was asked.
    pub(super) verdicts: FxHashMap<WorkerSlot, bool>,
    pub(super) ask: Option<AskId>,
    pub(super) ask_after: TimeMs,
    /// Since when the gang has gathered room.
    pub(super) gathering_since: Option<TimeMs>,
}

#[derive(Clone, Debug)]
pub(super) struct StepTicket {
    pub(super) ticket: String,
    pub(super) valid_until: TimeMs,
}

#[derive(Clone, Debug, Default)]
pub(super) struct Task {
    pub(super) done: bool,
    pub(super) run: u32,
    pub(super) failures: u32,
    pub(super) checkpoint: String,
    pub(super) claim: Option<Claim>,
    pub(super) failed_on: Vec<WorkerSlot>,
    pub(super) preemptions: u32,
    /// How often it was moved off a slow worker.
    pub(super) moves: u32,
}

/// A run that may be on a worker.
#[derive(Clone, Debug)]
pub(super) struct Claim {
    pub(super) worker: WorkerSlot,
    pub(super) incarnation: u64,
    pub(super) run: u32,
    pub(super) phase: ClaimPhase,
    /// The job's version that holds this claim.
    pub(super) version: u64,
    pub(super) ticket: Option<StepTicket>,
    /// When it entered `phase`.
    pub(super) since: TimeMs,
    /// Starts that were sent and not answered.
    pub(super) unanswered: u32,
    pub(super) progress: RunProgress,
}

/// How far a run has come, by the worker's reports.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RunProgress {
    /// When the worker confirmed it.
    pub(super) started_at: TimeMs,
    /// The report that the pace is measured from: when, and how much was
    /// done.
    pub(super) base: Option<(TimeMs, f64)>,
    /// Percent a millisecond between the last two bases.
    pub(super) rate: Option<f64>,
    /// How much is done, in percent.
    pub(super) percent: f64,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum ClaimPhase {
    /// The claim is not durable; nothing was sent.
    Committing,
    /// An earlier owner's claim; what became of it isn't known.
    Inherited,
    /// The start was sent.
    Starting,
    /// The worker has confirmed the run.
    Running,
    /// A stop was sent.
    Stopping,
    /// The stop was confirmed; the end may still be listed.
    Stopped,
}

impl Job {
    pub(super) fn new(
        key: JobKey,
        record: Arc<JobRecord>,
        policy: Arc<QueuePolicy>,
        now: TimeMs,
    ) -> Job {
        let occurrences = (0..record.spec.occurrences())
            .map(|number| Occurrence::new(&record, number))
            .collect();
        let chains_ms = chains_ms(&record.spec.steps);
        Job {
            key,
            record,
            policy,
            chains_ms,
            phase: JobPhase::Queued,
            shown: JobPhase::Queued,
            occurrences,
            version: 0,
            committed: 0,
            excess: false,
            received_at: now,
            ended_at: TimeMs::ZERO,
            blamed: false,
            awaiting: Vec::new(),
            ends_at: Vec::new(),
        }
    }

    pub(super) fn step_spec(&self, step: u32) -> &StepSpec {
        &self.record.spec.steps[step as usize]
    }

    pub(super) fn step(&self, occurrence: u32, step: u32) -> &Step {
        &self.occurrences[occurrence as usize].steps[step as usize]
    }

    pub(super) fn step_mut(
        &mut self,
        occurrence: u32,
        step: u32,
    ) -> &mut Step {
        &mut self.occurrences[occurrence as usize].steps[step as usize]
    }

    pub(super) fn get_task(&self, key: TaskKey) -> Option<&Task> {
        self.occurrences
            .get(key.step.occurrence as usize)?
            .steps
            .get(key.step.step as usize)?
            .tasks
            .get(key.index as usize)
    }

    pub(super) fn get_task_mut(&mut self, key: TaskKey) -> Option<&mut Task> {
        self.occurrences
            .get_mut(key.step.occurrence as usize)?
            .steps
            .get_mut(key.step.step as usize)?
            .tasks
            .get_mut(key.index as usize)
    }

    /// Says whether all earlier steps that `step` waits for are done.
    pub(super) fn is_ready(&self, occurrence: u32, step: u32) -> bool {
        let steps = &self.occurrences[occurrence as usize].steps;
        self.step_spec(step)
            .after
            .iter()
            .all(|earlier| steps[*earlier as usize].remaining == 0)
    }

    pub(super) fn is_done(&self) -> bool {
        self.occurrences
            .iter()
            .all(|one| one.steps.iter().all(|step| step.remaining == 0))
    }

    pub(super) fn progress(
        &self,
        workers: &dyn Fn(WorkerSlot) -> String,
    ) -> JobProgress {
        let occurrences = if self.phase.has_ended() {
            Vec::new()
        } else {
            self.occurrences
                .iter()
                .map(|one| {
                    one.steps
                        .iter()
                        .map(|step| step.progress(workers))
                        .collect()
                })
                .collect()
        };
        JobProgress { phase: self.phase, occurrences }
    }
}

/// Returns the longest estimated chain of work from each step to the end.
fn chains_ms(steps: &[StepSpec]) -> Vec<u64> {
    let mut chains: Vec<u64> =
        steps.iter().map(|step| step.estimate_ms).collect();
    for (number, step) in steps.iter().enumerate().rev() {
        for earlier in &step.after {
            let earlier = *earlier as usize;
            let through = steps[earlier].estimate_ms + chains[number];
            chains[earlier] = chains[earlier].max(through);
        }
    }
    chains
}

impl Occurrence {
    fn new(record: &JobRecord, number: u32) -> Occurrence {
        let due_unix_ms = record.spec.repeat.map_or(0, |repeat| {
            repeat.first_unix_ms.saturating_add(
                repeat.interval_ms.saturating_mul(number.into()),
            )
        });
        let steps = record
            .spec
            .steps
            .iter()
            .map(|spec| Step {
                tasks: vec![Task::default(); spec.count as usize],
                remaining: spec.count,
                ..Step::default()
            })
            .collect();
        Occurrence { due_unix_ms, steps }
    }
}

impl Step {
    fn progress(
        &self,
        workers: &dyn Fn(WorkerSlot) -> String,
    ) -> StepProgress {
        let tasks = if self.remaining == 0 {
            Vec::new()
        } else {
            self.tasks.iter().map(|task| task.progress(workers)).collect()
        };
        StepProgress { gang_failures: self.gang_failures, tasks }
    }

    pub(super) fn claimed_on(&self, worker: WorkerSlot) -> u32 {
        let here = |task: &&Task| {
            task.claim.as_ref().is_some_and(|claim| claim.worker == worker)
        };
        self.tasks.iter().filter(here).count() as u32
    }

    /// Says whether the step has a ticket for a worker that is valid at
    /// `now`.
    pub(super) fn has_ticket(&self, worker: WorkerSlot, now: TimeMs) -> bool {
        self.tickets.get(&worker).is_some_and(|one| one.is_valid(now))
    }

    pub(super) fn has_claims(&self) -> bool {
        self.tasks.iter().any(|task| task.claim.is_some())
    }
}

impl Task {
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
