//! The write-ahead journal of a shard, to which its owner writes before it
//! acts or answers.
//!
//! [`Record`]s are grouped into segments. A segment is a row whose key holds
//! the shard, the epoch and a sequence number, and whose write is
//! conditioned on the shard's owner row, so that a superseded owner can't
//! add one. [`ShardRecord`] is the state that results from all records of a
//! shard.

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
