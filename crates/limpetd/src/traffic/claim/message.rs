use limpet_core::routing::ClaimKey;

/// Asks for the right to send a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ClaimRequest {
    /// The row that stands for the idempotency key.
    pub key: ClaimKey,
    /// What tells a repeat from another request.
    pub digest: String,
}

/// The answer to a [`ClaimRequest`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimAnswer {
    /// The request may be sent, once.
    Granted {
        /// The version of the row, which completes or releases it.
        version: u64,
    },
    /// It was sent before, and nobody knows its answer yet.
    Pending,
    /// It ran before. `None` stands for an answer too long to be kept.
    Done(Option<StoredAnswer>),
    /// The key stands for another request.
    Mismatch,
}

/// Tells what became of a claimed request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ClaimCompletion {
    /// The row.
    pub key: ClaimKey,
    /// Its version, from the grant.
    pub version: u64,
    /// What told the request from others.
    pub digest: String,
    /// Its answer; `None` for one too long to be kept.
    pub answer: Option<StoredAnswer>,
}

/// An answer that is kept for the caller's repeats.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct StoredAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The end-to-end headers.
    pub headers: Vec<StoredHeader>,
    /// The body.
    pub body: StoredBody,
}

/// One header of a [`StoredAnswer`].
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct StoredHeader {
    /// Its name.
    pub name: String,
    /// Its value.
    pub value: String,
}

/// The body of a [`StoredAnswer`].
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum StoredBody {
    /// Text, which most answers are.
    Text(String),
    /// Any other bytes.
    Bytes(Vec<u8>),
}

impl From<&[u8]> for StoredBody {
    fn from(bytes: &[u8]) -> StoredBody {
        match std::str::from_utf8(bytes) {
            Ok(text) => StoredBody::Text(text.to_owned()),
            Err(_) => StoredBody::Bytes(bytes.to_vec()),
        }
    }
}

impl From<StoredBody> for Vec<u8> {
    fn from(body: StoredBody) -> Vec<u8> {
        match body {
            StoredBody::Text(text) => text.into_bytes(),
            StoredBody::Bytes(bytes) => bytes,
        }
    }
}
