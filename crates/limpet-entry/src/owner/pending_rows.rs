//! The changed jobs that the writer of progress has yet to write.

use std::collections::VecDeque;

use limpet_core::TimeMs;
use limpet_workflow::JobKey;

/// The pause after which a rejected row is written again.
pub(super) const REJECTED_RETRY_MS: u64 = 1_000;

/// The jobs whose changes were taken from the engine and aren't written.
#[derive(Debug)]
pub(super) struct PendingRows {
    /// The first jobs of the next batches.
    next: VecDeque<JobKey>,
    /// The maximum number of rows of the next batch.
    max_rows: usize,
    /// The greatest `max_rows`.
    limit: usize,
    /// The jobs whose rows the store rejected, with the time of the next try.
    rejected: VecDeque<(TimeMs, JobKey)>,
}

impl PendingRows {
    /// Returns a list for batches of up to `limit` rows.
    pub(super) fn new(limit: usize) -> PendingRows {
        PendingRows {
            next: VecDeque::new(),
            max_rows: limit,
            limit,
            rejected: VecDeque::new(),
        }
    }

    /// Returns the maximum number of rows of the next batch.
    pub(super) fn max_rows(&self) -> usize {
        self.max_rows
    }

    /// Returns whether no job is to be written now.
    pub(super) fn is_empty(&self) -> bool {
        self.next.is_empty()
    }

    /// Returns whether rejected jobs wait for another try.
    pub(super) fn has_rejected(&self) -> bool {
        !self.rejected.is_empty()
    }

    /// Takes the next job to write.
    pub(super) fn take_next(&mut self) -> Option<JobKey> {
        self.next.pop_front()
    }

    /// Puts a job that didn't fit back at the front.
    pub(super) fn put_back(&mut self, job: JobKey) {
        self.next.push_front(job);
    }

    /// Lets the next batches be longer again, after one was written.
    pub(super) fn grow(&mut self) {
        self.max_rows = (self.max_rows * 2).min(self.limit);
    }

    /// Keeps the jobs of a rejected batch for shorter ones. A single job waits
    /// and is returned, so that it doesn't delay the others.
    pub(super) fn postpone(
        &mut self,
        jobs: impl Iterator<Item = JobKey>,
        now: TimeMs,
    ) -> Option<JobKey> {
        let jobs: Vec<JobKey> = jobs.collect();
        if let [job] = jobs[..] {
            let at = now.plus_ms(REJECTED_RETRY_MS);
            // It may have changed again since it was rejected before.
            self.rejected.retain(|(_, other)| *other != job);
            self.rejected.push_back((at, job));
            return Some(job);
        }
        self.max_rows = (jobs.len() / 2).max(1);
        for job in jobs.into_iter().rev() {
            self.next.push_front(job);
        }
        None
    }

    /// Makes the first rejected job whose time has come a batch of its own.
    pub(super) fn retry_rejected(&mut self, now: TimeMs) {
        let Some((at, job)) = self.rejected.front().copied() else { return };
        if at <= now {
            self.rejected.pop_front();
            self.next.push_front(job);
            self.max_rows = 1;
        }
    }
}
