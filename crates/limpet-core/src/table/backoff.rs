/// Exponential back-off with full jitter for calls to a store.
///
/// Each wait is drawn uniformly from 0 to a bound that doubles with each
/// failure. Drawing from the whole range spreads the retries of different
/// instances, so that a store that recovers doesn't get all of them at once;
/// see `docs/RECOVERY.md`.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Backoff {
    base_ms: u64,
    cap_ms: u64,
    failures: u32,
}

impl Backoff {
    /// Returns a back-off whose first bound is `base_ms` milliseconds and
    /// whose bounds never exceed `cap_ms`.
    pub const fn new(base_ms: u64, cap_ms: u64) -> Backoff {
        Backoff { base_ms, cap_ms, failures: 0 }
    }

    /// Records a failure and returns the wait before the next attempt, in
    /// milliseconds. `draw` is a random number from 0 up to, but not
    /// including, 1.
    ///
    /// # Examples
    ///
    /// ```
    /// use limpet_core::table::Backoff;
    ///
    /// let mut backoff = Backoff::new(100, 1_000);
    /// assert_eq!(backoff.fail(0.5), 50);
    /// assert_eq!(backoff.fail(0.5), 100);
    /// backoff.succeed();
    /// assert_eq!(backoff.fail(0.5), 50);
    /// ```
    pub fn fail(&mut self, draw: f64) -> u64 {
        let doubled = self.base_ms.saturating_mul(1 << self.failures.min(32));
        let bound_ms = doubled.min(self.cap_ms);
        self.failures = self.failures.saturating_add(1);
        (bound_ms as f64 * draw.clamp(0.0, 1.0)) as u64
    }

    /// Records a success, which resets the bound.
    pub fn succeed(&mut self) {
        self.failures = 0;
    }

    /// Returns the number of consecutive failures.
    pub const fn failures(&self) -> u32 {
        self.failures
    }
}
