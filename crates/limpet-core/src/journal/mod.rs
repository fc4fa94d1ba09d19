//! What the owner of a shard writes before it acts or answers.
//!
//! [`Record`]s are gathered into segments, one row each, under the shard,
//! the epoch and a sequence number, and conditioned on the owner row of the
//! shard: an owner that was superseded can't add one. [`ShardRecord`] is
//! what all records of a shard amount to.

mod attempt;
mod options;
mod record;
mod segment;
mod shard_index;
mod shard_record;
mod writer;

pub use self::{
    attempt::Attempt,
    options::JournalOptions,
    record::Record,
    segment::{SegmentKey, segment_prefix},
    shard_index::shard_index_for_token,
    shard_record::{FinishedJob, JobRecord, ShardRecord, TaskRecord},
    writer::{Journal, JournalEffect, Ticket},
};
