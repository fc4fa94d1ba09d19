use std::fmt;

use crate::{Error, ErrorKind, KeyId, Result, TeamName, TimeMs};

/// What a key allows.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Submit work for its team and look at it.
    Submit,
    /// Everything, for every team.
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

/// What is kept of a key: never its secret.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct KeyRecord {
    /// The team that it was granted to; `None` for an operator's key.
    pub team: Option<TeamName>,
    /// What it allows.
    pub role: Role,
    /// The salt and the hash of its secret, in hexadecimal digits.
    pub salt: String,
    /// The keyed hash of its secret, in hexadecimal digits.
    pub hash: String,
    /// When it expires on the wall clock, where it does.
    pub expires_at: Option<TimeMs>,
    /// Whether it was withdrawn. A withdrawn key never comes back.
    pub withdrawn: bool,
}

/// A key as its holder presents it, written `ID:SECRET`.
///
/// Neither its `Debug` nor any error shows the secret.
#[derive(Clone)]
pub struct KeySecret {
    id: KeyId,
    secret: String,
}

impl KeySecret {
    /// Returns the key with this id and this secret, which the caller drew
    /// at random.
    pub fn new(id: KeyId, secret: impl Into<String>) -> KeySecret {
        KeySecret { id, secret: secret.into() }
    }

    /// Reads a key as its holder presents it.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::UnknownKey`], without the text, where it is not written
    /// `ID:SECRET`.
    pub fn parse(text: &str) -> Result<KeySecret> {
        let invalid =
            || Error::new(ErrorKind::UnknownKey, "a key is written ID:SECRET");
        let (id, secret) = text.trim().split_once(':').ok_or_else(invalid)?;
        let id = KeyId::new(id).map_err(|_| invalid())?;
        Ok(KeySecret::new(id, secret))
    }

    /// Returns the public part.
    pub fn id(&self) -> &KeyId {
        &self.id
    }

    /// Returns the whole key, to be shown once to its new holder.
    pub fn reveal(&self) -> String {
        format!("{}:{}", self.id, self.secret)
    }

    /// Returns the record to keep, with `salt` drawn at random.
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

    /// Says whether this key is the one that `record` was made from, in
    /// constant time.
    pub fn matches(&self, record: &KeyRecord) -> bool {
        let (Ok(salt), Ok(hash)) = (
            blake3::Hash::from_hex(&record.salt),
            blake3::Hash::from_hex(&record.hash),
        ) else {
            return false;
        };
        // `blake3::Hash` compares in constant time.
        blake3::keyed_hash(salt.as_bytes(), self.secret.as_bytes()) == hash
    }
}

impl fmt::Debug for KeySecret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("KeySecret").field("id", &self.id).finish()
    }
}
