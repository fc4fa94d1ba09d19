//! A job as the table of jobs has it: its row, and that of its cancellation.

use limpet_adapter::{RowName, StoreError};
use limpet_workflow::{JobKey, JobPhase};

use crate::{
    node::Node,
    progress_row::ProgressRecord,
    rows::{CancelRecord, cancel_row, decode, job_row},
};

/// The rows of a job, read at one version of the store.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct StoredJob {
    /// The version of the job's row; 0 if there is none.
    pub version: u64,
    /// The version of the row of its cancellation; 0 if there is none.
    pub cancel_version: u64,
    /// The request that wrote that row; 0 if it is of an earlier version of
    /// this system, or missing.
    pub cancel_request: u64,
}

impl StoredJob {
    /// Returns the phase of the job by the progress that was found before its
    /// rows were read; `None` if there is no such job.
    ///
    /// Progress without a row of the job is that of an expired one, and an
    /// earlier submission's may not be removed yet. A cancellation that is
    /// older than its job certainly takes effect; of a later one the owner
    /// decides.
    pub fn phase(&self, records: &[ProgressRecord]) -> Option<JobPhase> {
        if self.version == 0 {
            return None;
        }
        let newest = records
            .iter()
            .filter(|record| {
                let submission = record.stamp.submission;
                submission == 0 || submission == self.version
            })
            .max_by_key(|record| record.stamp);
        if let Some(newest) = newest {
            return Some(newest.progress.phase);
        }
        let is_cancelled = (1..self.version).contains(&self.cancel_version);
        Some(match is_cancelled {
            true => JobPhase::Cancelled,
            false => JobPhase::Queued,
        })
    }
}

/// Reads the rows of a job.
///
/// # Errors
///
/// As [`limpet_adapter::Store::read`].
pub async fn read_job(
    node: &Node,
    job: JobKey,
    timeout_ms: u64,
) -> Result<StoredJob, StoreError> {
    let (first, last) = (job_row(job), cancel_row(job));
    let to = format!("{}\u{1}", last.key);
    let RowName { table, part, key: from } = &first;
    let page = node.store.read(table, part, from, &to, timeout_ms).await?;
    let found =
        |name: &RowName| page.rows.iter().find(|row| row.name.key == name.key);
    let cancel = found(&last);
    let record: Option<CancelRecord> =
        cancel.and_then(|row| decode(row.value.as_deref()?));
    Ok(StoredJob {
        version: found(&first).map_or(0, |row| row.version),
        cancel_version: cancel.map_or(0, |row| row.version),
        cancel_request: record.unwrap_or_default().request,
    })
}
