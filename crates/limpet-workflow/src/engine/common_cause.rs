//! Causes that the losses of several workers may have in common, outside the
//! tasks of a job: a rack, a kind of worker or the whole cell that goes down.

use limpet_core::TimeMs;

use super::Engine;
use crate::{
    key::JobKey,
    worker::{Worker, WorkerSlot},
};

/// A loss may have a cause outside the tasks of a job if at least this many
/// other workers, which hosted none of them, were lost at the same time.
const COMMON_CAUSE_WORKERS: usize = 2;
/// Workers that crash within this time of each other may have a cause in
/// common.
const COMMON_CRASH_MS: u64 = 200;
/// The same for workers that fall silent, which is noticed only at the end of
/// a poll.
const COMMON_SILENCE_MS: u64 = 2_000;

/// What speaks for a cause outside the tasks of a job in the loss of a worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum CommonCause {
    /// Nothing does.
    None,
    /// Several others were lost with it.
    Several,
    /// At least half of the others of its rack, its kind or the cell were.
    Group,
}

impl Worker {
    /// Returns when it fell silent or, if it answers, when its latest earlier
    /// life ended.
    fn lost_at(&self) -> Option<TimeMs> {
        self.silent_since.or(self.life_ended_at)
    }

    /// Returns whether it may have been lost at the same time as another. A
    /// life that the list has dropped and that had no work is of the past.
    fn was_lost_with(&self, other: &Worker) -> bool {
        let has_worked =
            !self.claims.is_empty() || !self.jobs_at_end.is_empty();
        if !self.listed && !has_worked {
            return false;
        }
        let (Some(own), Some(others)) = (self.lost_at(), other.lost_at())
        else {
            return false;
        };
        let is_silent =
            |worker: &Worker| worker.silent_since.is_some() && !worker.refused;
        let window_ms = match is_silent(self) || is_silent(other) {
            true => COMMON_SILENCE_MS,
            false => COMMON_CRASH_MS,
        };
        own.ms_since(others).max(others.ms_since(own)) <= window_ms
    }

    /// Returns whether it hosts a job, or did when its latest life ended.
    fn hosts_job(&self, job: JobKey) -> bool {
        self.claims.keys().any(|task| task.step.job == job)
            || self.jobs_at_end.contains(&job)
    }
}

impl Engine {
    /// Returns what speaks for a cause outside the tasks of a job in the loss
    /// of a worker: others that hosted none of them were lost with it.
    pub(super) fn common_cause(
        &self,
        slot: WorkerSlot,
        job: JobKey,
    ) -> CommonCause {
        self.count_examined(self.workers.len());
        let worker = &self.workers[slot as usize];
        let others: Vec<&Worker> = self
            .workers
            .iter()
            .enumerate()
            .filter(|(other, _)| *other != slot as usize)
            .filter(|(_, other)| other.was_lost_with(worker))
            .map(|(_, other)| other)
            .filter(|other| !other.hosts_job(job))
            .collect();
        if others.len() < COMMON_CAUSE_WORKERS {
            return CommonCause::None;
        }
        let labels = worker.listing.labels.iter().map(Some);
        let is_group = labels.chain([None]).any(|label| {
            let is_peer = |other: &&Worker| {
                label.is_none_or(|label| other.has_label(label))
            };
            let lost = others.iter().filter(|other| is_peer(other)).count();
            let kept = self.workers.iter().filter(|other| {
                other.listed && other.reachable && !other.hosts_job(job)
            });
            let kept = kept.filter(is_peer).take(lost + 1).count();
            lost >= COMMON_CAUSE_WORKERS && lost >= kept
        });
        match is_group {
            true => CommonCause::Group,
            false => CommonCause::Several,
        }
    }
}
