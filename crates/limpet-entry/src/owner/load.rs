//! Loads the state of earlier owners from the store after a takeover.

use std::collections::HashMap;

use limpet_adapter::{
    Page, Row, RowExpectation, RowWrite, StoreError, Transaction,
    TransactionOutcome,
};
use limpet_workflow::{JobKey, JobProgress, JobRecord};
use slog::{Logger, warn};

use super::Owner;
use crate::{
    clock,
    rows::{
        HeadRecord, JOBS_TABLE, JobsKey, PROGRESS_PART, PROGRESS_TABLE, Part,
        decode, encode, head_row, parse_jobs_key,
    },
};

/// The time-out of a call of the store.
const CALL_TIMEOUT_MS: u64 = 1_500;
/// The pause after a failed call.
const RETRY_MS: u64 = 50;

/// The result of loading: how much was loaded, and from which versions the
/// owner continues.
pub(super) struct Loaded {
    /// The number of jobs.
    pub(super) jobs: usize,
    /// The version from which to follow the table of jobs.
    pub(super) jobs_version: u64,
    /// The version of the head row.
    pub(super) head: u64,
}

impl Owner {
    /// Takes over the head row, then loads workers, jobs and their progress.
    /// Returns `None` if the ownership ended.
    pub(super) async fn load(&self) -> Option<Loaded> {
        if let Some(config) = self.node.config.borrow().clone() {
            self.engine.borrow_mut().set_config(config);
        }
        // The head row comes first: no earlier owner can write after that.
        let head = self.claim_head().await?;
        let progress = self.read_table(PROGRESS_TABLE, PROGRESS_PART).await?;
        let pages = futures::future::join_all(
            Part::all().map(|part| self.read_part(part)),
        )
        .await;
        let mut jobs = Page { version: u64::MAX, ..Page::default() };
        for page in pages {
            let page = page?;
            jobs.version = jobs.version.min(page.version);
            jobs.rows.extend(page.rows);
        }
        // Workers come before the claims that refer to them.
        self.load_listings().await?;
        let jobs_version = jobs.version;
        let jobs = self.restore(progress, jobs);
        Some(Loaded { jobs, jobs_version, head })
    }

    /// Writes this owner's term to the head row, with retries. Returns its
    /// version; `None` if the ownership ended.
    async fn claim_head(&self) -> Option<u64> {
        let record = HeadRecord { term: self.term, sequence: 0 };
        while self.alive.get() {
            match self.try_claim_head(record).await {
                Ok(Some(version)) => return Some(version),
                Ok(None) => return None,
                Err(err) => {
                    warn!(self.node.log,
                        "owner: head row not written; retrying";
                        "reason" => %err);
                    clock::pause(RETRY_MS).await;
                }
            }
        }
        None
    }

    /// Tries once to write the head row, and returns its version. Ends the
    /// ownership and returns `None` if the row has a later term.
    async fn try_claim_head(
        &self,
        record: HeadRecord,
    ) -> Result<Option<u64>, StoreError> {
        let store = &self.node.store;
        let row = store.read_row(&head_row(), CALL_TIMEOUT_MS).await?;
        let found: HeadRecord =
            row.value.as_deref().and_then(decode).unwrap_or_default();
        if found == record && row.version != 0 {
            return Ok(Some(row.version));
        }
        if found.term > self.term {
            self.end();
            return Ok(None);
        }
        let transaction = Transaction {
            expect: vec![RowExpectation {
                name: head_row(),
                version: row.version,
            }],
            writes: vec![RowWrite {
                name: head_row(),
                value: encode(&record),
            }],
            removes: Vec::new(),
        };
        match store.transact(&transaction, CALL_TIMEOUT_MS).await? {
            TransactionOutcome::Applied(version) => Ok(Some(version)),
            TransactionOutcome::Conflict(_) => {
                Err(StoreError::NoEffect("the head row changed".to_owned()))
            }
        }
    }

    /// Reads a part of the table of jobs.
    async fn read_part(&self, part: Part) -> Option<Page> {
        self.read_table(JOBS_TABLE, &part.name()).await
    }

    /// Reads a part of a table, with retries; `None` if the ownership ended.
    pub(super) async fn read_table(
        &self,
        table: &str,
        part: &str,
    ) -> Option<Page> {
        while self.alive.get() {
            let store = &self.node.store;
            match store.read_all(table, part, CALL_TIMEOUT_MS).await {
                Ok(page) => return Some(page),
                Err(err) => {
                    warn!(self.node.log, "owner: table not read; retrying";
                        "table" => table, "part" => part,
                        "reason" => %err);
                    clock::pause(RETRY_MS).await;
                }
            }
        }
        None
    }

    /// Passes the loaded jobs with their progress and cancellations to the
    /// engine. Returns the number of jobs.
    fn restore(&self, progress: Page, jobs: Page) -> usize {
        let mut saved: HashMap<JobKey, JobProgress> = HashMap::new();
        for row in progress.rows {
            let key = row.name.key.parse::<JobKey>().ok();
            let value = row.value.as_deref().and_then(decode);
            if let (Some(key), Some(value)) = (key, value) {
                saved.insert(key, value);
            }
        }
        let now = clock::moment();
        let mut engine = self.engine.borrow_mut();
        let mut count = 0;
        for row in &jobs.rows {
            if let Some((key, record)) = decode_job(&self.node.log, row) {
                count += 1;
                let progress = saved.remove(&key);
                engine.restore_job(key, record, progress, now);
            }
        }
        for row in &jobs.rows {
            if let Some(JobsKey::Cancel(key)) = parse_jobs_key(&row.name.key) {
                engine.cancel_job(key, now);
            }
        }
        count
    }
}

/// Decodes the row of an accepted job. Returns `None` for a row of another
/// kind, a removed row, or one that is invalid.
pub(super) fn decode_job(
    log: &Logger,
    row: &Row,
) -> Option<(JobKey, JobRecord)> {
    let Some(JobsKey::Job(key)) = parse_jobs_key(&row.name.key) else {
        return None;
    };
    let record = decode(row.value.as_deref()?);
    if record.is_none() {
        warn!(log, "job: row undecodable; ignored"; "job" => %key,
            "store_version" => row.version);
    }
    Some((key, record?))
}
