//! Which instance owns a shard, by a lease row in the table.
//!
//! Two rows stand for a shard: the owner row changes with each ownership and
//! carries the [`Epoch`](crate::Epoch), so that every write of the owner can
//! be conditioned on its version; the lease row changes with each renewal.
//! No row holds a time: a candidate measures on its own clock how long the
//! lease row stood still. `docs/RECOVERY.md` weighs the ways.

mod options;
mod row;
mod shard_lease;
mod worker_lease;

pub use self::{
    options::LeaseOptions,
    row::{Holder, OwnerRow, lease_key, owner_key, shard_prefix},
    shard_lease::{LeaseEffect, LeaseEvent, ShardLease, Takeover},
    worker_lease::{WorkerLease, WorkerLeaseOptions},
};
