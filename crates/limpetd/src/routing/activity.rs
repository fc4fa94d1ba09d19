use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};

/// How many requests the traffic threads of one instance have, for the
/// thread that shuts the instance down. Clones share the counts.
#[derive(Clone, Debug, Default)]
pub struct TrafficActivity {
    counts: Arc<Counts>,
}

#[derive(Debug, Default)]
struct Counts {
    begun: AtomicU64,
    ended: AtomicU64,
}

impl TrafficActivity {
    /// Returns how many requests were taken in so far.
    pub fn begun(&self) -> u64 {
        self.counts.begun.load(Ordering::SeqCst)
    }

    /// Returns how many requests are under way, the ones whose answer is
    /// still being sent included.
    pub fn in_flight(&self) -> u64 {
        // Read in this order, a request that begins between the two makes
        // the difference larger and never too small.
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
