use crate::{Error, ErrorKind, Result, ServiceName, TeamName};

/// The longest idempotency key, in characters.
const KEY_LIMIT: usize = 128;

/// The key of the table's row for one idempotency key of one team at one
/// service.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(transparent)]
pub struct ClaimKey(String);

impl ClaimKey {
    /// Returns the key for what the caller sent, with or without quotes.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::InvalidRequest`] where it is empty, longer than 128
    /// characters or holds others than ASCII letters, digits and `-_.:`.
    pub fn new(
        team: Option<&TeamName>,
        service: &ServiceName,
        text: &str,
    ) -> Result<ClaimKey> {
        let text = text.trim().trim_matches('"');
        let allowed = |c: char| {
            c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.' | ':')
        };
        let length = text.chars().count();
        if !(1..=KEY_LIMIT).contains(&length) || !text.chars().all(allowed) {
            return Err(Error::new(
                ErrorKind::InvalidRequest,
                format!(
                    "idempotency key has {length} characters, 1 to \
                     {KEY_LIMIT} of ASCII letters, digits and `-_.:` are \
                     allowed"
                ),
            ));
        }
        // A team's name holds no `@`, so open requests have their own place.
        let team = team.map_or("@open", TeamName::as_str);
        Ok(ClaimKey(format!("claim/{team}/{service}/{text}")))
    }

    /// Returns the text of the key.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

/// Returns what tells a caller's repeat from another request under the same
/// key.
pub fn request_digest(method: &str, path: &str, body: &[u8]) -> String {
    let mut hasher = blake3::Hasher::new();
    for part in [method.as_bytes(), path.as_bytes(), body] {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    hasher.finalize().to_hex().to_string()
}
