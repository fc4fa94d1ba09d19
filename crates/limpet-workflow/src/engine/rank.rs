//! The order in which waiting steps are placed: urgent queues first, then by
//! the chance of each job to meet its latency objective.

use limpet_core::TimeMs;

use super::{Engine, Moment};
use crate::key::StepKey;

/// A job keeps some value until this many times its latency objective.
const LATE_FACTOR: u64 = 3;
/// A step of a less urgent queue preempts tasks once it has to start within
/// this time to meet its objective.
pub(super) const PREEMPT_SLACK_MS: u64 = 1_500;

/// A step's chance of meeting the latency objective of its job.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum Lateness {
    /// The job meets the objective if the step starts now.
    OnTime,
    /// The job misses the objective but keeps some value.
    Late,
    /// The job exceeded its team's submission rate.
    Excess,
    /// The job has no value any more.
    Worthless,
}

/// The order in which waiting steps are placed, compared field by field.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct Rank {
    /// Whether the queue is not of priority 0.
    pub(super) less_urgent: bool,
    pub(super) lateness: Lateness,
    /// The latest start that meets the objective.
    pub(super) last_start: TimeMs,
    pub(super) priority: u32,
}

impl Rank {
    /// Returns whether the job meets its objective only if the step starts
    /// soon: less than twice the estimated `left_ms` to its end are left.
    pub(super) fn has_little_time(&self, left_ms: u64, now: TimeMs) -> bool {
        self.lateness == Lateness::OnTime
            && self.last_start.ms_since(now) < left_ms
    }

    /// Returns whether the step may preempt less urgent tasks now: at once for
    /// queues of priority 0, shortly before the latest start for others.
    pub(super) fn may_preempt(&self, now: TimeMs) -> bool {
        match self.lateness {
            Lateness::OnTime => {
                !self.less_urgent
                    || self.last_start.ms_since(now) < PREEMPT_SLACK_MS
            }
            Lateness::Late => !self.less_urgent,
            Lateness::Excess | Lateness::Worthless => false,
        }
    }
}

impl Engine {
    /// Returns the rank of a step in this pass; `None` if its job is unknown.
    pub(super) fn rank(&self, key: StepKey, now: Moment) -> Option<Rank> {
        let job = self.jobs.get(&key.job)?;
        let policy = &job.policy;
        if let Some(wait) = self.lasting.get(&key) {
            return Some(wait.rank(policy, job.excess, now.steady));
        }
        let left_ms = job.critical_paths_ms[key.step as usize];
        let objective_ms = job.objective_ms();
        let due_at = job.received_at.plus_ms(objective_ms);
        let last_start =
            TimeMs::from_ms(due_at.as_ms().saturating_sub(left_ms));
        let worthless_at = job
            .received_at
            .plus_ms(objective_ms.saturating_mul(LATE_FACTOR))
            .as_ms()
            .saturating_sub(left_ms);
        let lateness = if job.excess {
            Lateness::Excess
        } else if now.steady <= last_start {
            Lateness::OnTime
        } else if now.steady.as_ms() <= worthless_at {
            Lateness::Late
        } else {
            Lateness::Worthless
        };
        Some(Rank {
            less_urgent: policy.priority > 0,
            lateness,
            last_start,
            priority: policy.priority,
        })
    }
}
