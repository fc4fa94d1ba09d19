use serde::Serialize;

/// What has to hold of a row for a transaction to commit.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Condition {
    /// The key of the row.
    pub key: String,
    /// The version that the row must have; 0 for a row that must be absent.
    pub version: u64,
}

/// A change to one row.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Write {
    /// The key of the row.
    pub key: String,
    /// The new value; `None` deletes the row.
    pub value: Option<String>,
}

/// Changes that take effect together, if every condition holds, or not at
/// all.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Transaction {
    /// A text that no other transaction bears; it stands in each row that
    /// was written, so that a lost answer can be settled by reading.
    pub token: String,
    /// The conditions.
    pub conditions: Vec<Condition>,
    /// The changes.
    pub writes: Vec<Write>,
}

impl Transaction {
    /// Returns a transaction without conditions and changes.
    pub fn new(token: impl Into<String>) -> Transaction {
        Transaction { token: token.into(), ..Transaction::default() }
    }

    /// Adds the condition that the row has this version, 0 for absent.
    #[must_use]
    pub fn require(mut self, key: impl Into<String>, version: u64) -> Self {
        self.conditions.push(Condition { key: key.into(), version });
        self
    }

    /// Adds a write of the JSON text of `value`.
    ///
    /// # Panics
    ///
    /// Panics where `value` has no JSON form, which the row types of this
    /// crate all have.
    #[must_use]
    pub fn put(
        mut self,
        key: impl Into<String>,
        value: &impl Serialize,
    ) -> Self {
        let value = serde_json::to_string(value).expect("rows have JSON form");
        self.writes.push(Write { key: key.into(), value: Some(value) });
        self
    }

    /// Adds the deletion of a row.
    #[must_use]
    pub fn delete(mut self, key: impl Into<String>) -> Self {
        self.writes.push(Write { key: key.into(), value: None });
        self
    }
}

/// The table's answer to a transaction.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CommitAnswer {
    /// All changes took effect.
    Committed {
        /// The version of every row that was written.
        version: u64,
    },
    /// No change took effect.
    Conflict {
        /// The key of the first condition that didn't hold.
        key: String,
        /// The version that its row has; 0 where it is absent.
        version: u64,
    },
}
