/// A part of the platform that can fail independently of the others.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Port {
    /// The transactional table.
    Table,
    /// The object store.
    Objects,
    /// The directory of members.
    Directory,
    /// The workers.
    Workers,
}

/// The faults that are injected into calls. The default is none.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Every call is refused with an answer that tells it had no effect.
    pub down: bool,
    /// The connection of every call is closed before the call has an effect,
    /// so its caller can't know the outcome.
    pub cut: bool,
    /// Every call is held until this fault is removed, and takes effect then,
    /// even if its caller has timed out.
    pub paused: bool,
    /// How long each call is held before it takes effect, in milliseconds.
    pub slow_ms: u64,
    /// The answer to every n-th call is lost after the call took effect; 0 for
    /// none.
    pub lost_every: u32,
    /// Every n-th call takes effect a second time shortly after the first; 0
    /// for none.
    pub duplicate_every: u32,
    /// Every n-th call is held until a later call to the same part has taken
    /// effect; 0 for none.
    pub reorder_every: u32,
    /// The longest that a call is held for a later one, in milliseconds.
    pub reorder_limit_ms: u64,
}

/// The default of [`Faults::reorder_limit_ms`].
const REORDER_LIMIT_MS: u64 = 200;

impl Default for Faults {
    fn default() -> Faults {
        Faults {
            down: false,
            cut: false,
            paused: false,
            slow_ms: 0,
            lost_every: 0,
            duplicate_every: 0,
            reorder_every: 0,
            reorder_limit_ms: REORDER_LIMIT_MS,
        }
    }
}

impl Faults {
    /// Returns the combination of both: each fault that either has, and the
    /// longer delay or shorter period of the two.
    pub fn merge(&self, other: &Faults) -> Faults {
        Faults {
            down: self.down || other.down,
            cut: self.cut || other.cut,
            paused: self.paused || other.paused,
            slow_ms: self.slow_ms.max(other.slow_ms),
            lost_every: shorter_period(self.lost_every, other.lost_every),
            duplicate_every: shorter_period(
                self.duplicate_every,
                other.duplicate_every,
            ),
            reorder_every: shorter_period(
                self.reorder_every,
                other.reorder_every,
            ),
            reorder_limit_ms: self
                .reorder_limit_ms
                .max(other.reorder_limit_ms),
        }
    }
}

/// Returns the shorter of two periods, where 0 means never.
fn shorter_period(first: u32, second: u32) -> u32 {
    match (first, second) {
        (0, period) | (period, 0) => period,
        _ => first.min(second),
    }
}
