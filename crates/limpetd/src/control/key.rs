//! The keys of the rows that the control thread keeps in the table.

use limpet_core::{Epoch, Revision, ShardId, TimeMs};

/// The row that counts the changes to the configuration.
pub(super) const CONFIG_REVISION: &str = "config/revision";
/// The row that holds the configuration.
pub(super) const CONFIG_CELL: &str = "config/cell";
/// The prefix of the rows that say who changed the configuration.
pub(super) const CONFIG_CHANGE_PREFIX: &str = "config/change/";
/// The prefix of the rows that say who changed jobs.
pub(super) const JOB_CHANGE_PREFIX: &str = "job-change/";
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

/// Returns the key of the row of the change that led to a revision.
pub(super) fn config_change(revision: Revision) -> String {
    format!("{CONFIG_CHANGE_PREFIX}{:012}", revision.get())
}

/// Returns the key of the row of a change of jobs; keys sort by time.
pub(super) fn job_change(at: TimeMs, token: &str) -> String {
    format!("{JOB_CHANGE_PREFIX}{:015}/{token}", at.as_ms())
}
