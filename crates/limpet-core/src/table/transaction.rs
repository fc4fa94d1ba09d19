use serde::Serialize;

/// A condition on a row that has to hold for a transaction to commit.
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

/// A set of writes that take effect together if every condition holds, and
/// otherwise not at all.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Transaction {
    /// A text that is unique among all transactions. The table stores it in
    /// each row that the transaction writes, so that a read shows whether
    /// the transaction took effect when its answer was lost.
    pub token: String,
    /// The conditions that have to hold.
    pub conditions: Vec<Condition>,
    /// The changes to rows.
    pub writes: Vec<Write>,
}

impl Transaction {
    /// Returns a transaction without conditions and writes.
    pub fn new(token: impl Into<String>) -> Transaction {
        Transaction { token: token.into(), ..Transaction::default() }
    }

    /// Adds the condition that a row has this version; 0 requires that it is
    /// absent.
    #[must_use]
    pub fn require(mut self, key: impl Into<String>, version: u64) -> Self {
        self.conditions.push(Condition { key: key.into(), version });
        self
    }

    /// Adds a write of `value` as JSON text.
    ///
    /// # Panics
    ///
    /// Panics if `value` has no JSON form. All row types of this crate have
    /// one.
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

    /// Adds a deletion of a row.
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
    /// All writes took effect.
    Committed {
        /// The new version of every row that was written.
        version: u64,
    },
    /// No write took effect.
    Conflict {
        /// The key of the first condition that didn't hold.
        key: String,
        /// The current version of that row; 0 if it is absent.
        version: u64,
    },
}
