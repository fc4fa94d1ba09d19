//! Ownership of shards by leases in the table, and the leases under which
//! workers run tasks.
//!
//! A shard has two rows. The owner row changes with each ownership and holds
//! the [`Epoch`](crate::Epoch); every write of the owner is conditioned on
//! the version of this row. The lease row changes with each renewal. Neither
//! row holds a time, so clocks needn't agree: a candidate measures on its
//! own clock how long the lease row has not changed. `docs/RECOVERY.md`
//! compares this with the alternatives.

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
