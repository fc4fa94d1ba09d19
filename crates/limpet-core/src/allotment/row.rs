use std::collections::BTreeMap;

use crate::{Resources, Revision, ShardId, TeamName};

/// The value of a team's allotment row, which holds the allotments of all
/// shards.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct AllotmentRow {
    /// The highest revision of the configuration under which the row was
    /// written. An owner with an older revision may only reduce its
    /// allotment, because the limit that it knows may be out of date.
    pub revision: Revision,
    /// The allotment of each shard: what it may run at once.
    pub shards: BTreeMap<ShardId, Resources>,
    /// What shards need beyond their allotments, so that other shards release
    /// what they don't use.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub wanted: BTreeMap<ShardId, Resources>,
}

impl AllotmentRow {
    /// Returns a team's initial row, with an equal part of its limit for
    /// each shard.
    pub fn divide(
        limit: &Resources,
        shards: &[ShardId],
        revision: Revision,
    ) -> AllotmentRow {
        let part = equal_part(limit, shards.len());
        AllotmentRow {
            revision,
            shards: shards.iter().map(|&shard| (shard, part)).collect(),
            wanted: BTreeMap::new(),
        }
    }

    /// Returns the allotment of a shard.
    pub fn get(&self, shard: ShardId) -> Resources {
        self.shards.get(&shard).copied().unwrap_or(Resources::ZERO)
    }

    /// Returns the sum of the allotments of all shards.
    pub fn sum(&self) -> Resources {
        self.shards.values().fold(Resources::ZERO, |sum, part| sum.plus(part))
    }

    /// Returns whether `limit`, of the given revision, is in force: the sum
    /// of the allotments is within it, and no owner that knows only an older
    /// limit can increase its allotment.
    pub fn is_in_force(&self, limit: &Resources, revision: Revision) -> bool {
        self.revision >= revision && self.sum().fits_in(limit)
    }

    /// Returns the shards whose allotments exceed an equal part of `limit`,
    /// those with the most cores beyond it first. They keep a lowered limit
    /// from being in force.
    pub fn shards_over_part(&self, limit: &Resources) -> Vec<ShardId> {
        let part = equal_part(limit, self.shards.len());
        let mut over: Vec<(u64, ShardId)> = self
            .shards
            .iter()
            .filter(|(_, held)| !held.fits_in(&part))
            .map(|(&shard, held)| (held.minus(&part).cores_milli, shard))
            .collect();
        over.sort_by_key(|&(cores, shard)| (u64::MAX - cores, shard));
        over.into_iter().map(|(_, shard)| shard).collect()
    }
}

/// Returns one shard's part of a limit that is divided equally among
/// `shards` shards, rounded down.
pub(super) fn equal_part(limit: &Resources, shards: usize) -> Resources {
    let count = shards.max(1) as u64;
    Resources::new(
        limit.cores_milli / count,
        limit.memory_mb / count,
        limit.accelerators / count,
    )
}

/// Returns the prefix of the keys of all allotment rows.
pub const fn allotment_prefix() -> &'static str {
    "allotment/"
}

/// Returns the key of a team's allotment row.
pub fn allotment_key(team: &TeamName) -> String {
    format!("{}{team}", allotment_prefix())
}
