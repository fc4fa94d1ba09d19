//! Recovery of a shard's state by a new owner.
//!
//! The owner reads the newest snapshot and the journal segments after it
//! into a [`ShardRecord`](crate::journal::ShardRecord), and then compares
//! this record with the inventory of each worker. `docs/RECOVERY.md`
//! compares this with the alternatives.

mod inventory;
mod replay;
mod snapshot;

pub use self::{
    inventory::{
        Finding, Inventory, InventoryTask, reconcile, restore_events,
    },
    replay::{Replay, delete_covered_segments},
    snapshot::{Snapshot, snapshot_name, snapshot_prefix},
};
