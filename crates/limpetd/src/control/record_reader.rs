use limpet_core::{
    Result, ShardId,
    journal::{SegmentKey, segment_prefix},
    recovery::{Replay, Snapshot, snapshot_prefix},
};
use limpet_platform::{ObjectPort, Platform, PortError, Row, TablePort};

/// The most segment rows that one scan reads.
const PAGE_ROWS: usize = 200;

/// Reads the newest snapshot of a shard and the segments after it, and keeps
/// what has arrived when a call fails.
///
/// Only for the owner of the shard: no other instance writes or deletes
/// segments meanwhile, since both are conditional on the version of the owner
/// row.
pub struct RecordReader {
    table: TablePort,
    objects: ObjectPort,
    shard: ShardId,
    /// The name of the newest snapshot, once the names have been listed.
    name: Option<String>,
    /// The snapshot, once it has arrived; `Some(None)` if there is none.
    snapshot: Option<Option<Snapshot>>,
    /// The segments that have arrived, the oldest first.
    rows: Vec<Row>,
    /// The most rows to ask for next.
    page_rows: usize,
}

impl RecordReader {
    /// Returns a reader of a shard's records that has read nothing yet.
    pub fn new(platform: &Platform, shard: ShardId) -> RecordReader {
        RecordReader {
            table: platform.table.clone(),
            objects: platform.objects.clone(),
            shard,
            name: None,
            snapshot: None,
            rows: Vec::new(),
            page_rows: PAGE_ROWS,
        }
    }

    /// Returns how many segments have arrived.
    pub fn segment_count(&self) -> usize {
        self.rows.len()
    }

    /// Reads what is still missing, and returns the state that results from
    /// all records and the keys of the segments.
    ///
    /// # Errors
    ///
    /// The error of the call that failed, after which the next call of this
    /// function goes on from there, or [`limpet_core::ErrorKind::Internal`] if
    /// a record is damaged, after which it starts anew.
    pub async fn read(&mut self) -> Result<(Replay, Vec<SegmentKey>)> {
        if self.snapshot.is_none() {
            self.snapshot = Some(self.read_snapshot().await?);
        }
        self.read_segments().await?;
        let snapshot = self.snapshot.take().flatten();
        self.name = None;
        let rows = std::mem::take(&mut self.rows);
        let mut replay = Replay::new(snapshot);
        let mut segments = Vec::new();
        for row in rows {
            replay.apply(&row)?;
            segments.push(SegmentKey::parse(&row.key)?);
        }
        Ok((replay, segments))
    }

    /// Returns the newest snapshot, or `None` if there is none.
    async fn read_snapshot(&mut self) -> Result<Option<Snapshot>> {
        if self.name.is_none() {
            let prefix = snapshot_prefix(self.shard);
            let names = (self.objects.list)(prefix).await?;
            self.name = names.into_iter().max();
        }
        let Some(name) = self.name.clone() else { return Ok(None) };
        let Some(bytes) = (self.objects.get)(name).await? else {
            self.name = None;
            let err = "the snapshot was replaced while it was read".to_owned();
            return Err(PortError::Unavailable(err).into());
        };
        let snapshot = Snapshot::from_bytes(&bytes);
        if snapshot.is_err() {
            self.name = None;
        }
        snapshot.map(Some)
    }

    /// Reads the segments that are still missing, page by page.
    async fn read_segments(&mut self) -> Result<()> {
        loop {
            let after = self.rows.last().map(|row| row.key.clone());
            let limit = self.page_rows;
            let page = (self.table.scan)(
                segment_prefix(self.shard),
                after.unwrap_or_default(),
                limit,
            );
            let page = match page.await {
                Ok(page) => page,
                Err(err) => {
                    // A shorter page gets through where a long one is cut off.
                    self.page_rows = (limit / 2).max(1);
                    return Err(err.into());
                }
            };
            let is_last = page.len() < limit;
            self.rows.extend(page);
            if is_last {
                return Ok(());
            }
        }
    }
}
