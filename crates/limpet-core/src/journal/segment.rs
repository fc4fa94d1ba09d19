use crate::{Epoch, Error, ErrorKind, ShardId};

/// The position of a segment among all segments of its shard.
///
/// Keys sort in the order in which segments were written. The condition on
/// the owner row prevents a segment of an epoch from being written once a
/// later epoch has begun.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct SegmentKey {
    /// The epoch of the ownership that wrote it.
    pub epoch: Epoch,
    /// The number of the segment in that epoch, from 1.
    pub sequence: u64,
}

impl SegmentKey {
    /// Returns the key of the segment's row.
    pub fn row_key(&self, shard: ShardId) -> String {
        format!(
            "{}{:010}/{:010}",
            segment_prefix(shard),
            self.epoch.get(),
            self.sequence
        )
    }

    /// Parses the key of a segment's row.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Internal`] if the key isn't that of a segment.
    pub fn parse(row_key: &str) -> crate::Result<SegmentKey> {
        let invalid = || {
            Error::new(
                ErrorKind::Internal,
                format!("row key `{row_key}` is not the key of a segment"),
            )
        };
        let mut parts = row_key.rsplit('/');
        let mut number = || {
            parts.next().and_then(|part| part.parse().ok()).ok_or_else(invalid)
        };
        let sequence = number()?;
        let epoch = Epoch::new(number()?);
        Ok(SegmentKey { epoch, sequence })
    }
}

/// Returns the prefix of the keys of all segments of a shard.
pub fn segment_prefix(shard: ShardId) -> String {
    format!("segment/{:04}/", shard.get())
}
