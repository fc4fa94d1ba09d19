use std::collections::BTreeMap;

use crate::port::{CommitAnswer, Condition, Row, Transaction, Write};

/// The transactional table, in memory.
///
/// Each committed transaction raises the version of the table by 1, and the
/// rows that it writes get the new version. A missing row has version 0.
///
/// # Examples
///
/// ```
/// use limpet_platform::{
///     CommitAnswer, Transaction, Write, embedded::MemoryTable,
/// };
///
/// let mut table = MemoryTable::default();
/// let write = Write { key: "a".into(), value: Some("1".into()) };
/// let answer = table.commit(&Transaction {
///     token: "t1".into(),
///     conditions: vec![],
///     writes: vec![write],
/// });
/// assert_eq!(answer, CommitAnswer::Committed { version: 1 });
/// assert_eq!(table.read("a").unwrap().token, "t1");
/// ```
#[derive(Clone, Debug, Default)]
pub struct MemoryTable {
    rows: BTreeMap<String, Row>,
    version: u64,
}

impl MemoryTable {
    /// Commits a transaction if each of its conditions holds. Otherwise
    /// returns the first condition that doesn't, with the row's version.
    pub fn commit(&mut self, transaction: &Transaction) -> CommitAnswer {
        let violated = transaction
            .conditions
            .iter()
            .find(|condition| !self.satisfies(condition));
        if let Some(condition) = violated {
            return CommitAnswer::Conflict {
                key: condition.key.clone(),
                version: self.row_version(&condition.key),
            };
        }
        self.version += 1;
        for write in &transaction.writes {
            self.apply(write, &transaction.token);
        }
        CommitAnswer::Committed { version: self.version }
    }

    /// Reads the row with a key; `None` if there is none.
    pub fn read(&self, key: &str) -> Option<Row> {
        self.rows.get(key).cloned()
    }

    /// Reads up to `limit` rows whose keys start with `prefix` and sort after
    /// `after`, in ascending order. An empty `after` starts at the first.
    pub fn scan(&self, prefix: &str, after: &str, limit: usize) -> Vec<Row> {
        self.rows
            .range(prefix.max(after).to_owned()..)
            .map(|(_, row)| row)
            .skip_while(|row| !after.is_empty() && *row.key <= *after)
            .take_while(|row| row.key.starts_with(prefix))
            .take(limit)
            .cloned()
            .collect()
    }

    /// Returns the number of rows.
    pub fn row_count(&self) -> usize {
        self.rows.len()
    }

    fn row_version(&self, key: &str) -> u64 {
        self.rows.get(key).map_or(0, |row| row.version)
    }

    fn satisfies(&self, condition: &Condition) -> bool {
        self.row_version(&condition.key) == condition.version
    }

    fn apply(&mut self, write: &Write, token: &str) {
        let Some(value) = &write.value else {
            self.rows.remove(&write.key);
            return;
        };
        let row = Row {
            key: write.key.clone(),
            value: value.clone(),
            version: self.version,
            token: token.to_owned(),
        };
        self.rows.insert(write.key.clone(), row);
    }
}
