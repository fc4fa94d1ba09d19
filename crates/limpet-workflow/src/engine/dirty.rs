//! The jobs with changes to commit: those first for whose commit someone
//! waits, and of these the urgent ones.
//!
//! A store that is slow takes few rows at a time. What nobody waits for must
//! not delay the start of an urgent task then.

use std::collections::VecDeque;

use rustc_hash::FxHashSet;

use super::{Engine, job::Job};
use crate::key::JobKey;

/// One in this many jobs of a commit is the one that has waited for longest,
/// whoever waits for it, so that no job is left out for good.
const OLDEST_SHARE: usize = 4;

/// Who waits for the commit of a job's changes, the most pressing first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum CommitWait {
    /// A start order or the end of a job of a queue of priority 0.
    Urgent,
    /// A start order or the end of a job of another queue.
    Other,
    /// Nobody: the changes are ends of runs, which workers repeat.
    Nobody,
}

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

    /// Removes the jobs at some positions, which are sorted.
    fn remove_at(&mut self, positions: &[usize]) {
        let mut next = positions.iter().peekable();
        let mut kept = VecDeque::with_capacity(self.queue.len());
        for (position, key) in self.queue.drain(..).enumerate() {
            if next.next_if(|taken| **taken == position).is_some() {
                self.queued.remove(&key);
            } else {
                kept.push_back(key);
            }
        }
        self.queue = kept;
    }
}

impl Engine {
    /// Takes up to `limit` of the changed jobs for which `may_take` returns
    /// true. The caller commits the [`Engine::progress`] of each and then
    /// calls [`Engine::mark_committed`].
    pub fn take_dirty(
        &mut self,
        limit: usize,
        may_take: &dyn Fn(JobKey, CommitWait) -> bool,
    ) -> Vec<JobKey> {
        let mut found: Vec<(CommitWait, usize, JobKey)> = self
            .dirty
            .queue
            .iter()
            .enumerate()
            .map(|(position, key)| (self.commit_wait(*key), position, *key))
            .filter(|(wait, _, key)| may_take(*key, *wait))
            .collect();
        if found.len() > limit {
            let mut pressing = found.split_off(limit / OLDEST_SHARE);
            pressing.sort_unstable();
            pressing.truncate(limit - found.len());
            found.extend(pressing);
        }
        let mut positions: Vec<usize> =
            found.iter().map(|(_, position, _)| *position).collect();
        positions.sort_unstable();
        self.dirty.remove_at(&positions);
        let taken: Vec<JobKey> =
            found.into_iter().map(|(_, _, key)| key).collect();
        for key in &taken {
            if let Some(job) = self.jobs.get_mut(key) {
                job.taken = job.version;
            }
        }
        taken
    }

    /// Returns whether there is a changed job for which `may_take` returns
    /// true.
    pub fn has_dirty(
        &self,
        may_take: &dyn Fn(JobKey, CommitWait) -> bool,
    ) -> bool {
        self.dirty
            .queue
            .iter()
            .any(|key| may_take(*key, self.commit_wait(*key)))
    }

    /// Takes a changed job back that was taken and not committed.
    pub fn return_dirty(&mut self, key: JobKey) {
        if let Some(job) = self.jobs.get_mut(&key) {
            job.taken = job.committed;
        }
        self.dirty.insert(key);
    }

    /// Returns who waits for the commit of a job's changes.
    fn commit_wait(&self, key: JobKey) -> CommitWait {
        match self.jobs.get(&key) {
            Some(job) if !is_awaited(job) => CommitWait::Nobody,
            Some(job) if job.policy.priority == 0 => CommitWait::Urgent,
            _ => CommitWait::Other,
        }
    }
}

/// Returns whether start orders or the end of the job wait for the commit of
/// what was not taken yet.
fn is_awaited(job: &Job) -> bool {
    let has_end = job.phase.has_ended() && !job.durable_phase.has_ended();
    has_end || job.claimed > job.taken
}
