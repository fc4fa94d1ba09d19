use crate::{
    Error, ErrorKind, Result, ShardId,
    journal::{SegmentKey, ShardRecord},
};

/// The version of the snapshot format that this program writes and reads.
const SNAPSHOT_VERSION: u32 = 1;

/// The state of a shard that results from all segments up to a certain one.
///
/// The object in the store is a line of JSON text with the format's version
/// and the checksum of the body, followed by the body, which is the JSON
/// text of this type.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Snapshot {
    /// The last segment that the snapshot covers.
    pub through: SegmentKey,
    /// The state that results from the segments.
    pub record: ShardRecord,
}

#[derive(Debug)]
#[derive(serde::Deserialize, serde::Serialize)]
struct Header {
    version: u32,
    blake3: String,
}

impl Snapshot {
    /// Returns the bytes of the snapshot's object.
    ///
    /// # Panics
    ///
    /// Never: every snapshot has a JSON form.
    pub fn to_bytes(&self) -> Vec<u8> {
        let body = serde_json::to_vec(self).expect("snapshots have JSON form");
        let header = Header {
            version: SNAPSHOT_VERSION,
            blake3: blake3::hash(&body).to_hex().to_string(),
        };
        let mut bytes =
            serde_json::to_vec(&header).expect("headers have JSON form");
        bytes.push(b'\n');
        bytes.extend(body);
        bytes
    }

    /// Parses the bytes of a snapshot's object.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Internal`] if the object is truncated or damaged, or has
    /// a format version that this program doesn't read.
    ///
    /// # Examples
    ///
    /// ```
    /// use limpet_core::recovery::Snapshot;
    ///
    /// let bytes = Snapshot::default().to_bytes();
    /// assert_eq!(Snapshot::from_bytes(&bytes)?, Snapshot::default());
    /// assert!(Snapshot::from_bytes(&bytes[..bytes.len() - 1]).is_err());
    /// # Ok::<(), limpet_core::Error>(())
    /// ```
    pub fn from_bytes(bytes: &[u8]) -> Result<Snapshot> {
        let invalid = |reason: String| {
            Error::new(
                ErrorKind::Internal,
                format!("invalid snapshot: {reason}"),
            )
        };
        let end = bytes
            .iter()
            .position(|&byte| byte == b'\n')
            .ok_or_else(|| invalid("no end of the header line".to_owned()))?;
        let (header, body) = (&bytes[..end], &bytes[end + 1..]);
        let header: Header = serde_json::from_slice(header)
            .map_err(|err| invalid(err.to_string()))?;
        if header.version != SNAPSHOT_VERSION {
            return Err(invalid(format!(
                "format version is {}; only {SNAPSHOT_VERSION} is supported",
                header.version
            )));
        }
        if blake3::hash(body).to_hex().as_str() != header.blake3 {
            return Err(invalid("checksum of the body differs".to_owned()));
        }
        serde_json::from_slice(body).map_err(|err| invalid(err.to_string()))
    }
}

/// Returns the prefix of the names of all snapshots of a shard.
pub fn snapshot_prefix(shard: ShardId) -> String {
    format!("snapshot/{:04}/", shard.get())
}

/// Returns the name of the object of a snapshot that covers the segments up
/// to `through`. Names sort in the order in which snapshots were taken.
pub fn snapshot_name(shard: ShardId, through: SegmentKey) -> String {
    format!(
        "{}{:010}-{:010}",
        snapshot_prefix(shard),
        through.epoch.get(),
        through.sequence
    )
}
