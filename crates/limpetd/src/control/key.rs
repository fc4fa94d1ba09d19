//! The keys of the rows that the control thread keeps in the table.

use limpet_core::{Epoch, ShardId};

/// The row that counts the changes to the configuration.
pub(super) const CONFIG_REVISION: &str = "config/revision";
/// The row that holds the configuration.
pub(super) const CONFIG_CELL: &str = "config/cell";
/// The row that holds the next block of job numbers.
pub(super) const JOB_BLOCK: &str = "job-block";
/// The prefix of the rows that say who owns a shard.
pub(super) const LEASE_PREFIX: &str = "lease/";

/// Returns the key of the row that says who owns a shard.
pub(super) fn lease(shard: ShardId) -> String {
    format!("{LEASE_PREFIX}{:04}", shard.get())
}

/// Returns the key of the row that changes with each takeover of a shard.
pub(super) fn epoch(shard: ShardId) -> String {
    format!("epoch/{:04}", shard.get())
}

/// Returns the prefix of the keys of all segments of a shard.
pub(super) fn segments(shard: ShardId) -> String {
    format!("segment/{:04}/", shard.get())
}

/// Returns the key of one segment; keys sort by epoch and sequence.
pub(super) fn segment(shard: ShardId, epoch: Epoch, sequence: u64) -> String {
    format!("{}{:010}/{sequence:010}", segments(shard), epoch.get())
}
