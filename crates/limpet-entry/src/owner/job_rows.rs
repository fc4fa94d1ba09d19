//! The versions of the rows of jobs, and the removal of these rows.

use std::collections::{BTreeSet, HashMap};

use limpet_workflow::JobKey;

/// The rows of the jobs that the engine knows.
///
/// A job's row is written once, so its version identifies the submission. An
/// expired job stays known until nothing that is read can hold its row.
#[derive(Debug, Default)]
pub(super) struct JobRows {
    /// The version of each job's row.
    versions: HashMap<JobKey, u64>,
    /// The jobs whose row is gone and whose progress is to be removed.
    progress_left: BTreeSet<JobKey>,
    /// The jobs without rows, with the version at which the last was removed.
    removed: HashMap<JobKey, u64>,
}

impl JobRows {
    /// Records the version of a job's row. Returns false if the row is of a
    /// known submission, or of an earlier one.
    pub(super) fn record(&mut self, job: JobKey, version: u64) -> bool {
        if self.versions.get(&job).is_some_and(|known| *known >= version) {
            return false;
        }
        self.versions.insert(job, version);
        self.progress_left.remove(&job);
        self.removed.remove(&job);
        true
    }

    /// Returns the version of a job's row; `None` if the row is gone.
    pub(super) fn version(&self, job: JobKey) -> Option<u64> {
        let is_gone = self.progress_left.contains(&job)
            || self.removed.contains_key(&job);
        self.versions.get(&job).copied().filter(|_| !is_gone)
    }

    /// Records that the row of this version is certainly gone.
    pub(super) fn record_gone(&mut self, job: JobKey, version: u64) {
        if self.versions.get(&job) == Some(&version) {
            self.progress_left.insert(job);
        }
    }

    /// Returns whether there is progress to remove.
    pub(super) fn has_progress_left(&self) -> bool {
        !self.progress_left.is_empty()
    }

    /// Returns up to `limit` jobs whose progress is to be removed.
    pub(super) fn progress_left(&self, limit: usize) -> Vec<JobKey> {
        self.progress_left.iter().copied().take(limit).collect()
    }

    /// Records that the progress of a job was removed at a version of the
    /// store.
    pub(super) fn record_removed(&mut self, job: JobKey, version: u64) {
        // The job may have been submitted anew meanwhile.
        if self.progress_left.remove(&job) {
            self.removed.insert(job, version);
        }
    }

    /// Forgets the jobs that were removed up to a version, and returns them.
    pub(super) fn take_removed(&mut self, version: u64) -> Vec<JobKey> {
        let jobs: Vec<JobKey> = self
            .removed
            .extract_if(|_, at| *at <= version)
            .map(|(job, _)| job)
            .collect();
        for job in &jobs {
            self.versions.remove(job);
        }
        jobs
    }
}
