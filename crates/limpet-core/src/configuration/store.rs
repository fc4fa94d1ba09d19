use std::sync::Arc;

use super::{ConfigUpdate, Proposal};
use crate::{
    Error, ErrorKind, Result, Revision,
    config::{CellConfig, ConfigChange},
    table::{Row, Settled, Transaction},
};

/// The key of the row with the revision, which instances poll.
pub const REVISION_KEY: &str = "config/revision";
/// The key of the row with the complete configuration.
pub const CELL_KEY: &str = "config/cell";
/// How many rows of past changes are kept; each change deletes the oldest.
const CHANGES_KEPT: u64 = 1_000;

/// What to do after a read of the revision row.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RevisionStep {
    /// Nothing: the configuration in force was the newest when the row was
    /// read.
    UpToDate,
    /// Read [`CELL_KEY`], because there is a newer revision.
    ReadCell,
    /// Wait for a first configuration or commit one, because the cell has
    /// none yet.
    Absent,
}

/// The configuration in force at one instance.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ConfigStore {
    current: Option<Arc<CellConfig>>,
    /// The version of the table row that holds the current configuration.
    version: u64,
}

impl ConfigStore {
    /// Creates the store of an instance that has just started.
    ///
    /// No configuration is in force until one is read from the table or
    /// received from another instance.
    pub fn new() -> ConfigStore {
        ConfigStore::default()
    }

    /// Returns the configuration in force; `None` before there is one.
    pub fn current(&self) -> Option<&Arc<CellConfig>> {
        self.current.as_ref()
    }

    /// Returns the revision in force, or 0 before there is one.
    pub fn revision(&self) -> Revision {
        self.current.as_ref().map_or(Revision::new(0), |cell| cell.revision)
    }

    /// Returns the update to send to an instance that has an older revision;
    /// `None` before a configuration is in force.
    pub fn update(&self) -> Option<ConfigUpdate> {
        let config = (**self.current.as_ref()?).clone();
        Some(ConfigUpdate { version: self.version, config })
    }

    /// Puts a configuration into force if its revision is higher than the
    /// current one, and returns whether it was.
    pub fn adopt(&mut self, update: ConfigUpdate) -> bool {
        let newer = self
            .current
            .as_ref()
            .is_none_or(|current| update.config.revision > current.revision);
        if newer {
            self.version = update.version;
            self.current = Some(Arc::new(update.config));
        }
        newer
    }

    /// Handles the result of a read of [`REVISION_KEY`].
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::Internal`] where the row can't be parsed.
    pub fn on_revision(&self, row: Option<&Row>) -> Result<RevisionStep> {
        let Some(row) = row else { return Ok(RevisionStep::Absent) };
        let revision = row.parse::<Revision>()?;
        let known = self.current.is_some() && revision <= self.revision();
        Ok(if known { RevisionStep::UpToDate } else { RevisionStep::ReadCell })
    }

    /// Handles the result of a read of [`CELL_KEY`] and returns whether the
    /// configuration was newer than the one in force.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::Internal`] where the row can't be parsed.
    pub fn on_cell(&mut self, row: &Row) -> Result<bool> {
        let config = row.parse::<CellConfig>()?;
        Ok(self.adopt(ConfigUpdate { version: row.version, config }))
    }

    /// Returns the proposal of the cell's first configuration, with revision
    /// 1. It commits only where the cell has no configuration yet.
    pub fn bootstrap(first: &CellConfig, token: &str) -> Proposal {
        let mut config = first.clone();
        config.revision = Revision::new(1);
        let transaction = write(token, &config, 0, &"bootstrap");
        Proposal { transaction, config: Arc::new(config) }
    }

    /// Returns the proposal of a change to the configuration in force.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::Conflict`] where `expected` is not the revision
    /// in force, [`ErrorKind::StoreUnavailable`] before a configuration is
    /// in force, and the errors of [`CellConfig::apply`].
    pub fn propose(
        &self,
        change: &ConfigChange,
        expected: Option<Revision>,
        token: &str,
    ) -> Result<Proposal> {
        let current = self.current.as_ref().ok_or_else(|| {
            Error::new(
                ErrorKind::StoreUnavailable,
                "the configuration has not been read yet",
            )
        })?;
        if let Some(expected) = expected.filter(|&e| e != current.revision) {
            return Err(conflict(expected, current.revision));
        }
        let mut config = (**current).clone();
        config.apply(change)?;
        let transaction = write(token, &config, self.version, change);
        Ok(Proposal { transaction, config: Arc::new(config) })
    }

    /// Handles the outcome of a proposal: puts a committed one into force and
    /// returns its revision.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::Conflict`] where another change was committed
    /// first.
    pub fn on_settled(
        &mut self,
        proposal: &Proposal,
        settled: &Settled,
    ) -> Result<Revision> {
        let Settled::Committed { version } = *settled else {
            let revision = proposal.config.revision;
            return Err(Error::new(
                ErrorKind::Conflict,
                format!("revision {revision} was taken by another change"),
            ));
        };
        let config = (*proposal.config).clone();
        self.adopt(ConfigUpdate { version, config });
        Ok(proposal.config.revision)
    }
}

fn conflict(expected: Revision, current: Revision) -> Error {
    Error::new(
        ErrorKind::Conflict,
        format!("the revision is {current}, not {expected}"),
    )
}

/// Returns the transaction that writes `config` on top of row `version`.
///
/// The row of the change comes first because the first row of a transaction
/// is the one that is read to find out whether a commit took effect.
fn write(
    token: &str,
    config: &CellConfig,
    version: u64,
    change: &impl serde::Serialize,
) -> Transaction {
    let revision = config.revision;
    let change_key = |revision| format!("config/change/{revision:012}");
    let transaction = Transaction::new(token)
        .require(REVISION_KEY, version)
        .put(change_key(revision.get()), change)
        .put(REVISION_KEY, &revision)
        .put(CELL_KEY, config);
    match revision.get().checked_sub(CHANGES_KEPT) {
        Some(old) if old > 0 => transaction.delete(change_key(old)),
        _ => transaction,
    }
}
