use crate::TimeMs;

/// The factor for the limit after a refusal or a timeout.
const DECREASE: f64 = 0.7;

/// How long after one decrease the next one is held back, so that a burst
/// of refusals for one cause counts once.
const DECREASE_GAP_MS: u64 = 50;

/// The first pause after a refusal.
const PAUSE_MIN_MS: u64 = 5;

/// The longest pause after refusals in a row.
const PAUSE_MAX_MS: u64 = 1_000;

/// Refusals in a row after which nothing is expected of a paused runner.
const PERSISTENT_REFUSALS: u32 = 3;

/// How many requests a runner may be given at once, learnt from what it
/// refuses: additive increase, multiplicative decrease.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ConcurrencyLimit {
    limit: f64,
    max: f64,
    decreased_at: Option<TimeMs>,
    refusals_in_row: u32,
    paused_until: TimeMs,
}

impl ConcurrencyLimit {
    /// Returns a limit that starts at its upper bound.
    pub fn new(max: u32) -> ConcurrencyLimit {
        let max = f64::from(max.max(1));
        ConcurrencyLimit {
            limit: max,
            max,
            decreased_at: None,
            refusals_in_row: 0,
            paused_until: TimeMs::ZERO,
        }
    }

    /// Sets the upper bound.
    pub fn set_max(&mut self, max: u32) {
        let max = f64::from(max.max(1));
        if max > self.max {
            self.limit += max - self.max;
        }
        self.max = max;
        self.limit = self.limit.min(max);
    }

    /// Takes in an answer.
    pub fn record_answer(&mut self) {
        self.refusals_in_row = 0;
        self.paused_until = TimeMs::ZERO;
        self.limit = (self.limit + 1.0 / self.limit).min(self.max);
    }

    /// Takes in a refusal for lack of room beside `in_flight` others.
    pub fn record_refusal(&mut self, in_flight: u32, now: TimeMs) {
        let shift = self.refusals_in_row.min(16);
        let pause_ms = (PAUSE_MIN_MS << shift).min(PAUSE_MAX_MS);
        self.paused_until = now.plus_ms(pause_ms);
        self.refusals_in_row += 1;
        self.decrease(in_flight, now);
    }

    /// Takes in a timeout beside `in_flight` others.
    pub fn record_timeout(&mut self, in_flight: u32, now: TimeMs) {
        self.decrease(in_flight, now);
    }

    /// Decreases from what was really under way: a limit far above it has
    /// taught nothing.
    fn decrease(&mut self, in_flight: u32, now: TimeMs) {
        let recently_decreased = self
            .decreased_at
            .is_some_and(|at| now.ms_since(at) < DECREASE_GAP_MS);
        if !recently_decreased {
            self.decreased_at = Some(now);
            let used = self.limit.min(f64::from(in_flight) + 1.0);
            self.limit = (used * DECREASE).max(1.0);
        }
    }

    /// Says whether a runner with `in_flight` requests may be given one
    /// more.
    pub fn allows(&self, in_flight: u32, now: TimeMs) -> bool {
        now >= self.paused_until && in_flight < self.limit as u32
    }

    /// Says whether the runner pauses after it refused several in a row.
    pub fn is_refusing(&self, now: TimeMs) -> bool {
        self.refusals_in_row >= PERSISTENT_REFUSALS && now < self.paused_until
    }

    /// Returns the limit as a whole number.
    pub fn limit(&self) -> u32 {
        self.limit as u32
    }
}
