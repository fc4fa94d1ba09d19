use crate::TimeMs;

/// How long a new runner takes to get its full share of the load.
const WARM_UP_MS: u64 = 10_000;

/// Limits the slots in use of a new runner while it warms up.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SlowStart {
    started_at: Option<TimeMs>,
}

impl SlowStart {
    /// Returns the state of a runner that is warm already.
    pub const fn warm() -> SlowStart {
        SlowStart { started_at: None }
    }

    /// Returns the state of a runner that was first listed at `now`.
    pub const fn cold(now: TimeMs) -> SlowStart {
        SlowStart { started_at: Some(now) }
    }

    /// Returns how many of `slots` may be used at `now`. The number rises
    /// from a quarter to all of them over 10 s, and is at least 1 unless
    /// `slots` is 0.
    pub fn allowed(&self, slots: u32, now: TimeMs) -> u32 {
        let Some(started_at) = self.started_at else { return slots };
        let elapsed_ms = now.ms_since(started_at).min(WARM_UP_MS);
        let percent = 25 + 75 * elapsed_ms / WARM_UP_MS;
        let allowed = u64::from(slots) * percent / 100;
        (allowed as u32).max(slots.min(1))
    }
}
