//! Records of changes, which `show changes` lists.
//!
//! A change to the configuration is recorded in the transaction that makes
//! it. A change to jobs is recorded in its own row once it is durable.

use limpet_core::{
    Error, ErrorKind, Result,
    command::{Change, ChangeRecord},
    config::ConfigChange,
};
use limpet_platform::{Row, TablePort, Transaction, Write};

use super::super::{SharedState, key, message::Caller};

/// The most records of each kind that are read for one answer.
const READ_LIMIT_ROWS: usize = 1_100;
/// How many records of changes to jobs are kept.
const RECORDS_KEPT: usize = 1_000;
/// After how many records of changes to jobs an instance deletes old ones.
const RECORDS_PER_PRUNE: u64 = 100;

/// The value of a change's row.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub(in super::super) struct ChangeRow {
    /// Who made the change, when, and what it did.
    pub(in super::super) record: ChangeRecord,
    /// The changes to the configuration; empty for a change to jobs.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub(in super::super) changes: Vec<ConfigChange>,
}

/// Reads all records of changes, the oldest first.
pub(super) async fn read_all(
    state: &SharedState,
) -> Result<Vec<ChangeRecord>> {
    let table = state.borrow().parts.platform.table.clone();
    let mut records = Vec::new();
    for prefix in [key::CONFIG_CHANGE_PREFIX, key::JOB_CHANGE_PREFIX] {
        let rows = scan(&table, prefix).await?;
        // Rows in the format of another version are left out.
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
    let rows = (table.scan)(prefix.to_owned(), String::new(), READ_LIMIT_ROWS);
    Ok(rows.await?)
}

/// Records a change to jobs. `after` says what it did.
pub(super) async fn write(
    state: &SharedState,
    caller: &Caller,
    change: &Change,
    after: String,
) -> Result<()> {
    let (table, transaction) = {
        let mut state = state.borrow_mut();
        let at = state.parts.wall_clock.now();
        let record = ChangeRecord {
            revision: state.config.revision,
            at,
            key: caller.key.clone(),
            command: change.to_string(),
            before: String::new(),
            after,
        };
        let row = ChangeRow { record, changes: Vec::new() };
        let value = serde_json::to_string(&row)
            .map_err(|err| Error::new(ErrorKind::Internal, err.to_string()))?;
        let token = state.next_token();
        let key = key::job_change(at, &token);
        let writes = vec![Write { key, value: Some(value) }];
        let table = state.parts.platform.table.clone();
        (table, Transaction { token, conditions: Vec::new(), writes })
    };
    (table.commit)(transaction).await?;
    prune_old_records(state, &table).await;
    Ok(())
}

/// Deletes the oldest records of changes to jobs beyond [`RECORDS_KEPT`], on
/// every [`RECORDS_PER_PRUNE`]th call. A failure leaves them for the next
/// time.
async fn prune_old_records(state: &SharedState, table: &TablePort) {
    let transaction = {
        let mut state = state.borrow_mut();
        state.job_changes_recorded += 1;
        if !state.job_changes_recorded.is_multiple_of(RECORDS_PER_PRUNE) {
            return;
        }
        let token = state.next_token();
        Transaction { token, conditions: Vec::new(), writes: Vec::new() }
    };
    let Ok(rows) = scan(table, key::JOB_CHANGE_PREFIX).await else { return };
    let old = rows.len().saturating_sub(RECORDS_KEPT);
    let writes = rows
        .into_iter()
        .take(old)
        .map(|row| Write { key: row.key, value: None });
    let writes: Vec<Write> = writes.collect();
    if !writes.is_empty() {
        let _ = (table.commit)(Transaction { writes, ..transaction }).await;
    }
}
