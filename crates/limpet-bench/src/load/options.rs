/// What load to offer.
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

/// How long answers are waited for after the last request has left.
const GRACE_MS: u64 = 5_000;

impl LoadOptions {
    /// Returns the options for a steady rate over a time.
    pub fn new(rate_per_s: f64, duration_ms: u64) -> LoadOptions {
        LoadOptions { rate_per_s, duration_ms, grace_ms: GRACE_MS }
    }

    /// Sets how long answers are waited for after the last request left.
    pub fn grace_ms(mut self, grace_ms: u64) -> LoadOptions {
        self.grace_ms = grace_ms;
        self
    }

    /// Returns the requests a second.
    pub fn get_rate_per_s(&self) -> f64 {
        self.rate_per_s
    }

    /// Returns how long answers are waited for after the last request.
    pub fn get_grace_ms(&self) -> u64 {
        self.grace_ms
    }

    /// Returns how many requests are sent altogether.
    pub fn request_count(&self) -> u64 {
        (self.rate_per_s * self.duration_ms as f64 / 1_000.0) as u64
    }
}
