use std::rc::Rc;

use super::PortFuture;

/// A row of the table service.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Row {
    /// Its key; keys sort by bytes.
    pub key: String,
    /// Its value, which is JSON text here.
    pub value: String,
    /// The count of writes to the whole table up to the last one to this
    /// row, from 1. It only grows.
    pub version: u64,
    /// The token of the transaction that wrote it last.
    pub token: String,
}

/// What has to hold of a row for a transaction to commit.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Condition {
    /// The key of the row.
    pub key: String,
    /// The version that the row must have; 0 for a row that must be absent.
    pub version: u64,
}

/// A change to one row.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Write {
    /// The key of the row.
    pub key: String,
    /// The new value; `None` deletes the row.
    pub value: Option<String>,
}

/// Changes that take effect together, if every condition holds, or not at
/// all.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
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

/// The table's answer to a transaction.
#[derive(Clone, Debug, Eq, PartialEq)]
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

/// The transactional table service.
#[derive(Clone)]
pub struct TablePort {
    /// Commits a transaction.
    pub commit: Rc<dyn Fn(Transaction) -> PortFuture<CommitAnswer>>,
    /// Reads one row.
    pub read: Rc<dyn Fn(String) -> PortFuture<Option<Row>>>,
    /// Reads up to so many rows whose keys start with a prefix and sort
    /// after a key (empty for the first page), in the order of keys.
    pub scan: Rc<dyn Fn(String, String, usize) -> PortFuture<Vec<Row>>>,
}
