use crate::TeamName;

/// A non-idempotent request, as a claim knows it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ClaimRequest {
    /// The team whose key came with it; `None` for an open service.
    pub team: Option<TeamName>,
    /// What the caller calls the request, the same in each of its retries.
    pub idempotency_key: String,
    /// A digest of what is asked for, so that another request under the
    /// same key is refused instead of answered with a stranger's outcome.
    pub digest: String,
}

impl ClaimRequest {
    /// Returns the request with the digest of these parts, for instance the
    /// method, the path and the body.
    pub fn new(
        team: Option<TeamName>,
        idempotency_key: impl Into<String>,
        parts: &[&[u8]],
    ) -> ClaimRequest {
        let mut hasher = blake3::Hasher::new();
        for part in parts {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        ClaimRequest {
            team,
            idempotency_key: idempotency_key.into(),
            digest: hasher.finalize().to_hex().to_string(),
        }
    }
}
