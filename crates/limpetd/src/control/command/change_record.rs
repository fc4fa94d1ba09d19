//! Who changed what: rows in the table that `show changes` lists.
//!
//! A change of the configuration is recorded in the transaction that makes
//! it, a change of jobs in a row of its own once it is durable.

use limpet_core::{
    Error, ErrorKind, Result,
    command::{Change, ChangeRecord},
    config::ConfigChange,
};
use limpet_platform::{Row, TablePort, Transaction, Write};

use super::super::{SharedState, key, message::Asker};

/// The most rows of each kind that are read for one answer.
const READ_LIMIT: usize = 1_100;
/// The changes of jobs that are kept.
const KEPT: usize = 1_000;
/// How many changes of jobs an instance records between two looks for old
/// ones.
const PRUNE_EVERY: u64 = 100;

/// The value of the row of one change.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub(in super::super) struct ChangeRow {
    /// What people read.
    pub(in super::super) record: ChangeRecord,
    /// What changed in the configuration.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub(in super::super) changes: Vec<ConfigChange>,
}

/// Reads every change that is kept, the oldest first.
pub(super) async fn read_all(
    state: &SharedState,
) -> Result<Vec<ChangeRecord>> {
    let table = state.borrow().parts.platform.table.clone();
    let mut records = Vec::new();
    for prefix in [key::CONFIG_CHANGE_PREFIX, key::JOB_CHANGE_PREFIX] {
        let rows = scan(&table, prefix).await?;
        // A row that an older version wrote otherwise is left out.
        let parsed = rows
            .iter()
            .filter_map(|row| serde_json::from_str(&row.value).ok())
            .map(|row: ChangeRow| row.record);
        records.extend(parsed);
    }
    records.sort_by_key(|record| record.at);
    Ok(records)
}

async fn scan(table: &TablePort, prefix: &str) -> Result<Vec<Row>> {
    let rows = (table.scan)(prefix.to_owned(), String::new(), READ_LIMIT);
    Ok(rows.await?)
}

/// Records a change of jobs.
pub(super) async fn write(
    state: &SharedState,
    asker: &Asker,
    change: &Change,
    after: String,
) -> Result<()> {
    let (table, transaction) = {
        let mut state = state.borrow_mut();
        let at = state.parts.wall_clock.now();
        let record = ChangeRecord {
            revision: state.config.revision,
            at,
            key: asker.key.clone(),
            command: change.to_string(),
            before: String::new(),
            after,
        };
        let row = ChangeRow { record, changes: Vec::new() };
        let value = serde_json::to_string(&row)
            .map_err(|err| Error::new(ErrorKind::Internal, err.to_string()))?;
        let token = state.draw_token();
        let key = key::job_change(at, &token);
        let writes = vec![Write { key, value: Some(value) }];
        let table = state.parts.platform.table.clone();
        (table, Transaction { token, conditions: Vec::new(), writes })
    };
    (table.commit)(transaction).await?;
    prune_now_and_then(state, &table).await;
    Ok(())
}

/// Deletes the oldest changes of jobs beyond those that are kept. A failure
/// leaves them for the next time.
async fn prune_now_and_then(state: &SharedState, table: &TablePort) {
    let transaction = {
        let mut state = state.borrow_mut();
        state.job_changes_recorded += 1;
        if !state.job_changes_recorded.is_multiple_of(PRUNE_EVERY) {
            return;
        }
        let token = state.draw_token();
        Transaction { token, conditions: Vec::new(), writes: Vec::new() }
    };
    let Ok(rows) = scan(table, key::JOB_CHANGE_PREFIX).await else { return };
    let old = rows.len().saturating_sub(KEPT);
    let writes = rows
        .into_iter()
        .take(old)
        .map(|row| Write { key: row.key, value: None });
    let writes: Vec<Write> = writes.collect();
    if !writes.is_empty() {
        let _ = (table.commit)(Transaction { writes, ..transaction }).await;
    }
}
