/// A part of the platform that can fail by itself.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Port {
    /// The transactional table.
    Table,
    /// The object store.
    Objects,
    /// The list of members.
    Directory,
    /// The workers.
    Workers,
}

/// What goes wrong with calls.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Every call is refused, and the refusal says that it had no effect.
    pub down: bool,
    /// Every call is cut off before it has an effect; the caller can't
    /// tell.
    pub cut: bool,
    /// Every call is held until this is over, and then takes effect, even
    /// if its caller has given up.
    pub paused: bool,
    /// How long each call is held before it takes effect.
    pub slow_ms: u64,
    /// The answer to every so many-th call is lost after it took effect;
    /// 0 for none.
    pub lost_every: u32,
    /// Every so many-th call takes effect a second time a little later; 0
    /// for none.
    pub duplicate_every: u32,
    /// Every so many-th call is held until a later call has taken effect;
    /// 0 for none.
    pub reorder_every: u32,
    /// The longest that a call is held for a later one.
    pub reorder_limit_ms: u64,
}

/// The longest that a call is held for a later one unless the switch says
/// otherwise.
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
    /// Returns the faults of both.
    pub fn and(&self, other: &Faults) -> Faults {
        Faults {
            down: self.down || other.down,
            cut: self.cut || other.cut,
            paused: self.paused || other.paused,
            slow_ms: self.slow_ms.max(other.slow_ms),
            lost_every: more_often(self.lost_every, other.lost_every),
            duplicate_every: more_often(
                self.duplicate_every,
                other.duplicate_every,
            ),
            reorder_every: more_often(self.reorder_every, other.reorder_every),
            reorder_limit_ms: self
                .reorder_limit_ms
                .max(other.reorder_limit_ms),
        }
    }
}

/// Returns the smaller period; 0 stands for never.
fn more_often(one: u32, other: u32) -> u32 {
    match (one, other) {
        (0, period) | (period, 0) => period,
        _ => one.min(other),
    }
}
