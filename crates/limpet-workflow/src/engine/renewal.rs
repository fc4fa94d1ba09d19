//! Renewals of leases before the claims of earlier owners are restored.
//!
//! Until then a run that has a claim can't be told from one that has none, so
//! a report must not change jobs, claims or what is known of ends.

use limpet_core::TimeMs;

use super::{Engine, fleet::max_local_ms};
use crate::worker::{HoldReport, WorkerSlot};

impl Engine {
    /// Extends a worker's lease like [`Engine::grant_hold`], but whether or
    /// not the worker counts as reachable. Returns `None` if its clock is
    /// unknown: before [`Engine::record_clock`] and after
    /// [`Engine::forget_clock`].
    pub fn renew_hold(
        &mut self,
        slot: WorkerSlot,
        now: TimeMs,
    ) -> Option<u64> {
        let worker = &self.workers[slot as usize];
        (worker.clock_seen_at != TimeMs::ZERO)
            .then(|| self.extend_lease(slot, now))
    }

    /// Records the clock of a worker from its reply to a hold request. The
    /// rest of the reply isn't applied: the worker stays unreachable, and its
    /// ends can't be acknowledged. The ends are kept in case that it leaves
    /// before it can be polled after the load.
    ///
    /// Returns whether the clock is known. It isn't if another incarnation
    /// replied, on which nothing runs that has a claim.
    pub fn record_clock(
        &mut self,
        slot: WorkerSlot,
        report: &HoldReport,
        now: TimeMs,
    ) -> bool {
        let known = self.workers[slot as usize].listing.incarnation;
        if known != 0 && report.incarnation.is_some_and(|i| i != known) {
            self.assume_longest_lease(slot, now);
            self.forget_clock(slot);
            return false;
        }
        let worker = &mut self.workers[slot as usize];
        worker.clock_ms = report.clock_ms;
        worker.clock_seen_at = now;
        worker.unread_ends.clone_from(&report.ended);
        true
    }

    /// Records that a worker gave no reply. It may have restarted, with a new
    /// clock.
    pub fn forget_clock(&mut self, slot: WorkerSlot) {
        self.workers[slot as usize].clock_seen_at = TimeMs::ZERO;
    }

    /// Extends a worker's lease to `hold_ms` from `now`, and returns the
    /// expiry on the worker's clock.
    pub(super) fn extend_lease(
        &mut self,
        slot: WorkerSlot,
        now: TimeMs,
    ) -> u64 {
        let hold_ms = self.options.hold_ms;
        let worker = &mut self.workers[slot as usize];
        worker.lease_expires_at =
            worker.lease_expires_at.max(now.plus_ms(max_local_ms(hold_ms)));
        let passed_ms = now.ms_since(worker.clock_seen_at);
        worker.clock_ms + passed_ms + hold_ms
    }
}
