use crate::{
    Error, ErrorKind, Result, ShardId,
    journal::{SegmentKey, ShardRecord},
};

/// The layout of snapshots that this version writes and reads.
const SNAPSHOT_VERSION: u32 = 1;

/// Everything that the segments of a shard up to one of them amount to.
///
/// Its object is one line of JSON text with the version and the checksum of
/// the rest, and then the rest, also JSON text.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Snapshot {
    /// The last segment that it covers.
    pub through: SegmentKey,
    /// What the segments amount to.
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

    /// Reads the bytes of a snapshot's object.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Internal`] where the object was cut short or changed, or
    /// has a version that this program doesn't read.
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
        let invalid = |why: String| {
            Error::new(ErrorKind::Internal, format!("bad snapshot: {why}"))
        };
        let end = bytes
            .iter()
            .position(|&byte| byte == b'\n')
            .ok_or_else(|| invalid("no header".to_owned()))?;
        let (header, body) = (&bytes[..end], &bytes[end + 1..]);
        let header: Header = serde_json::from_slice(header)
            .map_err(|err| invalid(err.to_string()))?;
        if header.version != SNAPSHOT_VERSION {
            return Err(invalid(format!(
                "version {}, {SNAPSHOT_VERSION} is allowed",
                header.version
            )));
        }
        if blake3::hash(body).to_hex().as_str() != header.blake3 {
            return Err(invalid("checksum differs".to_owned()));
        }
        serde_json::from_slice(body).map_err(|err| invalid(err.to_string()))
    }
}

/// Returns what the names of all snapshots of a shard start with.
pub fn snapshot_prefix(shard: ShardId) -> String {
    format!("snapshot/{:04}/", shard.get())
}

/// Returns the name of a snapshot; names sort as snapshots were taken.
pub fn snapshot_name(shard: ShardId, through: SegmentKey) -> String {
    format!(
        "{}{:010}-{:010}",
        snapshot_prefix(shard),
        through.epoch.get(),
        through.sequence
    )
}
