use limpet_core::{Resources, ShardId, TimeMs};

use super::seen::Attempt;

/// A task that runs on a worker in memory.
#[derive(Clone, Debug)]
pub(super) struct MemoryTask {
    pub(super) attempt: Attempt,
    pub(super) shard: ShardId,
    pub(super) size: Resources,
    pub(super) started_at: TimeMs,
    /// When it finishes by itself; `None` if it runs until it is stopped.
    pub(super) finish_at: Option<TimeMs>,
    pub(super) throttled: bool,
    /// Whether it fails instead of succeeding at `finish_at`.
    pub(super) fails: bool,
}

impl MemoryTask {
    /// Returns its reported use: nothing for the first `lag_ms`, and then
    /// `usage_percent` of its size, or at most its size if it is throttled.
    /// From then on it uses all of its accelerators, whatever the percentage.
    pub(super) fn used(
        &self,
        now: TimeMs,
        lag_ms: u64,
        usage_percent: u64,
    ) -> Resources {
        if now.ms_since(self.started_at) < lag_ms {
            return Resources::ZERO;
        }
        let percent = if self.throttled {
            usage_percent.min(100)
        } else {
            usage_percent
        };
        let scaled = |amount: u64| amount.saturating_mul(percent) / 100;
        Resources {
            cores_milli: scaled(self.size.cores_milli),
            memory_mb: scaled(self.size.memory_mb),
            accelerators: self.size.accelerators,
        }
    }
}
