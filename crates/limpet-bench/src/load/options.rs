/// The rate and duration of a load.
///
/// # Examples
///
/// ```
/// use limpet_bench::load::LoadOptions;
///
/// let options = LoadOptions::new(2_000.0, 10_000);
/// assert_eq!(options.request_count(), 20_000);
/// ```
#[derive(Clone, Copy, Debug)]
pub struct LoadOptions {
    rate_per_s: f64,
    duration_ms: u64,
    grace_ms: u64,
}

/// The default time to wait for answers after the last request was sent.
const DEFAULT_GRACE_MS: u64 = 5_000;

impl LoadOptions {
    /// Returns the options for a steady rate, in requests a second, over a
    /// duration in milliseconds. The grace period is 5 s.
    pub fn new(rate_per_s: f64, duration_ms: u64) -> LoadOptions {
        LoadOptions { rate_per_s, duration_ms, grace_ms: DEFAULT_GRACE_MS }
    }

    /// Sets the grace period: how long to wait for answers after the last
    /// request was sent.
    pub fn grace_ms(mut self, grace_ms: u64) -> LoadOptions {
        self.grace_ms = grace_ms;
        self
    }

    /// Returns the rate in requests a second.
    pub fn rate_per_s(&self) -> f64 {
        self.rate_per_s
    }

    /// Returns the grace period in milliseconds.
    pub fn get_grace_ms(&self) -> u64 {
        self.grace_ms
    }

    /// Returns the total number of requests.
    pub fn request_count(&self) -> u64 {
        (self.rate_per_s * self.duration_ms as f64 / 1_000.0) as u64
    }
}
