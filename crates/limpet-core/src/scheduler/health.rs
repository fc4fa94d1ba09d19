use std::collections::BTreeSet;

use crate::{JobId, TimeMs};

/// How many different jobs have to fail on a worker, without a success in
/// between, before it is put on probation.
const PROBATION_AFTER_JOBS: usize = 3;
/// How long the first probation of a worker lasts until a canary task is
/// tried.
const FIRST_PROBATION_MS: u64 = 30_000;
/// The longest probation; each failed canary doubles it up to this.
const LONGEST_PROBATION_MS: u64 = 600_000;

/// Detects a worker on which tasks fail that succeed elsewhere.
///
/// A worker on which several jobs failed is put on probation: it takes no
/// tasks for a while, then a single canary task, whose success ends the
/// probation. Each job counts once, however many of its tasks fail, so that
/// one faulty job can't take a worker out of use. The failures of a job that
/// fails on several workers are retracted.
#[derive(Clone, Debug, Default)]
#[derive(serde::Deserialize, serde::Serialize)]
pub(super) struct Health {
    /// The jobs that failed here since the last success.
    failed_jobs: BTreeSet<JobId>,
    /// When a canary task may be tried, while on probation.
    probation_until: Option<TimeMs>,
    /// The length of the last probation, in milliseconds.
    probation_ms: u64,
    /// Whether a canary task runs.
    canary: bool,
}

impl Health {
    /// Returns whether the worker is not on probation.
    pub(super) fn is_ready(&self) -> bool {
        self.probation_until.is_none()
    }

    /// Returns whether a canary task may start on this worker: it is on
    /// probation, the waiting time is over and no canary runs.
    pub(super) fn is_canary_due(&self, now: TimeMs) -> bool {
        !self.canary && self.probation_until.is_some_and(|until| until <= now)
    }

    /// Records that a canary task was started.
    pub(super) fn start_canary(&mut self) {
        self.canary = true;
    }

    /// Records that a task succeeded, which ends any probation.
    pub(super) fn record_success(&mut self) {
        *self = Health::default();
    }

    /// Records that the canary task, if there is one, ended without telling
    /// anything about the worker, so that another may be tried.
    pub(super) fn end_canary(&mut self) {
        self.canary = false;
    }

    /// Records that a task of `job` failed. Returns whether this puts the
    /// worker on probation. If it is on probation already, a failure while a
    /// canary runs restarts the probation, with twice the length up to
    /// [`LONGEST_PROBATION_MS`].
    pub(super) fn record_failure(&mut self, job: JobId, now: TimeMs) -> bool {
        if self.probation_until.is_some() {
            if self.canary {
                self.start_probation(now);
            }
            return false;
        }
        self.failed_jobs.insert(job);
        if self.failed_jobs.len() < PROBATION_AFTER_JOBS {
            return false;
        }
        self.start_probation(now);
        true
    }

    /// Removes the recorded failure of a job that turned out to be at fault
    /// itself.
    pub(super) fn retract_failure(&mut self, job: JobId) {
        self.failed_jobs.remove(&job);
    }

    /// Starts a probation that is twice as long as the last one, within the
    /// limits.
    fn start_probation(&mut self, now: TimeMs) {
        self.canary = false;
        self.probation_ms = (self.probation_ms * 2)
            .clamp(FIRST_PROBATION_MS, LONGEST_PROBATION_MS);
        self.probation_until = Some(now.plus_ms(self.probation_ms));
    }
}
