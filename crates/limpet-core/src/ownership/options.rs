/// The durations of a shard lease, in milliseconds.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct LeaseOptions {
    pub(super) lease_ms: u64,
    pub(super) margin_ms: u64,
    pub(super) renew_ms: u64,
}

impl LeaseOptions {
    /// Returns the default durations: a lease of 2 s that is renewed every
    /// 500 ms, and a margin of 250 ms for candidates.
    pub const fn new() -> LeaseOptions {
        LeaseOptions { lease_ms: 2_000, margin_ms: 250, renew_ms: 500 }
    }

    /// Sets how long the lease is valid, counted from when a renewal was
    /// sent.
    #[must_use]
    pub const fn lease_ms(mut self, lease_ms: u64) -> LeaseOptions {
        self.lease_ms = lease_ms;
        self
    }

    /// Sets how long a candidate waits beyond the end of the lease. The
    /// margin has to exceed the drift between the clocks of two instances
    /// over one lease.
    #[must_use]
    pub const fn margin_ms(mut self, margin_ms: u64) -> LeaseOptions {
        self.margin_ms = margin_ms;
        self
    }

    /// Sets the interval between renewals.
    #[must_use]
    pub const fn renew_ms(mut self, renew_ms: u64) -> LeaseOptions {
        self.renew_ms = renew_ms;
        self
    }
}

impl Default for LeaseOptions {
    fn default() -> LeaseOptions {
        LeaseOptions::new()
    }
}
