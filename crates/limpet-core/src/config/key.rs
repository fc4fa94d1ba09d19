use std::fmt;

use crate::{Error, ErrorKind, KeyId, Result, TeamName, TimeMs};

/// What the holder of a key may do.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Submit and manage work of its own team, and query it.
    Submit,
    /// Give every command, for all teams.
    Operate,
}

impl fmt::Display for Role {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Role::Submit => "submit",
            Role::Operate => "operate",
        })
    }
}

/// The stored record of a key, without its secret.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct KeyRecord {
    /// The team that the key belongs to; `None` for an operator's key.
    pub team: Option<TeamName>,
    /// What its holder may do.
    pub role: Role,
    /// The random salt with which the secret is hashed, in hexadecimal
    /// digits.
    pub salt: String,
    /// The BLAKE3 hash of the secret, keyed with the salt, in hexadecimal
    /// digits.
    pub hash: String,
    /// When the key expires, on the wall clock; `None` for never.
    pub expires_at: Option<TimeMs>,
    /// Whether the key was withdrawn, which can't be undone.
    pub withdrawn: bool,
}

/// An API key with its secret, as its holder presents it: `ID:SECRET`.
///
/// Neither its `Debug` output nor any error message contains the secret.
#[derive(Clone)]
pub struct KeySecret {
    id: KeyId,
    secret: String,
}

impl KeySecret {
    /// Creates a key from its id and a secret that the caller has generated
    /// at random.
    pub fn new(id: KeyId, secret: impl Into<String>) -> KeySecret {
        KeySecret { id, secret: secret.into() }
    }

    /// Parses a key in the form `ID:SECRET`.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::UnknownKey`] where the text doesn't have this
    /// form. The message doesn't repeat the text, which may hold a secret.
    pub fn parse(text: &str) -> Result<KeySecret> {
        let invalid =
            || Error::new(ErrorKind::UnknownKey, "a key is written ID:SECRET");
        let (id, secret) = text.trim().split_once(':').ok_or_else(invalid)?;
        let id = KeyId::new(id).map_err(|_| invalid())?;
        Ok(KeySecret::new(id, secret))
    }

    /// Returns the id, which is public.
    pub fn id(&self) -> &KeyId {
        &self.id
    }

    /// Returns the key as `ID:SECRET`, to be shown once to its new holder.
    pub fn reveal(&self) -> String {
        format!("{}:{}", self.id, self.secret)
    }

    /// Returns the record to store; `salt` must be newly generated at random.
    pub fn to_record(
        &self,
        team: Option<TeamName>,
        role: Role,
        salt: [u8; 32],
        expires_at: Option<TimeMs>,
    ) -> KeyRecord {
        let hash = blake3::keyed_hash(&salt, self.secret.as_bytes());
        KeyRecord {
            team,
            role,
            salt: blake3::Hash::from(salt).to_hex().to_string(),
            hash: hash.to_hex().to_string(),
            expires_at,
            withdrawn: false,
        }
    }

    /// Returns whether `record` was made from this key.
    ///
    /// The hashes are compared in constant time, so that the time taken
    /// reveals nothing about the stored hash.
    pub fn matches(&self, record: &KeyRecord) -> bool {
        let (Ok(salt), Ok(hash)) = (
            blake3::Hash::from_hex(&record.salt),
            blake3::Hash::from_hex(&record.hash),
        ) else {
            return false;
        };
        // The equality of `blake3::Hash` takes constant time.
        blake3::keyed_hash(salt.as_bytes(), self.secret.as_bytes()) == hash
    }
}

impl fmt::Debug for KeySecret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("KeySecret").field("id", &self.id).finish()
    }
}
