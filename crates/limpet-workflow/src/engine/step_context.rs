//! The properties of a step, its job and its queue that placement needs.

use std::sync::Arc;

use limpet_core::Resources;

use super::{Engine, ends::counted_resources, speeds::SpeedPreference};
use crate::{
    config::{AdvicePolicy, QueuePolicy},
    key::StepKey,
    spec::{JobRecord, StepSpec},
};

/// The properties of a step, its job and its queue that placement needs.
#[derive(Debug)]
pub(super) struct StepContext {
    pub(super) key: StepKey,
    record: Arc<JobRecord>,
    queue: Arc<QueuePolicy>,
    pub(super) priority: u32,
    /// The cost of advice; `None` if the step needs none.
    pub(super) policy: Option<AdvicePolicy>,
    /// The resources of a task that count against a worker's capacity.
    pub(super) counted: Resources,
    /// Whether the tasks have to run apart from those of other jobs.
    pub(super) apart: bool,
    /// Whether the job meets its objective if the step starts now.
    pub(super) is_on_time: bool,
    /// Whether the job meets its objective only if the step starts soon.
    pub(super) has_little_time: bool,
    /// Which workers the tasks should run on if their speeds differ.
    pub(super) speed: SpeedPreference,
}

impl StepContext {
    pub(super) fn spec(&self) -> &StepSpec {
        &self.record.spec.steps[self.key.step as usize]
    }

    pub(super) fn team(&self) -> &str {
        &self.record.team
    }

    pub(super) fn service(&self) -> &str {
        &self.queue.service
    }
}

impl Engine {
    /// Returns the properties of a step that placement needs; `None` if its
    /// job is unknown.
    pub(super) fn step_context(&self, key: StepKey) -> Option<StepContext> {
        let job = self.jobs.get(&key.job)?;
        Some(StepContext {
            key,
            record: Arc::clone(&job.record),
            queue: Arc::clone(&job.policy),
            priority: job.policy.priority,
            policy: job.policy.advice,
            counted: counted_resources(job.step_spec(key.step)),
            apart: false,
            is_on_time: false,
            has_little_time: false,
            speed: SpeedPreference::default(),
        })
    }
}
