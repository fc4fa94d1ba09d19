use limpet_core::{Resources, ShardId, TimeMs};

use super::seen::Attempt;

/// A task that runs at a worker in memory.
#[derive(Clone, Debug)]
pub(super) struct MemoryTask {
    pub(super) attempt: Attempt,
    pub(super) shard: ShardId,
    pub(super) size: Resources,
    pub(super) started_at: TimeMs,
    /// When it will have finished its work; `None` for one that runs until
    /// it is stopped.
    pub(super) finish_at: Option<TimeMs>,
    pub(super) throttled: bool,
    /// Whether it fails when it finishes.
    pub(super) fails: bool,
}

impl MemoryTask {
    /// Returns what it uses, as seen `lag_ms` ago, where it uses
    /// `usage_percent` of its size unless it was throttled to its size.
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
        let part = |amount: u64| amount.saturating_mul(percent) / 100;
        Resources {
            cores_milli: part(self.size.cores_milli),
            memory_mb: part(self.size.memory_mb),
            accelerators: self.size.accelerators,
        }
    }
}
