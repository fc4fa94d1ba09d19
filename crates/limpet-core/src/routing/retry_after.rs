use crate::TimeMs;

/// The shortest delay after which a refused caller is asked to retry.
const RETRY_MIN_MS: u64 = 1_000;

/// The longest delay after which a refused caller is asked to retry.
const RETRY_MAX_MS: u64 = 30_000;

/// The length of the windows in which requests are counted.
const WINDOW_MS: u64 = 1_000;

/// Computes the delay after which a refused caller should retry, so that
/// refused callers don't all return at once.
///
/// The delays are spread over a time that grows with the ratio of refused to
/// answered requests in the current and the previous window. Returning
/// callers then arrive about as fast as requests are answered.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RetryAfter {
    window_start: TimeMs,
    refused: u64,
    served: u64,
    previous_refused: u64,
    previous_served: u64,
}

impl RetryAfter {
    /// Records a request that was answered.
    pub fn record_served(&mut self, now: TimeMs) {
        self.advance_window(now);
        self.served += 1;
    }

    /// Records a refusal and returns the delay in milliseconds after which
    /// its caller should retry. `draw` is a random number.
    pub fn refuse(&mut self, now: TimeMs, draw: u64) -> u64 {
        self.advance_window(now);
        self.refused += 1;
        let spread_ms = self.spread_ms();
        RETRY_MIN_MS + draw % spread_ms
    }

    /// Returns the time over which delays are spread, in milliseconds.
    fn spread_ms(&self) -> u64 {
        let refused = self.refused + self.previous_refused;
        let served = (self.served + self.previous_served).max(1);
        let ms = refused.saturating_mul(WINDOW_MS) / served;
        ms.clamp(RETRY_MIN_MS, RETRY_MAX_MS - RETRY_MIN_MS)
    }

    /// Starts a new window if the current one is over. The counts of the
    /// current window become those of the previous one if the new window
    /// directly follows it.
    fn advance_window(&mut self, now: TimeMs) {
        let elapsed_ms = now.ms_since(self.window_start);
        if elapsed_ms < WINDOW_MS {
            return;
        }
        let adjacent = elapsed_ms < 2 * WINDOW_MS;
        self.previous_refused = if adjacent { self.refused } else { 0 };
        self.previous_served = if adjacent { self.served } else { 0 };
        self.refused = 0;
        self.served = 0;
        self.window_start = now;
    }
}
