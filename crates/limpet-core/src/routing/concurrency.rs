use crate::TimeMs;

/// The factor by which a refusal or a timeout lowers the limit.
const DECREASE_FACTOR: f64 = 0.7;

/// The shortest interval between two decreases, so that a burst of refusals
/// with one cause lowers the limit once.
const DECREASE_GAP_MS: u64 = 50;

/// The pause after a first refusal; it doubles with each further one.
const PAUSE_MIN_MS: u64 = 5;

/// The longest pause after consecutive refusals.
const PAUSE_MAX_MS: u64 = 1_000;

/// The number of consecutive refusals from which a paused runner counts as
/// refusing.
const PERSISTENT_REFUSALS: u32 = 3;

/// The number of requests that a runner may have in flight, adapted to its
/// refusals and timeouts by additive increase and multiplicative decrease.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ConcurrencyLimit {
    limit: f64,
    /// The upper bound of the limit.
    max: f64,
    decreased_at: Option<TimeMs>,
    /// The number of refusals since the last answer.
    refusals_in_row: u32,
    paused_until: TimeMs,
}

impl ConcurrencyLimit {
    /// Returns a limit that starts at its upper bound, which is at least 1.
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

    /// Sets the upper bound. The limit rises by as much as the bound rises,
    /// and never exceeds it.
    pub fn set_max(&mut self, max: u32) {
        let max = f64::from(max.max(1));
        if max > self.max {
            self.limit += max - self.max;
        }
        self.max = max;
        self.limit = self.limit.min(max);
    }

    /// Records an answer, which ends a pause. The limit rises by one for
    /// about as many answers as it allows requests.
    pub fn record_answer(&mut self) {
        self.refusals_in_row = 0;
        self.paused_until = TimeMs::ZERO;
        self.limit = (self.limit + 1.0 / self.limit).min(self.max);
    }

    /// Records a refusal for lack of capacity while `in_flight` other
    /// requests were in flight. The runner pauses for a time that doubles
    /// with each consecutive refusal.
    pub fn record_refusal(&mut self, in_flight: u32, now: TimeMs) {
        let shift = self.refusals_in_row.min(16);
        let pause_ms = (PAUSE_MIN_MS << shift).min(PAUSE_MAX_MS);
        self.paused_until = now.plus_ms(pause_ms);
        self.refusals_in_row += 1;
        self.decrease(in_flight, now);
    }

    /// Records a timeout while `in_flight` other requests were in flight.
    pub fn record_timeout(&mut self, in_flight: u32, now: TimeMs) {
        self.decrease(in_flight, now);
    }

    /// Lowers the limit, starting from the number of requests that were
    /// really in flight. A limit far above that number was never reached and
    /// says nothing about the runner's capacity.
    fn decrease(&mut self, in_flight: u32, now: TimeMs) {
        let recently_decreased = self
            .decreased_at
            .is_some_and(|at| now.ms_since(at) < DECREASE_GAP_MS);
        if !recently_decreased {
            self.decreased_at = Some(now);
            let used = self.limit.min(f64::from(in_flight) + 1.0);
            self.limit = (used * DECREASE_FACTOR).max(1.0);
        }
    }

    /// Returns whether a runner with `in_flight` requests may get another
    /// one: it isn't paused and is below its limit.
    pub fn allows(&self, in_flight: u32, now: TimeMs) -> bool {
        now >= self.paused_until && in_flight < self.limit as u32
    }

    /// Returns whether the runner is paused after at least three consecutive
    /// refusals.
    pub fn is_refusing(&self, now: TimeMs) -> bool {
        self.refusals_in_row >= PERSISTENT_REFUSALS && now < self.paused_until
    }

    /// Returns the limit, rounded down.
    pub fn limit(&self) -> u32 {
        self.limit as u32
    }
}
