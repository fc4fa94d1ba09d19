//! The limits and delays of the retries of failed tasks.

use crate::TimeMs;

/// The delay before the first retry of a task; it doubles for each further
/// one.
const FIRST_BACKOFF_MS: u64 = 1_000;
/// The longest delay before a retry.
const LONGEST_BACKOFF_MS: u64 = 60_000;
/// The most retries of one task.
pub(super) const TASK_RETRY_LIMIT: u32 = 5;
/// The most workers that may lapse under a task before each further one costs
/// a retry: the task may be what crashes them.
pub(super) const LAPSE_LIMIT: u32 = 2;
/// A run that has lasted this long doesn't count as one that crashed its
/// worker.
pub(super) const SOUND_RUN_MS: u64 = 600_000;
/// The retries that a job has in addition to one for each of its tasks.
const JOB_RETRY_BASE: u32 = 3;
/// The most retries that a team can accumulate.
const TEAM_RETRY_LIMIT: f64 = 500.0;
/// The retries that a team regains per second.
const TEAM_RETRIES_PER_S: f64 = 5.0;

/// Returns the delay before a retry, whose number counts from 1.
pub(super) fn backoff_ms(retry: u32) -> u64 {
    let doublings = retry.saturating_sub(1).min(16);
    (FIRST_BACKOFF_MS << doublings).min(LONGEST_BACKOFF_MS)
}

/// Returns the most retries of a job with this number of tasks.
pub(super) fn job_retry_limit(tasks: u32) -> u32 {
    JOB_RETRY_BASE.saturating_add(tasks)
}

/// A token bucket that limits how many failed tasks of a team are retried.
#[derive(Clone, Debug)]
pub(super) struct RetryBudget {
    remaining: f64,
    updated_at: TimeMs,
}

impl Default for RetryBudget {
    fn default() -> RetryBudget {
        RetryBudget { remaining: TEAM_RETRY_LIMIT, updated_at: TimeMs::ZERO }
    }
}

impl RetryBudget {
    /// Takes one retry from the budget. Returns `false` if none is left.
    pub(super) fn try_take(&mut self, now: TimeMs) -> bool {
        let passed_s = now.ms_since(self.updated_at) as f64 / 1000.0;
        self.updated_at = now;
        self.remaining = (self.remaining + passed_s * TEAM_RETRIES_PER_S)
            .min(TEAM_RETRY_LIMIT);
        if self.remaining < 1.0 {
            return false;
        }
        self.remaining -= 1.0;
        true
    }
}
