use crate::{Epoch, TimeMs};

/// The durations of the leases under which workers run tasks, in
/// milliseconds.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct WorkerLeaseOptions {
    /// How long a worker's leases are valid after the timestamp that the
    /// worker put on an answer.
    pub lease_ms: u64,
    /// How long an owner waits beyond the end of a lease, for the drift
    /// between its clock and the worker's.
    pub margin_ms: u64,
    /// How long an owner that is cut off from the table, and so can't
    /// confirm its ownership, goes on renewing its workers' leases.
    pub detached_ms: u64,
    /// How long a request may be unanswered before the worker is suspected.
    pub suspect_ms: u64,
}

impl WorkerLeaseOptions {
    /// Returns the default durations: leases of 30 s with a margin of 1 s,
    /// renewed for up to 15 min by an owner that is cut off from the table,
    /// and suspicion after 3 s without an answer.
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

/// What the owner of a shard knows of the leases of one worker.
///
/// A worker's leases are valid for `lease_ms` after a timestamp of the
/// worker's clock, the stamp of an answer, which the owner returns with its
/// next request. The worker put the stamp on the answer before the owner
/// received it. Every lease that the stamp can renew has therefore expired
/// once `lease_ms` and the margin have passed since the owner received the
/// answer, however long a request was delayed on the network.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct WorkerLease {
    options: WorkerLeaseOptions,
    stamp: Option<Stamp>,
    /// When all leases that an earlier owner may have renewed have expired.
    predecessor_until: TimeMs,
    /// When the oldest unanswered request was sent.
    request_pending_since: Option<TimeMs>,
}

/// The timestamp of an answer of the worker.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
struct Stamp {
    /// The time on the worker's clock.
    stamp_ms: u64,
    /// When the owner received the answer, on the owner's clock.
    received_at: TimeMs,
}

impl WorkerLease {
    /// Returns the state for an owner that acquired the shard at
    /// `acquired_at` and has not reached the worker yet.
    ///
    /// An earlier owner may have been cut off from the table and may have
    /// gone on renewing leases for `detached_ms` after the end of its own
    /// lease, which was before `acquired_at`. The worker may go on running
    /// its tasks until one more lease and the margin have passed.
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

    /// Returns the worker's last stamp, to be sent back with the next
    /// request; `None` before the first answer.
    pub fn stamp_ms(&self) -> Option<u64> {
        self.stamp.map(|stamp| stamp.stamp_ms)
    }

    /// Returns how long the worker's leases are valid after a stamp, in
    /// milliseconds.
    pub fn lease_ms(&self) -> u64 {
        self.options.lease_ms
    }

    /// Returns whether the worker has answered since the shard was acquired.
    /// From then on it refuses every request of an earlier owner.
    pub fn is_reached(&self) -> bool {
        self.stamp.is_some()
    }

    /// Records that a request is being sent.
    pub fn on_sent(&mut self, now: TimeMs) {
        self.request_pending_since.get_or_insert(now);
    }

    /// Records an answer that carried `epoch` and `stamp_ms`, the time on the
    /// worker's clock. Returns whether the answer is valid: an answer with
    /// another epoch than the owner's `own` is ignored.
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
        if newer || self.has_expired(now) {
            self.stamp = Some(Stamp { stamp_ms, received_at: now });
        }
        true
    }

    /// Returns whether an answer of the worker is overdue, so that it should
    /// get no new tasks.
    pub fn is_suspected(&self, now: TimeMs) -> bool {
        self.request_pending_since.is_some_and(|since| {
            now.ms_since(since) >= self.options.suspect_ms
        })
    }

    /// Returns whether all tasks that ran under the worker's leases have
    /// certainly ended, although the worker has not reported so.
    pub fn has_expired(&self, now: TimeMs) -> bool {
        now >= self.expires_at()
    }

    /// Returns when the worker's leases will have expired if no further
    /// answer arrives.
    pub fn expires_at(&self) -> TimeMs {
        let wait_ms = self.options.lease_ms + self.options.margin_ms;
        self.stamp.map_or(self.predecessor_until, |stamp| {
            stamp.received_at.plus_ms(wait_ms)
        })
    }
}
