use super::Snapshot;
use crate::{
    Result, ShardId,
    journal::{Record, SegmentKey, ShardRecord},
    ownership::owner_key,
    table::{Row, Transaction},
};

/// The state of a shard as its snapshot and segments give it.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Replay {
    record: ShardRecord,
    through: SegmentKey,
}

impl Replay {
    /// Starts from a snapshot, or from nothing where the shard has none.
    pub fn new(snapshot: Option<Snapshot>) -> Replay {
        let snapshot = snapshot.unwrap_or_default();
        Replay { record: snapshot.record, through: snapshot.through }
    }

    /// Takes a segment's row in. One that the snapshot covers, because its
    /// deletion was cut short, changes nothing.
    ///
    /// # Errors
    ///
    /// [`crate::ErrorKind::Internal`] where the row is no segment.
    pub fn apply(&mut self, row: &Row) -> Result<()> {
        let key = SegmentKey::parse(&row.key)?;
        if key <= self.through {
            return Ok(());
        }
        for record in row.parse::<Vec<Record>>()? {
            self.record.apply(&record);
        }
        self.through = key;
        Ok(())
    }

    /// Returns the last segment that was taken in.
    pub fn through(&self) -> SegmentKey {
        self.through
    }

    /// Returns what the shard was doing.
    pub fn into_record(self) -> ShardRecord {
        self.record
    }
}

/// Returns the transaction that deletes segments which a snapshot covers.
///
/// The snapshot has to stand in the object store before. The condition on
/// the owner row keeps an earlier owner from deleting segments while its
/// successor reads them.
pub fn delete_covered_segments(
    shard: ShardId,
    owner_version: u64,
    token: &str,
    covered: impl IntoIterator<Item = SegmentKey>,
) -> Transaction {
    let fenced =
        Transaction::new(token).require(owner_key(shard), owner_version);
    covered.into_iter().fold(fenced, |all, key| all.delete(key.row_key(shard)))
}
