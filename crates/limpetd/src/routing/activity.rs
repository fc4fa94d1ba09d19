//! The counts of requests in flight.

use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};

/// Counts the requests to services of all traffic threads of an instance, for
/// the graceful shutdown. Clones share the counts.
#[derive(Clone, Debug, Default)]
pub struct TrafficActivity {
    counts: Arc<Counts>,
}

#[derive(Debug, Default)]
struct Counts {
    /// How many requests have begun, including those that have ended.
    begun: AtomicU64,
    ended: AtomicU64,
}

impl TrafficActivity {
    /// Returns how many requests have begun so far.
    pub fn begun(&self) -> u64 {
        self.counts.begun.load(Ordering::SeqCst)
    }

    /// Returns how many requests are in flight. A request is in flight until
    /// its answer has been sent completely.
    pub fn in_flight(&self) -> u64 {
        // The order matters: a request that begins and ends between the two
        // reads makes the result too large, but never too small.
        let ended = self.counts.ended.load(Ordering::SeqCst);
        self.begun() - ended
    }

    pub(crate) fn begin(&self) {
        self.counts.begun.fetch_add(1, Ordering::SeqCst);
    }

    pub(crate) fn end(&self) {
        self.counts.ended.fetch_add(1, Ordering::SeqCst);
    }
}
