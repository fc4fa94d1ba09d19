use super::{CommitAnswer, Row, StoreFault, Transaction};

/// What became of a transaction, for certain.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Settled {
    /// It took effect, once.
    Committed {
        /// The version of the rows that it wrote.
        version: u64,
    },
    /// It had no effect and will have none.
    Conflict {
        /// The key of the condition that didn't hold.
        key: String,
    },
}

/// What to do next for a transaction.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum SettlementStep {
    /// Send the same transaction again, after a back-off.
    Resend,
    /// Read this row, after a back-off where the last read failed.
    Read(String),
    /// Its fate is known.
    Done(Settled),
}

/// One transaction on its way to a certain fate.
///
/// After a lost answer the same transaction is sent again with the same
/// token. It can't take effect twice, because its own first effect breaks
/// its conditions. A read alone would not do: the lost write might still
/// arrive after the read. Once a condition is known not to hold it never
/// holds again, as versions only grow, and the row of the first write says
/// by its token whether an earlier attempt had taken effect. That row has
/// to be one that nobody else overwrites.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Settlement {
    transaction: Transaction,
    doubtful: bool,
    conflict_key: Option<String>,
}

impl Settlement {
    /// Returns the settlement of a transaction that is about to be sent.
    pub fn new(transaction: Transaction) -> Settlement {
        Settlement { transaction, doubtful: false, conflict_key: None }
    }

    /// Returns the transaction.
    pub fn transaction(&self) -> &Transaction {
        &self.transaction
    }

    /// Returns whether an attempt may have taken effect.
    pub fn is_doubtful(&self) -> bool {
        self.doubtful
    }

    /// Takes the answer to a commit.
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

    /// Takes the answer to the read that followed a conflict.
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

    fn read_proof(&self) -> SettlementStep {
        let proof = self.transaction.writes.first();
        SettlementStep::Read(proof.map_or(String::new(), |w| w.key.clone()))
    }
}
