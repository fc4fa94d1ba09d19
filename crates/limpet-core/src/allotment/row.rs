use std::collections::BTreeMap;

use crate::{Resources, Revision, ShardId, TeamName};

/// The value of a team's allotment row.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct AllotmentRow {
    /// The highest revision under which it was written. An owner with an
    /// older one may only shrink, because its limit may be out of date.
    pub revision: Revision,
    /// What each shard may run at once.
    pub shards: BTreeMap<ShardId, Resources>,
    /// What a shard lacks, so that others give back what they don't use.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub wanted: BTreeMap<ShardId, Resources>,
}

impl AllotmentRow {
    /// Returns the first row of a team: equal parts of its limit.
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

    /// Returns what the shard may run at once.
    pub fn get(&self, shard: ShardId) -> Resources {
        self.shards.get(&shard).copied().unwrap_or(Resources::ZERO)
    }

    /// Returns what all shards may run together.
    pub fn sum(&self) -> Resources {
        self.shards.values().fold(Resources::ZERO, |sum, part| sum.plus(part))
    }

    /// Returns whether a limit of this revision is in force: no shard may
    /// exceed it, alone or with others, and none can grow under an older
    /// limit.
    pub fn is_in_force(&self, limit: &Resources, revision: Revision) -> bool {
        self.revision >= revision && self.sum().fits_in(limit)
    }

    /// Returns the shards that keep a limit from being in force, those with
    /// the most above an equal part first.
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

/// Returns a shard's part of a limit that is divided equally.
pub(super) fn equal_part(limit: &Resources, shards: usize) -> Resources {
    let count = shards.max(1) as u64;
    Resources::new(
        limit.cores_milli / count,
        limit.memory_mb / count,
        limit.accelerators / count,
    )
}

/// Returns what the keys of all allotment rows start with.
pub const fn allotment_prefix() -> &'static str {
    "allotment/"
}

/// Returns the key of a team's allotment row.
pub fn allotment_key(team: &TeamName) -> String {
    format!("{}{team}", allotment_prefix())
}
