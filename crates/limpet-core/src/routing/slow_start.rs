use crate::TimeMs;

/// How long a new runner takes to reach its full part of the load.
const WARM_UP_MS: u64 = 10_000;

/// The part of its slots that a runner is given while it warms up.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SlowStart {
    started_at: Option<TimeMs>,
}

impl SlowStart {
    /// Returns a runner that needs no warming up.
    pub const fn warm() -> SlowStart {
        SlowStart { started_at: None }
    }

    /// Returns a runner that was first seen at `now`.
    pub const fn cold(now: TimeMs) -> SlowStart {
        SlowStart { started_at: Some(now) }
    }

    /// Returns how many of `slots` may be used: a quarter at first, all of
    /// them at the end, and never none of some.
    pub fn allowed(&self, slots: u32, now: TimeMs) -> u32 {
        let Some(started_at) = self.started_at else { return slots };
        let elapsed_ms = now.ms_since(started_at).min(WARM_UP_MS);
        let percent = 25 + 75 * elapsed_ms / WARM_UP_MS;
        let allowed = u64::from(slots) * percent / 100;
        (allowed as u32).max(slots.min(1))
    }
}
