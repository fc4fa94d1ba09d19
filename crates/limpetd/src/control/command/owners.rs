use std::collections::BTreeMap;

use limpet_core::ShardId;

use super::super::ControlState;

/// Who answers for which shards.
#[derive(Clone, Debug, Default)]
pub(super) struct Owners {
    /// The shards of this instance.
    pub(super) own: Vec<ShardId>,
    /// The shards of others, by the link address of their owner.
    pub(super) others: BTreeMap<String, Vec<ShardId>>,
    /// The shards that have no owner.
    pub(super) missing: Vec<ShardId>,
}

impl ControlState {
    pub(super) fn owners(&self) -> Owners {
        let mut owners = Owners::default();
        for cell_shard in self.cell_shards() {
            let shard = cell_shard.shard;
            if self.shards.contains_key(&shard) {
                owners.own.push(shard);
                continue;
            }
            match self.owner_address(shard) {
                Ok(address) => {
                    owners.others.entry(address).or_default().push(shard);
                }
                Err(_) => owners.missing.push(shard),
            }
        }
        owners
    }
}

/// Returns the shards' names, for what is missing in an answer.
pub(super) fn name_shards(shards: &[ShardId]) -> String {
    let names: Vec<String> =
        shards.iter().map(|shard| format!("shard {shard}")).collect();
    names.join(", ")
}

/// Returns the name of a shard that nobody answers for.
pub(super) fn name_ownerless(shard: ShardId) -> String {
    format!("shard {shard} (no owner)")
}
