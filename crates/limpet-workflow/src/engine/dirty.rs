//! The jobs with changes to commit, in the order of their first change.

use std::collections::VecDeque;

use rustc_hash::FxHashSet;

use crate::key::JobKey;

/// A queue of jobs, each at most once.
#[derive(Debug, Default)]
pub(super) struct DirtyJobs {
    /// Oldest first.
    queue: VecDeque<JobKey>,
    /// The jobs in `queue`.
    queued: FxHashSet<JobKey>,
}

impl DirtyJobs {
    /// Appends a job unless it is queued already.
    pub(super) fn insert(&mut self, key: JobKey) {
        if self.queued.insert(key) {
            self.queue.push_back(key);
        }
    }

    /// Removes up to `limit` jobs from the front.
    pub(super) fn take(&mut self, limit: usize) -> Vec<JobKey> {
        let taken: Vec<JobKey> =
            self.queue.drain(..limit.min(self.queue.len())).collect();
        for key in &taken {
            self.queued.remove(key);
        }
        taken
    }

    pub(super) fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }
}
