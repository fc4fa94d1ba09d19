use super::{CommitAnswer, Row, StoreFault, Transaction};

/// The certain outcome of a transaction.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Settled {
    /// The transaction took effect, exactly once.
    Committed {
        /// The version of the rows that it wrote.
        version: u64,
    },
    /// The transaction had no effect and never will.
    Conflict {
        /// The key of the condition that didn't hold.
        key: String,
    },
}

/// The next step towards the outcome of a transaction.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum SettlementStep {
    /// Send the same transaction again, after a back-off.
    Resend,
    /// Read the row with this key, after a back-off if the last read failed.
    Read(String),
    /// The outcome is known.
    Done(Settled),
}

/// The state machine that determines the outcome of one transaction.
///
/// After a lost answer, the same transaction is sent again with the same
/// token. It can't take effect twice, because its first effect changes the
/// versions on which it is conditioned. A read alone wouldn't be enough,
/// because the lost transaction might still arrive after the read.
///
/// A conflict, in contrast, is final: versions only grow, so a condition
/// that doesn't hold never holds again. After a conflict the row of the
/// transaction's first write is read, and its token shows whether an earlier
/// attempt took effect. That row must be one that no other writer
/// overwrites.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Settlement {
    transaction: Transaction,
    /// Whether an attempt without an answer may have taken effect.
    doubtful: bool,
    /// The key of the condition that failed, while the row that shows whether
    /// an earlier attempt took effect is being read.
    conflict_key: Option<String>,
}

impl Settlement {
    /// Returns the state for a transaction that is about to be sent.
    pub fn new(transaction: Transaction) -> Settlement {
        Settlement { transaction, doubtful: false, conflict_key: None }
    }

    /// Returns the transaction.
    pub fn transaction(&self) -> &Transaction {
        &self.transaction
    }

    /// Returns whether an attempt without an answer may have taken effect.
    pub fn is_doubtful(&self) -> bool {
        self.doubtful
    }

    /// Applies the result of an attempt to commit.
    pub fn on_commit(
        &mut self,
        answer: Result<CommitAnswer, StoreFault>,
    ) -> SettlementStep {
        match answer {
            Ok(CommitAnswer::Committed { version }) => {
                SettlementStep::Done(Settled::Committed { version })
            }
            Ok(CommitAnswer::Conflict { key, .. }) if self.doubtful => {
                self.conflict_key = Some(key);
                self.read_proof()
            }
            Ok(CommitAnswer::Conflict { key, .. }) => {
                SettlementStep::Done(Settled::Conflict { key })
            }
            Err(StoreFault::Unknown) => {
                self.doubtful = true;
                SettlementStep::Resend
            }
            Err(StoreFault::Unavailable) => SettlementStep::Resend,
        }
    }

    /// Applies the result of the read that follows a conflict.
    pub fn on_read(
        &mut self,
        answer: Result<Option<Row>, StoreFault>,
    ) -> SettlementStep {
        let Ok(row) = answer else { return self.read_proof() };
        match row {
            Some(row) if row.token == self.transaction.token => {
                SettlementStep::Done(Settled::Committed {
                    version: row.version,
                })
            }
            _ => SettlementStep::Done(Settled::Conflict {
                key: self.conflict_key.clone().unwrap_or_default(),
            }),
        }
    }

    /// Returns the read of the row whose token shows whether an earlier
    /// attempt took effect.
    fn read_proof(&self) -> SettlementStep {
        let proof = self.transaction.writes.first();
        SettlementStep::Read(proof.map_or(String::new(), |w| w.key.clone()))
    }
}
