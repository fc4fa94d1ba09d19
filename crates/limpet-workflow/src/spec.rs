use limpet_core::Resources;

use crate::config::QueuePolicy;

/// What a client submits: steps of tasks that share one payload.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct JobSpec {
    /// What each task is told, opaque to the scheduler.
    pub payload: String,
    /// The steps; later ones may wait for earlier ones.
    pub steps: Vec<StepSpec>,
    /// When the steps run more than once.
    pub repeat: Option<Repeat>,
}

/// One step: `count` like tasks.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct StepSpec {
    /// The number of tasks.
    pub count: u32,
    /// What each task takes of a worker.
    pub task: Resources,
    /// A rough estimate of a task's duration.
    pub estimate_ms: u64,
    /// Earlier steps whose tasks must be done first.
    pub after: Vec<u32>,
    /// Tasks save their progress and can resume elsewhere.
    pub checkpointing: bool,
    /// Tasks work only together and end together.
    pub gang: bool,
    /// Tasks are slower unless all run in one rack.
    pub same_rack: bool,
    /// The label that a worker must have.
    pub required_label: Option<String>,
    /// The rack near the data; tasks are slower elsewhere.
    pub data_rack: Option<String>,
    /// At most this many tasks of the step on one worker; 0 is no limit.
    pub max_per_worker: u32,
    /// Copies of a task may run side by side.
    pub copies_allowed: bool,
    /// Tasks run until the job is cancelled.
    pub long_running: bool,
    /// Tasks use what others leave and count against no capacity.
    pub fills: bool,
    /// Tasks of a long-running step that may be away at once.
    pub max_away: u32,
}

/// When the occurrences of a job are due, in wall-clock time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Repeat {
    /// How often the steps run.
    pub count: u32,
    /// When the first occurrence is due, since the Unix epoch.
    pub first_unix_ms: u64,
    /// The time between two occurrences.
    pub interval_ms: u64,
}

/// An accepted job as it is kept in the store.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct JobRecord {
    /// The queue that it was submitted to.
    pub queue: String,
    /// The queue's policy at that time, for when no configuration names the
    /// queue any more.
    pub policy: QueuePolicy,
    /// The team whose key came with it; empty for a public queue.
    pub team: String,
    /// When it was accepted, since the Unix epoch.
    pub accepted_unix_ms: u64,
    /// Tells one submission from another with the same job id.
    pub submission: u64,
    /// What to run.
    pub spec: JobSpec,
}

impl JobSpec {
    /// Checks that the steps can be run in their order.
    ///
    /// # Errors
    ///
    /// A sentence that names the bad value and the allowed range.
    pub fn validate(&self) -> Result<(), String> {
        if self.steps.is_empty() {
            return Err("steps is empty; at least 1 is needed".to_owned());
        }
        for (number, step) in self.steps.iter().enumerate() {
            if step.count == 0 {
                return Err(format!("steps[{number}].count is 0; at least 1"));
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
        Ok(())
    }

    /// Returns how often the steps run.
    pub fn occurrences(&self) -> u32 {
        self.repeat.map_or(1, |repeat| repeat.count.max(1))
    }
}
