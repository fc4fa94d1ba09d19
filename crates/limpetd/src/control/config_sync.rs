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

/// How long a key counts as granted after the table confirmed the
/// configuration, in milliseconds. A withdrawal is in force everywhere once
/// this has passed.
const KEY_FRESH_MS: u64 = 2_500;

/// The rows of past changes that are kept.
const CHANGES_KEPT: u64 = 1_000;

/// What one look at the table found.
enum Seen {
    /// The configuration is the one in force.
    Unchanged,
    /// A newer configuration, and the version of its revision's row.
    Changed(CellConfig, u64),
    /// There is none yet.
    Missing,
}

/// Follows the configuration in the table.
pub(super) async fn run(state: SharedState) {
    let interval_ms = state.borrow().parts.settings.control.config_poll_ms;
    loop {
        poll(&state).await;
        actix_rt::time::sleep(Duration::from_millis(interval_ms)).await;
    }
}

/// Looks for a newer configuration once.
pub(super) async fn poll(state: &SharedState) {
    let (table, known, sent_at) = {
        let state = state.borrow();
        let table = state.parts.platform.table.clone();
        (table, state.config_version, state.now())
    };
    match look(&table, known).await {
        Ok(Seen::Unchanged) => {}
        Ok(Seen::Changed(config, version)) => {
            let mut state = state.borrow_mut();
            info!(state.parts.log, "config: in force";
                "revision" => config.revision.get());
            state.adopt_config(config, version);
        }
        Ok(Seen::Missing) => {
            create_first(state, &table).await;
            return;
        }
        Err(err) => {
            let state = state.borrow();
            state.parts.metrics.add(Counter::TableFailures, 1);
            warn!(state.parts.log, "config: not read"; "error" => %err);
            return;
        }
    }
    let mut state = state.borrow_mut();
    state.parts.metrics.add(Counter::RowsRead, 1);
    // Counted from before the read was sent, since the answer may be old by
    // the time that it is seen.
    state.keys_fresh_until = sent_at.plus_ms(KEY_FRESH_MS);
    state.publish_view();
}

async fn look(
    table: &TablePort,
    known: u64,
) -> std::result::Result<Seen, PortError> {
    let Some(revision) = (table.read)(key::CONFIG_REVISION.to_owned()).await?
    else {
        return Ok(Seen::Missing);
    };
    if revision.version == known {
        return Ok(Seen::Unchanged);
    }
    let Some(cell) = (table.read)(key::CONFIG_CELL.to_owned()).await? else {
        return Ok(Seen::Missing);
    };
    let config = serde_json::from_str(&cell.value)
        .map_err(|err| PortError::Unavailable(err.to_string()))?;
    // Both rows are written together, so they bear the same version; the
    // cell's may be newer than the revision that was read before it.
    Ok(Seen::Changed(config, cell.version))
}

/// Writes the first configuration, unless another instance was faster.
async fn create_first(state: &SharedState, table: &TablePort) {
    let config = state.borrow().first_config();
    let transaction = state.borrow_mut().config_transaction(&config, 0);
    let answer = (table.commit)(transaction).await;
    if let Err(err) = answer {
        let state = state.borrow();
        warn!(state.parts.log, "config: first one not written";
            "error" => %err);
    }
}

/// Makes changes to the configuration, all or none, if it is still at the
/// revision that they were made for. `record` says who made them, and is
/// written with them.
///
/// # Errors
///
/// [`ErrorKind::Conflict`] where another change came first, the error of a
/// change that can't be applied, and the store's.
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
    // However many changes came together, they are one revision.
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
            info!(state.parts.log, "config: changed";
                "revision" => revision.get(), "token" => token);
            state.adopt_config(next, version);
            drop(state);
            push_config(shared);
            Ok(revision)
        }
        None => Err(conflict(config.revision, config.revision.next())),
    }
}

/// Lets a transaction record its change and delete the oldest record.
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

async fn read_current(table: &TablePort) -> Result<(CellConfig, u64)> {
    match look(table, 0).await? {
        Seen::Changed(config, version) => Ok((config, version)),
        Seen::Unchanged | Seen::Missing => Err(Error::new(
            ErrorKind::StoreUnavailable,
            "the table has no configuration yet",
        )),
    }
}

/// Commits a configuration and returns its version, or `None` where another
/// change came first. A lost answer is settled by reading the row's token.
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
                // The write may still be on its way.
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

    fn config_transaction(
        &mut self,
        config: &CellConfig,
        version: u64,
    ) -> Transaction {
        Transaction {
            token: self.draw_token(),
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

/// A configuration that one instance pushes to another.
#[derive(serde::Deserialize, serde::Serialize)]
struct PushedConfig {
    config: CellConfig,
    version: u64,
}

/// Takes a configuration that another instance pushed, if it is newer, and
/// returns the revision that is in force afterwards.
///
/// # Errors
///
/// [`ErrorKind::InvalidRequest`] where the text can't be read.
pub(crate) fn take_pushed_config(
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

/// Pushes the configuration in force to every other instance. One that
/// misses it reads it from the table at its next poll.
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
