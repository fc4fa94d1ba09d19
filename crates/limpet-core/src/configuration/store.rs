use std::sync::Arc;

use super::{ConfigUpdate, Proposal};
use crate::{
    Error, ErrorKind, Result, Revision,
    config::{CellConfig, ConfigChange},
    table::{Row, Settled, Transaction},
};

/// The key of the row that instances poll.
pub const REVISION_KEY: &str = "config/revision";
/// The key of the row with the whole configuration.
pub const CELL_KEY: &str = "config/cell";
/// How many rows of past changes are kept.
const CHANGES_KEPT: u64 = 1_000;

/// What a read of the revision row means.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RevisionStep {
    /// What is in force was the newest when the read left.
    UpToDate,
    /// There is a newer one; read [`CELL_KEY`].
    ReadCell,
    /// The cell has no configuration yet.
    Absent,
}

/// The configuration in force at one instance.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ConfigStore {
    current: Option<Arc<CellConfig>>,
    version: u64,
}

impl ConfigStore {
    /// Returns the store of an instance that has just started. Nothing is
    /// in force until the table or a peer has said what is.
    pub fn new() -> ConfigStore {
        ConfigStore::default()
    }

    /// Returns what is in force.
    pub fn current(&self) -> Option<&Arc<CellConfig>> {
        self.current.as_ref()
    }

    /// Returns the revision in force, 0 before there is one.
    pub fn revision(&self) -> Revision {
        self.current.as_ref().map_or(Revision::new(0), |cell| cell.revision)
    }

    /// Returns what to hand to an instance with an older revision.
    pub fn update(&self) -> Option<ConfigUpdate> {
        let config = (**self.current.as_ref()?).clone();
        Some(ConfigUpdate { version: self.version, config })
    }

    /// Puts a configuration into force and returns whether it is newer than
    /// what was. An older one, or the same again, changes nothing.
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

    /// Takes a read of [`REVISION_KEY`].
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Internal`] where the row can't be read.
    pub fn on_revision(&self, row: Option<&Row>) -> Result<RevisionStep> {
        let Some(row) = row else { return Ok(RevisionStep::Absent) };
        let revision = row.parse::<Revision>()?;
        let known = self.current.is_some() && revision <= self.revision();
        Ok(if known { RevisionStep::UpToDate } else { RevisionStep::ReadCell })
    }

    /// Takes a read of [`CELL_KEY`] and returns whether it was newer.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Internal`] where the row can't be read.
    pub fn on_cell(&mut self, row: &Row) -> Result<bool> {
        let config = row.parse::<CellConfig>()?;
        Ok(self.adopt(ConfigUpdate { version: row.version, config }))
    }

    /// Returns the transaction that gives the cell its first configuration,
    /// unless it has one.
    pub fn bootstrap(first: &CellConfig, token: &str) -> Proposal {
        let mut config = first.clone();
        config.revision = Revision::new(1);
        let transaction = write(token, &config, 0, &"bootstrap");
        Proposal { transaction, config: Arc::new(config) }
    }

    /// Returns the transaction of a change on top of what is in force.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Conflict`] where `expected` is not the revision in
    /// force, [`ErrorKind::StoreUnavailable`] before anything is in force,
    /// and the errors of [`CellConfig::apply`].
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

    /// Takes the fate of a proposal and returns its revision.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Conflict`] where another change came first.
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

/// The row of the change comes first: it is the proof that settles.
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
