use crate::TeamName;

/// The properties of a non-idempotent request that identify its claim.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ClaimRequest {
    /// The team whose API key the request carried; `None` for a service that
    /// is open to callers without a key.
    pub team: Option<TeamName>,
    /// The caller's name for the request, the same in each retry.
    pub idempotency_key: String,
    /// A digest of the request's contents, so that a different request under
    /// the same idempotency key is refused and doesn't get the outcome of
    /// the first one.
    pub digest: String,
}

impl ClaimRequest {
    /// Returns a request whose digest covers `parts`, for instance the
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
