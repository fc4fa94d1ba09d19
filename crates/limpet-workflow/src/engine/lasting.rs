//! Steps of tasks that last and wait for a place: since when, and why.
//!
//! Users of such a task wait for it at any age of its job, so the objective
//! of its step counts from when the step began to wait.

use limpet_core::TimeMs;

use super::{
    Engine,
    rank::{Lateness, PREEMPT_SLACK_MS, Rank},
    wait_cause::WaitCause,
};
use crate::{config::QueuePolicy, key::StepKey};

/// A step of tasks that last preempts less urgent tasks after it has waited
/// for this long.
const PREEMPT_AFTER_MS: u64 = 500;
/// How long a step of tasks that last waits behind the steps that earn if its
/// job exceeded its team's submission rate.
const EXCESS_WAIT_MS: u64 = 2_000;

/// A step of tasks that last with tasks that wait for a place.
#[derive(Clone, Copy, Debug)]
pub(super) struct LastingWait {
    since: TimeMs,
    /// Why it still waits; `None` until a scheduling pass has visited it.
    cause: Option<WaitCause>,
}

/// Tasks that last and are not running, for the log and the metrics.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LastingAway {
    /// The step.
    pub step: StepKey,
    /// The number of its tasks that wait for a place.
    pub tasks: usize,
    /// How long the step has waited.
    pub waited_ms: u64,
    /// Why; `None` if no scheduling pass has visited the step yet.
    pub cause: Option<WaitCause>,
}

impl LastingWait {
    /// Returns the rank of the step: before all steps that have to start
    /// later, whatever the age of the job.
    pub(super) fn rank(
        &self,
        policy: &QueuePolicy,
        excess: bool,
        now: TimeMs,
    ) -> Rank {
        let is_held_back = excess && now.ms_since(self.since) < EXCESS_WAIT_MS;
        let lateness = match is_held_back {
            true => Lateness::Excess,
            false => Lateness::OnTime,
        };
        Rank {
            less_urgent: policy.priority > 0,
            lateness,
            last_start: self
                .since
                .plus_ms(PREEMPT_AFTER_MS + PREEMPT_SLACK_MS),
            priority: policy.priority,
        }
    }
}

impl Engine {
    /// Records since when each waiting step of tasks that last has waited.
    pub(super) fn update_lasting(&mut self, now: TimeMs) {
        self.lasting.retain(|key, _| self.waiting.contains(key));
        for key in &self.waiting {
            let is_lasting = self
                .jobs
                .get(&key.job)
                .is_some_and(|job| job.step_spec(key.step).long_running);
            if is_lasting {
                let wait = LastingWait { since: now, cause: None };
                self.lasting.entry(*key).or_insert(wait);
            }
        }
    }

    /// Records why a step still waits, if its tasks last.
    pub(super) fn record_lasting_cause(
        &mut self,
        key: StepKey,
        cause: WaitCause,
    ) {
        if let Some(wait) = self.lasting.get_mut(&key) {
            wait.cause = Some(cause);
        }
    }

    /// Returns the steps of tasks that last of which tasks have waited for at
    /// least `min_ms`, by key.
    pub fn lasting_away(&self, now: TimeMs, min_ms: u64) -> Vec<LastingAway> {
        let mut away: Vec<LastingAway> = self
            .lasting
            .iter()
            .filter(|(key, _)| self.waiting.contains(key))
            .filter(|(_, wait)| now.ms_since(wait.since) >= min_ms)
            .filter_map(|(key, wait)| {
                let job = self.jobs.get(&key.job)?;
                let tasks = &job.step(key.occurrence, key.step).tasks;
                Some(LastingAway {
                    step: *key,
                    tasks: tasks.iter().filter(|task| task.is_idle()).count(),
                    waited_ms: now.ms_since(wait.since),
                    cause: wait.cause,
                })
            })
            .collect();
        away.sort_by_key(|away| away.step);
        away
    }
}
