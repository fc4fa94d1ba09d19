use std::fmt;

use crate::{Epoch, InstanceId, ShardId};

/// One incarnation of an instance: a single run of its process.
///
/// The incarnation number is drawn when the process starts, so that a
/// restarted process never mistakes its predecessor's leases for its own.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Holder {
    /// The instance.
    pub instance: InstanceId,
    /// The number that identifies this run of the instance's process.
    pub incarnation: u64,
    /// The IP address and port at which other instances reach this one.
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
    /// The number of the ownership, which rises by one with each new owner.
    pub epoch: Epoch,
    /// The owner; `None` after the owner has released the shard.
    pub holder: Option<Holder>,
}

/// Returns the key of a shard's owner row, on whose version every write of
/// the owner is conditioned.
pub fn owner_key(shard: ShardId) -> String {
    format!("{}{:04}/epoch", shard_prefix(), shard.get())
}

/// Returns the key of a shard's lease row, which the owner rewrites with each
/// renewal.
pub fn lease_key(shard: ShardId) -> String {
    format!("{}{:04}/lease", shard_prefix(), shard.get())
}

/// Returns the prefix of the keys of all owner and lease rows.
pub const fn shard_prefix() -> &'static str {
    "shard/"
}
