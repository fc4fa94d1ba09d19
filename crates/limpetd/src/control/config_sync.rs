//! Keeps the configuration in step with the table, and changes it.
//!
//! The table holds the configuration and its revision in two rows. Each
//! instance polls the revision; the instance that makes a change also sends
//! the new configuration to the others.

use std::time::Duration;

use limpet_core::{
    Error, ErrorKind, Result, Revision,
    command::ChangeRecord,
    config::{CellConfig, ConfigChange, KeySecret, Role},
};
use limpet_platform::{
    CommitAnswer, Condition, PortError, TablePort, Transaction, Write,
};
use slog::{info, warn};

use super::{ControlState, SharedState, command::ChangeRow, key};
use crate::metrics::Counter;

/// How long keys count as granted after the configuration was last confirmed
/// by the table, in milliseconds. So a withdrawal is in force at every
/// instance once this time has passed.
const KEY_FRESH_MS: u64 = 2_500;

/// How many records of past changes are kept.
const CHANGES_KEPT: u64 = 1_000;

/// The result of reading the configuration.
enum ConfigRead {
    /// The table has the version that is known already.
    Unchanged,
    /// Another configuration, and the version of its row.
    Changed(CellConfig, u64),
    /// The table has no configuration yet.
    Missing,
}

/// Reads the configuration from the table at each poll interval.
pub(super) async fn run(state: SharedState) {
    let interval_ms = state.borrow().parts.settings.control.config_poll_ms;
    loop {
        poll(&state).await;
        actix_rt::time::sleep(Duration::from_millis(interval_ms)).await;
    }
}

/// Reads the configuration once and puts a newer one into force. Writes the
/// first one if there is none.
pub(super) async fn poll(state: &SharedState) {
    let (table, known, sent_at) = {
        let state = state.borrow();
        let table = state.parts.platform.table.clone();
        (table, state.config_version, state.now())
    };
    match read_config(&table, known).await {
        Ok(ConfigRead::Unchanged) => {}
        Ok(ConfigRead::Changed(config, version)) => {
            let mut state = state.borrow_mut();
            info!(
                state.parts.log,
                "config: read a new revision; putting it into force";
                "revision" => config.revision.get()
            );
            state.adopt_config(config, version);
        }
        Ok(ConfigRead::Missing) => {
            create_first(state, &table).await;
            return;
        }
        Err(err) => {
            let state = state.borrow();
            state.parts.metrics.add(Counter::TableFailures, 1);
            warn!(
                state.parts.log,
                "config: reading the table failed; keeping the known revision";
                "error" => %err
            );
            return;
        }
    }
    let mut state = state.borrow_mut();
    state.parts.metrics.add(Counter::RowsRead, 1);
    // Counted from the time at which the read was sent: the answer may be out
    // of date by the time it arrives.
    state.keys_fresh_until = sent_at.plus_ms(KEY_FRESH_MS);
    state.publish_view();
}

/// Reads the configuration, and only its revision if the version is `known`.
async fn read_config(
    table: &TablePort,
    known: u64,
) -> std::result::Result<ConfigRead, PortError> {
    let Some(revision) = (table.read)(key::CONFIG_REVISION.to_owned()).await?
    else {
        return Ok(ConfigRead::Missing);
    };
    if revision.version == known {
        return Ok(ConfigRead::Unchanged);
    }
    let Some(cell) = (table.read)(key::CONFIG_CELL.to_owned()).await? else {
        return Ok(ConfigRead::Missing);
    };
    let config = serde_json::from_str(&cell.value)
        .map_err(|err| PortError::Unavailable(err.to_string()))?;
    // Both rows are written by the same transactions, so their versions are
    // equal, unless a transaction was committed between the two reads. The
    // configuration's own version is then the newer one.
    Ok(ConfigRead::Changed(config, cell.version))
}

/// Writes the first configuration. It is not an error if another instance has
/// written one before.
async fn create_first(state: &SharedState, table: &TablePort) {
    let config = state.borrow().first_config();
    let transaction = state.borrow_mut().config_transaction(&config, 0);
    let answer = (table.commit)(transaction).await;
    if let Err(err) = answer {
        let state = state.borrow();
        warn!(
            state.parts.log,
            "config: writing the first configuration failed; retrying";
            "error" => %err
        );
    }
}

/// Applies changes to the configuration, all or none, provided that it is
/// still at the `expected` revision. `record` says who made them, and is
/// written in the same transaction. Returns the new revision.
///
/// # Errors
///
/// [`ErrorKind::Conflict`] if another change came first, the error of a
/// change that can't be applied, [`ErrorKind::StoreUnavailable`] if nothing
/// was written, and [`ErrorKind::StoreUnknown`] if it is unknown whether the
/// changes were written.
pub(super) async fn change_config(
    state: &SharedState,
    changes: &[ConfigChange],
    expected: Option<Revision>,
    record: Option<ChangeRecord>,
) -> Result<Revision> {
    let table = state.borrow().parts.platform.table.clone();
    let (config, version) = read_current(&table).await?;
    if let Some(expected) = expected
        && expected != config.revision
    {
        return Err(conflict(expected, config.revision));
    }
    let mut next = config.clone();
    for change in changes {
        next.apply(change)?;
    }
    // All changes of a call together make one revision.
    next.revision = config.revision.next();
    let mut transaction =
        state.borrow_mut().config_transaction(&next, version);
    if let Some(record) = record {
        let changes = changes.to_vec();
        let record = ChangeRecord { revision: next.revision, ..record };
        add_record(&mut transaction, &ChangeRow { record, changes });
    }
    let token = transaction.token.clone();
    match commit_config(&table, transaction).await? {
        Some(version) => {
            let shared = state;
            let mut state = state.borrow_mut();
            state.parts.metrics.add(Counter::RowsWritten, 2);
            let revision = next.revision;
            info!(
                state.parts.log,
                "config: change committed; sending it to other instances";
                "revision" => revision.get(), "token" => token
            );
            state.adopt_config(next, version);
            drop(state);
            push_config(shared);
            Ok(revision)
        }
        None => Err(conflict(config.revision, config.revision.next())),
    }
}

/// Extends a transaction so that it records its change and deletes the oldest
/// record.
fn add_record(transaction: &mut Transaction, row: &ChangeRow) {
    let revision = row.record.revision;
    transaction.writes.push(Write {
        key: key::config_change(revision),
        value: serde_json::to_string(row).ok(),
    });
    if let Some(old) = revision.get().checked_sub(CHANGES_KEPT) {
        transaction.writes.push(Write {
            key: key::config_change(Revision::new(old)),
            value: None,
        });
    }
}

/// Returns the configuration in the table and its version.
async fn read_current(table: &TablePort) -> Result<(CellConfig, u64)> {
    match read_config(table, 0).await? {
        ConfigRead::Changed(config, version) => Ok((config, version)),
        ConfigRead::Unchanged | ConfigRead::Missing => Err(Error::new(
            ErrorKind::StoreUnavailable,
            "the table has no configuration yet",
        )),
    }
}

/// Commits a configuration and returns its version, or `None` if another
/// change came first. If the answer is lost, the token of the row shows
/// whether this transaction wrote it.
async fn commit_config(
    table: &TablePort,
    transaction: Transaction,
) -> Result<Option<u64>> {
    let token = transaction.token.clone();
    match (table.commit)(transaction).await {
        Ok(CommitAnswer::Committed { version }) => Ok(Some(version)),
        Ok(CommitAnswer::Conflict { .. }) => Ok(None),
        Err(PortError::Unavailable(why)) => {
            Err(Error::new(ErrorKind::StoreUnavailable, why))
        }
        Err(PortError::Unknown(why)) => {
            let unknown = || Error::new(ErrorKind::StoreUnknown, why.clone());
            let row = (table.read)(key::CONFIG_CELL.to_owned())
                .await
                .map_err(|_| unknown())?;
            match row {
                Some(row) if row.token == token => Ok(Some(row.version)),
                // The write may still arrive at the table.
                _ => Err(unknown()),
            }
        }
    }
}

fn conflict(expected: Revision, found: Revision) -> Error {
    Error::new(
        ErrorKind::Conflict,
        format!("the configuration is at revision {found}, not {expected}"),
    )
}

impl ControlState {
    /// Returns the configuration from the settings, with the operator's key.
    fn first_config(&self) -> CellConfig {
        let cell = &self.parts.settings.cell;
        let mut config = cell.first_config();
        config.revision = Revision::new(1);
        if let Some(text) = &cell.operator_key
            && let Ok(secret) = KeySecret::parse(text)
        {
            let salt = rand::random();
            let record = secret.to_record(None, Role::Operate, salt, None);
            config.keys.insert(secret.id().clone(), record);
        }
        config
    }

    /// Returns the transaction that writes a configuration, provided that the
    /// table still has `version`.
    fn config_transaction(
        &mut self,
        config: &CellConfig,
        version: u64,
    ) -> Transaction {
        Transaction {
            token: self.next_token(),
            conditions: vec![Condition {
                key: key::CONFIG_REVISION.to_owned(),
                version,
            }],
            writes: vec![
                Write {
                    key: key::CONFIG_REVISION.to_owned(),
                    value: Some(config.revision.to_string()),
                },
                Write {
                    key: key::CONFIG_CELL.to_owned(),
                    value: serde_json::to_string(config).ok(),
                },
            ],
        }
    }
}

/// A configuration that one instance sends to another after a change.
#[derive(serde::Deserialize, serde::Serialize)]
struct PushedConfig {
    config: CellConfig,
    version: u64,
}

/// Puts a configuration that another instance sent into force, unless it is
/// older than the current one, and returns the revision then in force.
///
/// # Errors
///
/// [`ErrorKind::InvalidRequest`] if `body` can't be parsed.
pub(crate) fn adopt_pushed_config(
    state: &SharedState,
    body: &[u8],
) -> Result<Revision> {
    let pushed: PushedConfig =
        serde_json::from_slice(body).map_err(|err| {
            Error::new(ErrorKind::InvalidRequest, err.to_string())
        })?;
    let mut state = state.borrow_mut();
    state.adopt_config(pushed.config, pushed.version);
    Ok(state.config.revision)
}

/// Sends the configuration in force to every other instance. An instance that
/// doesn't receive it reads it from the table at its next poll.
fn push_config(state: &SharedState) {
    let (peers, body) = {
        let state = state.borrow();
        let pushed = PushedConfig {
            config: CellConfig::clone(&state.config),
            version: state.config_version,
        };
        (state.parts.peers.clone(), serde_json::to_vec(&pushed))
    };
    let Ok(body) = body else { return };
    let body = std::rc::Rc::new(body);
    for entry in peers.entries() {
        let (peers, body) = (peers.clone(), std::rc::Rc::clone(&body));
        actix_rt::spawn(async move {
            let _ = peers.configure(&entry.link_address, &body).await;
        });
    }
}
