//! What a client submits, and the record of an accepted job.

use limpet_core::Resources;

use crate::config::QueuePolicy;

/// The most tasks of a step that can't be opened bit by bit, and of all steps
/// of a job whose tasks last together. They are claimed at the same time, and
/// their claims are stored in one row, of which the platform's store takes
/// 65,536 bytes (`row_bytes`): some 9 bytes a claim, and the workers' ids.
pub const MAX_WHOLE_STEP_TASKS: u32 = 5_000;

/// Larger amounts of a resource count as this one, which no worker has. Sums
/// and products of such amounts stay within 64 bits.
const MAX_AMOUNT: u64 = 1 << 32;
/// Longer durations count as this one, some 30 years.
const MAX_DURATION_MS: u64 = 1_000_000_000_000;

/// What a client submits: steps of tasks that share a payload.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct JobSpec {
    /// Passed to each task; opaque to the scheduler.
    pub payload: String,
    /// The steps; a step can depend on earlier ones.
    pub steps: Vec<StepSpec>,
    /// The schedule of a job that runs more than once.
    pub repeat: Option<Repeat>,
}

/// A step: `count` identical tasks.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct StepSpec {
    /// The number of tasks.
    pub count: u32,
    /// The resources that each task needs on a worker.
    pub task: Resources,
    /// A rough estimate of a task's duration; 0 if unknown.
    pub estimate_ms: u64,
    /// The indices of earlier steps that must be done first.
    pub after: Vec<u32>,
    /// Whether tasks save checkpoints and can resume on another worker.
    pub checkpointing: bool,
    /// Whether the tasks form a gang: all of them run at the same time, and
    /// none goes on without the others.
    pub gang: bool,
    /// Whether tasks are slower unless all run in the same rack.
    pub same_rack: bool,
    /// A label that a worker must have to run the tasks.
    pub required_label: Option<String>,
    /// The rack that holds the data; tasks are slower in other racks.
    pub data_rack: Option<String>,
    /// The maximum number of tasks of the step on one worker; 0 means no
    /// limit.
    pub max_per_worker: u32,
    /// Whether copies of a task may run at the same time.
    pub copies_allowed: bool,
    /// Whether tasks run until the job is cancelled.
    pub long_running: bool,
    /// Whether tasks only use cores that others leave idle; their cores do
    /// not count against the capacity of a worker.
    pub fills: bool,
    /// The maximum number of tasks of a long-running step that may be absent
    /// at the same time.
    pub max_away: u32,
    /// What the tasks run; tasks of one image behave alike. Empty if unknown.
    /// Not part of the derived encoding, which rows of earlier versions have.
    #[serde(skip)]
    pub image: String,
    /// The tail latency that serving tasks should keep, in milliseconds; 0 for
    /// tasks that do not serve. Encoded like `image`.
    #[serde(skip)]
    pub target_ms: u64,
}

impl StepSpec {
    /// Returns whether all tasks are claimed at the same time: those of a gang,
    /// and those that last, none of which makes room for another.
    pub fn is_whole(&self) -> bool {
        self.gang || self.long_running
    }

    /// Lowers the numbers that exceed [`MAX_AMOUNT`] or [`MAX_DURATION_MS`].
    fn clamp_numbers(&mut self) {
        self.task = Resources {
            cores_milli: self.task.cores_milli.min(MAX_AMOUNT),
            memory_mb: self.task.memory_mb.min(MAX_AMOUNT),
            accelerators: self.task.accelerators.min(MAX_AMOUNT),
        };
        self.estimate_ms = self.estimate_ms.min(MAX_DURATION_MS);
        self.target_ms = self.target_ms.min(MAX_DURATION_MS);
    }
}

/// The wall-clock times at which the occurrences of a job are due.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Repeat {
    /// The number of occurrences.
    pub count: u32,
    /// When the first occurrence is due, in milliseconds since the Unix
    /// epoch.
    pub first_unix_ms: u64,
    /// The time between the due times of two occurrences.
    pub interval_ms: u64,
}

/// An accepted job, as it is stored.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct JobRecord {
    /// The queue that the job was submitted to.
    pub queue: String,
    /// The queue's policy at submission, which applies if the queue is later
    /// removed from the configuration.
    pub policy: QueuePolicy,
    /// The team whose API key was used; empty for a public queue.
    pub team: String,
    /// When the job was accepted, in milliseconds since the Unix epoch.
    pub accepted_unix_ms: u64,
    /// A random number that distinguishes submissions with the same job id.
    pub submission: u64,
    /// The submitted job.
    pub spec: JobSpec,
}

impl JobSpec {
    /// Checks that there are steps, that each has tasks, that each depends on
    /// earlier steps only, and that no more than [`MAX_WHOLE_STEP_TASKS`] have to
    /// be claimed at the same time.
    ///
    /// # Errors
    ///
    /// Returns a message that names the invalid field and the allowed values.
    pub fn validate(&self) -> Result<(), String> {
        if self.steps.is_empty() {
            return Err("steps is empty; at least 1 step is needed".to_owned());
        }
        for (number, step) in self.steps.iter().enumerate() {
            if step.count == 0 {
                return Err(format!(
                    "steps[{number}].count is 0; it must be at least 1"
                ));
            }
            if step.is_whole() && step.count > MAX_WHOLE_STEP_TASKS {
                return Err(format!(
                    "steps[{number}].count is {}; a gang, or tasks that last, \
                     are at most {MAX_WHOLE_STEP_TASKS}",
                    step.count
                ));
            }
            if let Some(after) =
                step.after.iter().find(|after| **after as usize >= number)
            {
                return Err(format!(
                    "steps[{number}].after names step {after}; \
                     only earlier steps are allowed"
                ));
            }
        }
        let lasting = self.steps.iter().filter(|step| step.long_running);
        let lasting: u64 = lasting.map(|step| u64::from(step.count)).sum();
        if lasting > u64::from(MAX_WHOLE_STEP_TASKS) {
            return Err(format!(
                "steps have {lasting} tasks that last; at most \
                 {MAX_WHOLE_STEP_TASKS} are allowed"
            ));
        }
        Ok(())
    }

    /// Lowers numbers that no worker can serve or no run can reach, and with
    /// which calculations would overflow. A client chooses them freely, and
    /// stored jobs may have any.
    pub(crate) fn clamp_numbers(&mut self) {
        self.steps.iter_mut().for_each(StepSpec::clamp_numbers);
    }

    /// Returns the number of occurrences, at least 1.
    pub fn occurrences(&self) -> u32 {
        self.repeat.map_or(1, |repeat| repeat.count.max(1))
    }
}
