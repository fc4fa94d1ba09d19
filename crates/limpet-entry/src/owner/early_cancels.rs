//! Cancellations of jobs whose rows don't exist.
//!
//! Each is kept for as long as the state of an ended job: within that time a
//! submission that was on its way, or that its client repeats, is certainly
//! written. A flood of cancellations of jobs that never existed is kept for
//! less.

use std::collections::HashMap;

use limpet_core::TimeMs;
use limpet_workflow::JobKey;

/// The number above which cancellations end before their time.
const MAX_KEPT: usize = 10_000;
/// How long each is kept even then. A client repeats a submission for some
/// 15 s, and the store may carry a call out seconds later.
const MIN_KEPT_MS: u64 = 30_000;

/// A cancellation whose job has no row.
#[derive(Clone, Copy, Debug)]
struct EarlyCancel {
    /// The version of its row.
    version: u64,
    /// When it was requested, as far as that is known.
    requested_at: TimeMs,
}

/// The cancellations in the table of jobs whose jobs have no row.
#[derive(Debug)]
pub struct EarlyCancels {
    by_job: HashMap<JobKey, EarlyCancel>,
    /// How long each is kept.
    kept_ms: u64,
    /// How long each is kept if there are more than [`MAX_KEPT`].
    min_kept_ms: u64,
}

impl EarlyCancels {
    /// Returns a list of cancellations that are kept for `kept_ms`.
    pub fn new(kept_ms: u64) -> EarlyCancels {
        EarlyCancels {
            by_job: HashMap::new(),
            kept_ms,
            min_kept_ms: kept_ms.min(MIN_KEPT_MS),
        }
    }

    /// Records a cancellation that was requested `age_ms` ago. The clock of
    /// another instance tells the age, so it is kept for the minimum at least.
    pub fn record(
        &mut self,
        job: JobKey,
        version: u64,
        age_ms: u64,
        now: TimeMs,
    ) {
        if self.by_job.get(&job).is_some_and(|c| c.version >= version) {
            return;
        }
        let age_ms = age_ms.min(self.kept_ms - self.min_kept_ms);
        let requested_at = TimeMs::from_ms(now.as_ms().saturating_sub(age_ms));
        self.by_job.insert(job, EarlyCancel { version, requested_at });
    }

    /// Removes the cancellation of a job whose row has appeared. Returns
    /// whether there is one.
    pub fn take(&mut self, job: JobKey) -> bool {
        self.by_job.remove(&job).is_some()
    }

    /// Forgets a cancellation whose row was removed at a version, or is of a
    /// later one.
    pub fn forget(&mut self, job: JobKey, version: u64) {
        if self.by_job.get(&job).is_some_and(|c| c.version <= version) {
            self.by_job.remove(&job);
        }
    }

    /// Keeps a cancellation for the whole time from now on: its row could not
    /// be removed, since its job has one now or it was requested again.
    pub fn renew(&mut self, job: JobKey, now: TimeMs) {
        if let Some(cancel) = self.by_job.get_mut(&job) {
            cancel.requested_at = now;
        }
    }

    /// Returns the cancellations whose rows are to be removed, with the
    /// versions of these.
    pub fn expired(&self, now: TimeMs) -> Vec<(JobKey, u64)> {
        let mut old: Vec<(TimeMs, JobKey, u64)> = self
            .by_job
            .iter()
            .map(|(job, cancel)| (cancel.requested_at, *job, cancel.version))
            .filter(|(at, _, _)| now.ms_since(*at) >= self.min_kept_ms)
            .collect();
        old.sort_unstable();
        let excess = self.by_job.len().saturating_sub(MAX_KEPT);
        old.into_iter()
            .enumerate()
            .take_while(|(number, (at, _, _))| {
                *number < excess || now.ms_since(*at) >= self.kept_ms
            })
            .map(|(_, (_, job, version))| (job, version))
            .collect()
    }

    /// Returns how many there are.
    pub fn len(&self) -> usize {
        self.by_job.len()
    }

    /// Returns whether there are none.
    pub fn is_empty(&self) -> bool {
        self.by_job.is_empty()
    }
}
