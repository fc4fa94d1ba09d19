use super::Snapshot;
use crate::{
    Result, ShardId,
    journal::{Record, SegmentKey, ShardRecord},
    ownership::owner_key,
    table::{Row, Transaction},
};

/// Rebuilds the state of a shard from its snapshot and its segments.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Replay {
    record: ShardRecord,
    /// The last segment in the state.
    through: SegmentKey,
}

impl Replay {
    /// Starts from a snapshot, or from an empty state if there is none.
    pub fn new(snapshot: Option<Snapshot>) -> Replay {
        let snapshot = snapshot.unwrap_or_default();
        Replay { record: snapshot.record, through: snapshot.through }
    }

    /// Applies the row of a segment. Segments have to be applied in the
    /// order of their keys. A segment that the snapshot covers is ignored;
    /// it is left over from an interrupted deletion.
    ///
    /// # Errors
    ///
    /// [`crate::ErrorKind::Internal`] if the row isn't a segment.
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

    /// Returns the key of the last segment in the state.
    pub fn through(&self) -> SegmentKey {
        self.through
    }

    /// Returns the restored state of the shard.
    pub fn into_record(self) -> ShardRecord {
        self.record
    }
}

/// Returns the transaction that deletes segments which a snapshot covers.
///
/// The snapshot has to be in the object store before the transaction is
/// sent. The condition on the owner row prevents a superseded owner from
/// deleting segments while its successor reads them.
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
