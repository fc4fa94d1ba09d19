use std::sync::Arc;

use crate::{config::CellConfig, table::Transaction};

/// A configuration with the version of its row, as instances hand it on.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct ConfigUpdate {
    /// The version of the row that holds it.
    pub version: u64,
    /// The configuration.
    pub config: CellConfig,
}

/// A change on its way into the table.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Proposal {
    /// What to commit; to be settled before the operator is answered.
    pub transaction: Transaction,
    /// The configuration once it has committed.
    pub config: Arc<CellConfig>,
}
