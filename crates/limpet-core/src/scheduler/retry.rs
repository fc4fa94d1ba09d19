use crate::TimeMs;

/// The wait before the first retry of a task.
const FIRST_BACKOFF_MS: u64 = 1_000;
/// The longest wait before a retry.
const LONGEST_BACKOFF_MS: u64 = 60_000;
/// How often one task is tried again.
pub(super) const TASK_RETRY_LIMIT: u32 = 5;
/// The retries that a job has besides one for each of its tasks.
const JOB_RETRY_BASE: u32 = 3;
/// The most retries that a team can save up.
const TEAM_RETRY_LIMIT: f64 = 500.0;
/// The retries that a team regains in a second.
const TEAM_RETRIES_PER_S: f64 = 5.0;

/// Returns the wait before the retry with this number, from 1.
pub(super) fn backoff_ms(retry: u32) -> u64 {
    let doublings = retry.saturating_sub(1).min(16);
    (FIRST_BACKOFF_MS << doublings).min(LONGEST_BACKOFF_MS)
}

/// Returns how many retries a job of so many tasks may use.
pub(super) fn job_retry_limit(tasks: u32) -> u32 {
    JOB_RETRY_BASE.saturating_add(tasks)
}

/// What a team may still spend on retries, regained with time.
#[derive(Clone, Debug)]
pub(super) struct RetryBudget {
    left: f64,
    updated_at: TimeMs,
}

impl Default for RetryBudget {
    fn default() -> RetryBudget {
        RetryBudget { left: TEAM_RETRY_LIMIT, updated_at: TimeMs::ZERO }
    }
}

impl RetryBudget {
    /// Takes one retry out, or says that none is left.
    pub(super) fn try_take(&mut self, now: TimeMs) -> bool {
        let passed_s = now.ms_since(self.updated_at) as f64 / 1000.0;
        self.updated_at = now;
        self.left =
            (self.left + passed_s * TEAM_RETRIES_PER_S).min(TEAM_RETRY_LIMIT);
        if self.left < 1.0 {
            return false;
        }
        self.left -= 1.0;
        true
    }
}
