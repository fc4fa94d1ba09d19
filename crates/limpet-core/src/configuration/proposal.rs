use std::sync::Arc;

use crate::{config::CellConfig, table::Transaction};

/// A configuration with the version of its row, as instances pass it on to
/// each other.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct ConfigUpdate {
    /// The version of the table row that holds the configuration.
    pub version: u64,
    /// The configuration.
    pub config: CellConfig,
}

/// A change to the configuration that is not yet committed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Proposal {
    /// The transaction to commit. Its outcome has to be known before the
    /// operator is answered.
    pub transaction: Transaction,
    /// The configuration that is in force once the transaction has
    /// committed.
    pub config: Arc<CellConfig>,
}
