use std::collections::BTreeSet;

use crate::{JobId, TimeMs};

/// The jobs that have to fail in a row on a worker before it is suspected.
const SUSPECT_AFTER_JOBS: usize = 3;
/// The first wait on probation before a canary is tried.
const FIRST_PROBATION_MS: u64 = 30_000;
/// The longest wait on probation.
const LONGEST_PROBATION_MS: u64 = 600_000;

/// Whether a worker fails what others manage.
///
/// Each job counts once, however many of its tasks fail here, so that one
/// bad job can't take a worker out of use; and a job that has failed on
/// several workers doesn't count at all.
#[derive(Clone, Debug, Default)]
#[derive(serde::Deserialize, serde::Serialize)]
pub(super) struct Health {
    failed_jobs: BTreeSet<JobId>,
    probation_until: Option<TimeMs>,
    probation_ms: u64,
    canary: bool,
}

impl Health {
    /// Says whether the worker takes tasks like any other.
    pub(super) fn is_ready(&self) -> bool {
        self.probation_until.is_none()
    }

    /// Says whether one task may be tried on a worker on probation.
    pub(super) fn wants_canary(&self, now: TimeMs) -> bool {
        !self.canary && self.probation_until.is_some_and(|until| until <= now)
    }

    /// Notes that the one task was started.
    pub(super) fn set_canary(&mut self) {
        self.canary = true;
    }

    /// Notes a task that finished here.
    pub(super) fn succeed(&mut self) {
        *self = Health::default();
    }

    /// Notes that the canary ended without a verdict.
    pub(super) fn end_canary(&mut self) {
        self.canary = false;
    }

    /// Notes a failed task of `job` and says whether that puts the worker
    /// on probation.
    pub(super) fn fail(&mut self, job: JobId, now: TimeMs) -> bool {
        if self.probation_until.is_some() {
            if self.canary {
                self.start_probation(now);
            }
            return false;
        }
        self.failed_jobs.insert(job);
        if self.failed_jobs.len() < SUSPECT_AFTER_JOBS {
            return false;
        }
        self.start_probation(now);
        true
    }

    /// Takes back what a job said against the worker, once the job itself
    /// is found to be at fault.
    pub(super) fn forgive(&mut self, job: JobId) {
        self.failed_jobs.remove(&job);
    }

    fn start_probation(&mut self, now: TimeMs) {
        self.canary = false;
        self.probation_ms = (self.probation_ms * 2)
            .clamp(FIRST_PROBATION_MS, LONGEST_PROBATION_MS);
        self.probation_until = Some(now.plus_ms(self.probation_ms));
    }
}
