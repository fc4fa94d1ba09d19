use crate::{Epoch, TimeMs};

/// The times of the leases under which workers run tasks.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct WorkerLeaseOptions {
    /// How long a worker's leases run after the stamp of an answer.
    pub lease_ms: u64,
    /// What is waited beyond a lease, for clocks that run unevenly.
    pub margin_ms: u64,
    /// How long an owner that can't confirm its ownership goes on renewing
    /// its workers' leases.
    pub detached_ms: u64,
    /// How long an answer may be overdue before the worker is suspected.
    pub suspect_ms: u64,
}

impl WorkerLeaseOptions {
    /// Returns leases of 30 s, kept for a quarter of an hour by an owner
    /// that is cut off, and suspicion after 3 s.
    pub const fn new() -> WorkerLeaseOptions {
        WorkerLeaseOptions {
            lease_ms: 30_000,
            margin_ms: 1_000,
            detached_ms: 900_000,
            suspect_ms: 3_000,
        }
    }
}

impl Default for WorkerLeaseOptions {
    fn default() -> WorkerLeaseOptions {
        WorkerLeaseOptions::new()
    }
}

/// What the owner of a shard knows of one worker's leases.
///
/// A worker's leases run for `lease_ms` after a stamp that the worker put
/// on an answer. The stamp is older than our receipt of it, so the leases
/// that it can have renewed have lapsed `lease_ms` and the margin after
/// that receipt, however long a request was under way.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct WorkerLease {
    options: WorkerLeaseOptions,
    stamp: Option<Stamp>,
    /// When whatever an earlier owner may have renewed has lapsed.
    predecessor_until: TimeMs,
    /// Since when a request waits for its answer.
    request_pending_since: Option<TimeMs>,
}

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
struct Stamp {
    stamp_ms: u64,
    received_at: TimeMs,
}

impl WorkerLease {
    /// Returns the knowledge of an owner that acquired the shard at
    /// `acquired_at` and has not reached the worker yet.
    ///
    /// An earlier owner may have been cut off from the table and may have
    /// gone on renewing for `detached_ms` after its own lease, which had ended
    /// by `acquired_at`. Until a lease after that has passed, the worker
    /// may run what it ran.
    pub fn new(
        options: WorkerLeaseOptions,
        acquired_at: TimeMs,
    ) -> WorkerLease {
        let wait_ms =
            options.detached_ms + options.lease_ms + options.margin_ms;
        WorkerLease {
            options,
            stamp: None,
            predecessor_until: acquired_at.plus_ms(wait_ms),
            request_pending_since: None,
        }
    }

    /// Returns the stamp to put on the next request.
    pub fn stamp_ms(&self) -> Option<u64> {
        self.stamp.map(|stamp| stamp.stamp_ms)
    }

    /// Returns how long the leases run after the stamp.
    pub fn lease_ms(&self) -> u64 {
        self.options.lease_ms
    }

    /// Returns whether the worker was reached since the shard was acquired, so
    /// that it refuses everything from earlier owners.
    pub fn is_reached(&self) -> bool {
        self.stamp.is_some()
    }

    /// Notes that a request leaves.
    pub fn on_sent(&mut self, now: TimeMs) {
        self.request_pending_since.get_or_insert(now);
    }

    /// Notes an answer that carried `epoch`. Returns whether it counts: an
    /// answer with another epoch than the owner's own doesn't.
    pub fn on_answer(
        &mut self,
        own: Epoch,
        epoch: Epoch,
        stamp_ms: u64,
        now: TimeMs,
    ) -> bool {
        if epoch != own {
            return false;
        }
        self.request_pending_since = None;
        let newer = self.stamp.is_none_or(|stamp| stamp_ms > stamp.stamp_ms);
        if newer || self.has_lapsed(now) {
            self.stamp = Some(Stamp { stamp_ms, received_at: now });
        }
        true
    }

    /// Returns whether the worker's answer is overdue, so that nothing new
    /// should go there.
    pub fn is_suspected(&self, now: TimeMs) -> bool {
        self.request_pending_since.is_some_and(|since| {
            now.ms_since(since) >= self.options.suspect_ms
        })
    }

    /// Returns whether everything that ran at the worker under a lease has
    /// certainly ended, though the worker has not said so.
    pub fn has_lapsed(&self, now: TimeMs) -> bool {
        now >= self.lapses_at()
    }

    /// Returns when the leases will have lapsed if no answer arrives.
    pub fn lapses_at(&self) -> TimeMs {
        let wait_ms = self.options.lease_ms + self.options.margin_ms;
        self.stamp.map_or(self.predecessor_until, |stamp| {
            stamp.received_at.plus_ms(wait_ms)
        })
    }
}
