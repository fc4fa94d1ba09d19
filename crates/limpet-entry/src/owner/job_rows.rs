//! The versions of the rows of jobs, and the removal of these rows.

use std::collections::{BTreeMap, HashMap};

use limpet_workflow::JobKey;

use crate::rows::Lane;

/// The rows of the jobs that the engine knows.
///
/// A job's row is written once, so its version identifies the submission. An
/// expired job stays known until nothing that is read can hold its row.
#[derive(Debug, Default)]
pub(super) struct JobRows {
    /// The version of each job's row.
    versions: HashMap<JobKey, u64>,
    /// The lanes that may hold progress of each job.
    lanes: HashMap<JobKey, LaneSet>,
    /// The jobs whose row is gone, with the lanes from which their progress is
    /// to be removed.
    progress_left: BTreeMap<JobKey, LaneSet>,
    /// The jobs without rows, with the version at which the last was removed.
    removed: HashMap<JobKey, u64>,
}

/// A set of lanes.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
struct LaneSet(u8);

impl LaneSet {
    fn contains(self, lane: Lane) -> bool {
        self.0 & (1 << lane.0) != 0
    }

    fn insert(&mut self, lane: Lane) {
        self.0 |= 1 << lane.0;
    }

    fn remove(&mut self, lane: Lane) {
        self.0 &= !(1 << lane.0);
    }
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
        let is_gone = self.progress_left.contains_key(&job)
            || self.removed.contains_key(&job);
        self.versions.get(&job).copied().filter(|_| !is_gone)
    }

    /// Records that a lane may hold progress of a job.
    pub(super) fn record_lane(&mut self, job: JobKey, lane: Lane) {
        self.lanes.entry(job).or_default().insert(lane);
    }

    /// Records that the row of this version is certainly gone.
    pub(super) fn record_gone(&mut self, job: JobKey, version: u64) {
        if self.versions.get(&job) == Some(&version) {
            let mut lanes = self.lanes.get(&job).copied().unwrap_or_default();
            // The version of a removal tells when the job can be forgotten.
            if lanes == LaneSet::default() {
                lanes.insert(Lane(0));
            }
            self.progress_left.insert(job, lanes);
        }
    }

    /// Returns whether there is progress to remove from a lane.
    pub(super) fn has_progress_left(&self, lane: Lane) -> bool {
        self.progress_left.values().any(|left| left.contains(lane))
    }

    /// Returns up to `limit` jobs whose progress is to be removed from a lane.
    pub(super) fn progress_left(
        &self,
        lane: Lane,
        limit: usize,
    ) -> Vec<JobKey> {
        self.progress_left
            .iter()
            .filter(|(_, left)| left.contains(lane))
            .map(|(job, _)| *job)
            .take(limit)
            .collect()
    }

    /// Records that the progress of a job was removed from a lane at a version
    /// of the store.
    pub(super) fn record_removed(
        &mut self,
        job: JobKey,
        lane: Lane,
        version: u64,
    ) {
        // The job may have been submitted anew meanwhile.
        let Some(left) = self.progress_left.get_mut(&job) else { return };
        left.remove(lane);
        if *left == LaneSet::default() {
            self.progress_left.remove(&job);
            self.lanes.remove(&job);
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
