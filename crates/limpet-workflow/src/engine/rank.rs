//! The order in which steps are placed.

use limpet_core::TimeMs;

use super::{Engine, Moment};
use crate::key::StepKey;

/// A job earns something until this many times its objective.
const LATE_FACTOR: u64 = 3;
/// With less than this left, a step has less urgent tasks make way.
const FORCE_SLACK_MS: u64 = 1_500;

/// How a job stands to its latency objective.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum Lateness {
    /// Started now, it meets the objective.
    OnTime,
    /// Started now, it misses the objective and still earns something.
    Late,
    /// Its team had used up its rate.
    Excess,
    /// It can't earn anything any more.
    Worthless,
}

/// The order in which waiting steps are placed.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct Rank {
    /// Whether more urgent queues come first.
    pub(crate) behind: bool,
    pub(crate) lateness: Lateness,
    /// The last time at which a start meets the objective.
    pub(crate) last_start: TimeMs,
    pub(crate) priority: u32,
}

impl Rank {
    /// Says whether less urgent tasks make way now: for the most urgent
    /// queue at once, for others once their time runs out.
    pub(crate) fn may_preempt(&self, now: TimeMs) -> bool {
        match self.lateness {
            Lateness::OnTime => {
                !self.behind || self.last_start.ms_since(now) < FORCE_SLACK_MS
            }
            Lateness::Late => !self.behind,
            Lateness::Excess | Lateness::Worthless => false,
        }
    }
}

impl Engine {
    pub(super) fn rank(&self, key: StepKey, now: Moment) -> Option<Rank> {
        let job = self.jobs.get(&key.job)?;
        let policy = &job.policy;
        let whole_ms = job.chains_ms.iter().max().copied().unwrap_or(0);
        let left_ms = job.chains_ms[key.step as usize];
        let objective_ms =
            (whole_ms as f64 * policy.stretch) as u64 + policy.objective_ms;
        let due_at = job.received_at.plus_ms(objective_ms);
        let last_start =
            TimeMs::from_ms(due_at.as_ms().saturating_sub(left_ms));
        let worthless_at = job
            .received_at
            .plus_ms(objective_ms * LATE_FACTOR)
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
            behind: policy.priority > 0,
            lateness,
            last_start,
            priority: policy.priority,
        })
    }
}
