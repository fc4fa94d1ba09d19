/// The times of a shard lease.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct LeaseOptions {
    pub(super) lease_ms: u64,
    pub(super) margin_ms: u64,
    pub(super) renew_ms: u64,
}

impl LeaseOptions {
    /// Returns a lease of two seconds, renewed twice a second, after which
    /// a candidate waits a further quarter of a second.
    pub const fn new() -> LeaseOptions {
        LeaseOptions { lease_ms: 2_000, margin_ms: 250, renew_ms: 500 }
    }

    /// Sets how long a renewal holds from when it was sent.
    #[must_use]
    pub const fn lease_ms(mut self, lease_ms: u64) -> LeaseOptions {
        self.lease_ms = lease_ms;
        self
    }

    /// Sets what a candidate waits beyond the lease, which has to exceed
    /// the difference between two instances' clocks over one lease.
    #[must_use]
    pub const fn margin_ms(mut self, margin_ms: u64) -> LeaseOptions {
        self.margin_ms = margin_ms;
        self
    }

    /// Sets the time between two renewals.
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
