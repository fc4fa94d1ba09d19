//! How a new owner finds out what its shard was doing.
//!
//! It reads the newest snapshot and the segments after it into a
//! [`ShardRecord`](crate::journal::ShardRecord), and then each worker's
//! inventory. `docs/RECOVERY.md` weighs the ways.

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
