//! Finds the owners of the cell's shards.

use std::collections::BTreeMap;

use limpet_core::ShardId;

use super::super::ControlState;

/// The shards of the cell, by their owners.
#[derive(Clone, Debug, Default)]
pub(super) struct Owners {
    /// The shards that this instance owns.
    pub(super) own: Vec<ShardId>,
    /// The shards of other instances, by the link address of the owner.
    pub(super) others: BTreeMap<String, Vec<ShardId>>,
    /// The shards that have no owner.
    pub(super) missing: Vec<ShardId>,
}

impl ControlState {
    /// Returns the owners of all shards, as far as this instance knows them.
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

/// Returns the names of shards, for the missing parts of an answer.
pub(super) fn format_shards(shards: &[ShardId]) -> String {
    let names: Vec<String> =
        shards.iter().map(|shard| format!("shard {shard}")).collect();
    names.join(", ")
}

/// Returns the name of a shard without an owner, for the missing parts of an
/// answer.
pub(super) fn format_ownerless(shard: ShardId) -> String {
    format!("shard {shard} (no owner)")
}
