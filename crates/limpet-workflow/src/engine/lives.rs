//! Tells the lives of a worker apart.
//!
//! A worker that has restarted under its id takes calls that were meant for
//! its former life: neither the id nor the request header that names it differs.
//! Reports tell the start of their life, and the clock in any reply tells lives
//! apart as well, since it starts anew. A lease by the former life's clock may
//! be far ahead of the new one, so that the new life shortens it to the longest
//! that workers take. `docs/design/worker-lives.md` argues this.

use limpet_core::TimeMs;

use super::{
    Engine, Moment,
    fleet::{CLOCK_DRIFT, max_local_ms},
};
use crate::{
    effect::{Effect, LifeEvidence},
    worker::{Worker, WorkerSlot},
};

/// The bits of a fencing token that count the lives of one worker within a
/// term. The term is in the bits above.
const LIFE_BITS: u32 = 16;
/// The largest count of lives, which further ones share.
const MAX_LIVES: u64 = (1 << LIFE_BITS) - 1;
/// How far a worker's clock may be behind its expected time, besides the drift,
/// before it counts as that of another life.
const BEHIND_MARGIN_MS: u64 = 50;
/// How far it may be ahead: the latest reply and this one may have been on
/// their way for as long as calls last.
const AHEAD_MARGIN_MS: u64 = 2_000;

impl Worker {
    /// Returns the fencing token of calls to its present life by the owner of
    /// a term. It is higher than that of calls to its former lives, and than
    /// those of earlier terms.
    fn fencing_token(&self, term: u64) -> u64 {
        (term << LIFE_BITS) | self.lives.min(MAX_LIVES)
    }

    /// Returns whether a reply to a call that was sent at `sent_at` shows that
    /// the present life has seen its fencing token. Calls to former lives have
    /// no effect on it any more then.
    pub(super) fn is_fenced(&self, sent_at: TimeMs) -> bool {
        self.fence_raised_at.is_none_or(|raised_at| sent_at > raised_at)
    }

    /// Returns the time that its clock shows if a reply with `clock_ms`, to a
    /// call that was sent at `sent_at`, is of another life than the latest
    /// one before.
    fn deviates(
        &self,
        clock_ms: u64,
        sent_at: TimeMs,
        now: TimeMs,
    ) -> Option<u64> {
        if self.clock_seen_at == TimeMs::ZERO {
            return None;
        }
        let passed_ms = |until: TimeMs| until.ms_since(self.clock_seen_at);
        let least_ms = passed_ms(sent_at) as f64 * (1.0 - CLOCK_DRIFT);
        let least_ms = self.clock_ms + least_ms as u64;
        let most_ms = passed_ms(now) as f64 * (1.0 + CLOCK_DRIFT);
        let most_ms = self.clock_ms + most_ms as u64;
        let is_same = (least_ms.saturating_sub(BEHIND_MARGIN_MS)
            ..=most_ms + AHEAD_MARGIN_MS)
            .contains(&clock_ms);
        (!is_same).then_some(self.clock_ms + passed_ms(now))
    }
}

impl Engine {
    /// Returns the fencing token of a call to a worker by the owner of a term.
    pub fn fencing_token(&self, slot: WorkerSlot, term: u64) -> u64 {
        self.workers[slot as usize].fencing_token(term)
    }

    /// Returns how long the lease of a worker may still last, in milliseconds.
    pub fn lease_left_ms(&self, slot: WorkerSlot, now: TimeMs) -> u64 {
        self.workers[slot as usize].lease_expires_at.ms_since(now)
    }

    /// Applies the time on a worker's clock from the reply to a call that was
    /// sent at `sent_at` and that tells nothing else of its life. Returns
    /// whether another life than the known one has replied.
    pub fn observe_clock(
        &mut self,
        slot: WorkerSlot,
        clock_ms: u64,
        sent_at: TimeMs,
        now: Moment,
    ) -> bool {
        let worker = &self.workers[slot as usize];
        let expected_ms = worker.deviates(clock_ms, sent_at, now.steady);
        let Some(expected_ms) = expected_ms else { return false };
        let evidence = LifeEvidence::Clock { clock_ms, expected_ms };
        self.begin_life(slot, evidence, now);
        self.release_unsent(slot, now);
        true
    }

    /// Records that a worker has a new life, which may have taken calls that
    /// were meant for former ones. It gets no tasks and no lease until it has
    /// replied to a call with a higher fencing token.
    pub(super) fn begin_life(
        &mut self,
        slot: WorkerSlot,
        evidence: LifeEvidence,
        now: Moment,
    ) {
        let worker = &mut self.workers[slot as usize];
        worker.lives += 1;
        worker.fence_raised_at = Some(now.steady);
        worker.reachable = false;
        worker.clock_seen_at = TimeMs::ZERO;
        self.assume_longest_lease(slot, now.steady);
        self.effects.push(Effect::LifeBegan { worker: slot, evidence });
    }

    /// Records that a worker's present life has seen its fencing token. What
    /// was meant for former lives may have granted it a lease until now.
    pub(super) fn confirm_fence(&mut self, slot: WorkerSlot, now: TimeMs) {
        let worker = &mut self.workers[slot as usize];
        if worker.fence_raised_at.take().is_some() {
            self.assume_longest_lease(slot, now);
        }
    }

    /// Records that calls which were meant for former lives of a worker may
    /// have granted a lease to the present one until now, of any length that
    /// the worker takes.
    pub(super) fn assume_longest_lease(
        &mut self,
        slot: WorkerSlot,
        now: TimeMs,
    ) {
        let longest_ms = max_local_ms(self.options.max_hold_ms);
        let worker = &mut self.workers[slot as usize];
        worker.lease_expires_at =
            worker.lease_expires_at.max(now.plus_ms(longest_ms));
    }
}
