use std::fmt;

use crate::{Epoch, InstanceId, ShardId};

/// One run of one instance's process.
///
/// The incarnation is drawn at the start of the process, so that a process
/// never takes its predecessor's leases for its own.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Holder {
    /// The instance.
    pub instance: InstanceId,
    /// The run of its process.
    pub incarnation: u64,
    /// The IP number and port where other instances reach it.
    pub link_address: String,
}

impl fmt::Display for Holder {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{:x}", self.instance, self.incarnation)
    }
}

/// The value of a shard's owner row.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct OwnerRow {
    /// The count of ownerships of the shard.
    pub epoch: Epoch,
    /// Who owns it; `None` after a hand-over.
    pub holder: Option<Holder>,
}

/// Returns the key of a shard's owner row, on whose version every write of
/// the owner is conditioned.
pub fn owner_key(shard: ShardId) -> String {
    format!("{}{:04}/epoch", shard_prefix(), shard.get())
}

/// Returns the key of a shard's lease row, which each renewal rewrites.
pub fn lease_key(shard: ShardId) -> String {
    format!("{}{:04}/lease", shard_prefix(), shard.get())
}

/// Returns what the keys of all shards' rows start with.
pub const fn shard_prefix() -> &'static str {
    "shard/"
}
