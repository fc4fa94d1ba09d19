//! What an owner finds in the store when it takes over.

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

/// How long a read or write may take.
const CALL_TIMEOUT_MS: u64 = 1_500;
/// The pause after a failure.
const RETRY_MS: u64 = 50;

/// What was loaded.
pub(super) struct Loaded {
    /// The number of jobs.
    pub(super) jobs: usize,
    /// Where the feed of jobs goes on.
    pub(super) jobs_version: u64,
    /// The version of the head row.
    pub(super) head: u64,
}

impl Owner {
    /// Takes the progress over and loads it with the jobs; `None` where the
    /// ownership ended.
    pub(super) async fn load(&self) -> Option<Loaded> {
        if let Some(config) = self.node.config.borrow().clone() {
            self.engine.borrow_mut().set_config(config);
        }
        // The head comes first: from then on no earlier owner's write counts.
        let head = self.take_head().await?;
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
        // Listed workers are known before claims name them.
        self.load_listings().await?;
        let jobs_version = jobs.version;
        let jobs = self.restore(progress, jobs);
        Some(Loaded { jobs, jobs_version, head })
    }

    async fn take_head(&self) -> Option<u64> {
        let record = HeadRecord { term: self.term, sequence: 0 };
        while self.alive.get() {
            match self.try_take_head(record).await {
                Ok(Some(version)) => return Some(version),
                Ok(None) => return None,
                Err(err) => {
                    warn!(self.node.log, "owner: head not taken";
                        "reason" => %err);
                    clock::pause(RETRY_MS).await;
                }
            }
        }
        None
    }

    async fn try_take_head(
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
                Err(StoreError::NotDone("the head row changed".to_owned()))
            }
        }
    }

    async fn read_part(&self, part: Part) -> Option<Page> {
        self.read_table(JOBS_TABLE, &part.name()).await
    }

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
                    warn!(self.node.log, "owner: part not read";
                        "table" => table, "part" => part,
                        "reason" => %err);
                    clock::pause(RETRY_MS).await;
                }
            }
        }
        None
    }

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

/// Reads a row of an accepted job; `None` for another row, a removed one, or
/// one that can't be read.
pub(super) fn decode_job(
    log: &Logger,
    row: &Row,
) -> Option<(JobKey, JobRecord)> {
    let Some(JobsKey::Job(key)) = parse_jobs_key(&row.name.key) else {
        return None;
    };
    let record = decode(row.value.as_deref()?);
    if record.is_none() {
        warn!(log, "job: unreadable row"; "job" => %key,
            "store_version" => row.version);
    }
    Some((key, record?))
}
