//! Loads the state of earlier owners from the store after a takeover.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
};

use futures::{StreamExt, future, future::Either, stream};
use limpet_adapter::{
    Row, RowExpectation, RowWrite, StoreError, Transaction, TransactionOutcome,
};
use limpet_workflow::{JobKey, JobRecord};
use slog::{Logger, warn};

use super::{Owner, table_reader::TableReader};
use crate::{
    clock,
    progress_row::{self, ProgressRecord},
    rows::{
        self, HeadRecord, JOBS_TABLE, JobsKey, LANES, Lane, PARTS,
        PROGRESS_TABLE, Part, decode, encode, head_row, parse_jobs_key,
    },
};

/// The time-out of a call of the store.
const CALL_TIMEOUT_MS: u64 = 1_500;
/// The pause after a failed call.
const RETRY_MS: u64 = 50;

/// How long the progress of jobs takes to read on a slow link, at least.
const SLOW_READ_MS: u64 = 100;
/// The number of parts that are read at once on a slow link.
pub(super) const SLOW_PARTS_AT_ONCE: usize = 8;

/// The result of loading: how much was loaded, and from which versions the
/// owner continues.
pub(super) struct Loaded {
    /// The number of jobs.
    pub(super) jobs: usize,
    /// The version from which to follow the table of jobs.
    pub(super) jobs_version: u64,
}

/// The newest stored progress of each job.
type SavedProgress = HashMap<JobKey, ProgressRecord>;

impl Owner {
    /// Takes over the head rows, then loads workers, jobs and their progress.
    /// Returns `None` if the ownership ended.
    pub(super) async fn load(&self) -> Option<Loaded> {
        self.set_evacuations(self.node.evacuations.borrow().data_centres());
        if let Some(config) = self.node.config.borrow().clone() {
            self.engine.borrow_mut().set_config(config);
        }
        // The head rows come first: no earlier owner can write after that.
        let heads = future::join_all(Lane::all().map(|l| self.claim_head(l)));
        for (lane, version) in Lane::all().zip(heads.await) {
            self.lanes.set_head_version(lane, version?);
        }
        // Workers come before the claims that refer to them.
        self.load_listings().await?;
        // A load may take longer than the holds of the workers last.
        let load = std::pin::pin!(self.load_tables());
        let renewal = std::pin::pin!(self.renew_holds());
        let (jobs, jobs_version) = match future::select(load, renewal).await {
            Either::Left((loaded, _)) => loaded,
            Either::Right(((), load)) => load.await,
        }?;
        Some(Loaded { jobs, jobs_version })
    }

    /// Loads jobs and their progress. Returns the same as
    /// [`Owner::load_jobs`].
    async fn load_tables(&self) -> Option<(usize, u64)> {
        let reader = TableReader::new(self);
        let began = clock::now();
        let saved = self.load_progress(&reader).await?;
        // On a slow link, parts that are read at once delay each other.
        let is_slow = clock::now().ms_since(began) >= SLOW_READ_MS;
        self.load_speeds(&reader).await?;
        let at_once =
            if is_slow { SLOW_PARTS_AT_ONCE } else { usize::from(PARTS) };
        self.load_jobs(&reader, saved, at_once).await
    }

    /// Reads all lanes of progress. Returns `None` if the ownership ended.
    async fn load_progress(
        &self,
        reader: &TableReader<'_>,
    ) -> Option<SavedProgress> {
        let saved = RefCell::new(SavedProgress::new());
        let saved_rows = &saved;
        let read_lane = |lane: Lane| async move {
            let keep = |rows: Vec<Row>| {
                self.keep_newest(lane, &rows, &mut saved_rows.borrow_mut());
            };
            reader.read(PROGRESS_TABLE, &lane.part(), keep).await
        };
        let versions: Vec<Option<u64>> = stream::iter(Lane::all())
            .map(read_lane)
            .buffered(LANES.into())
            .collect()
            .await;
        versions.into_iter().collect::<Option<Vec<u64>>>()?;
        Some(saved.into_inner())
    }

    /// Keeps the newest progress of each job in the rows of a lane.
    fn keep_newest(
        &self,
        lane: Lane,
        rows: &[Row],
        saved: &mut SavedProgress,
    ) {
        let mut job_rows = self.job_rows.borrow_mut();
        for (job, record) in rows.iter().filter_map(decode_progress) {
            job_rows.record_lane(job, lane);
            let known = saved.get(&job).map(|known| known.stamp);
            if known.is_none_or(|known| known < record.stamp) {
                saved.insert(job, record);
            }
        }
    }

    /// Loads all parts of the table of jobs, up to `at_once` at the same time.
    /// Returns the number of jobs and the version from which to follow the
    /// table; `None` if the ownership ended.
    async fn load_jobs(
        &self,
        reader: &TableReader<'_>,
        saved: SavedProgress,
        at_once: usize,
    ) -> Option<(usize, u64)> {
        let saved = RefCell::new(saved);
        let jobs = Cell::new(0);
        let read_part = |part: Part| {
            let restore = |rows: Vec<Row>| {
                let count = self.restore(&rows, &mut saved.borrow_mut());
                jobs.set(jobs.get() + count);
            };
            async move { reader.read(JOBS_TABLE, &part.name(), restore).await }
        };
        let versions: Vec<Option<u64>> = stream::iter(Part::all())
            .map(read_part)
            .buffered(at_once)
            .collect()
            .await;
        let versions: Option<Vec<u64>> = versions.into_iter().collect();
        Some((jobs.get(), versions?.into_iter().min()?))
    }

    /// Writes this owner's term to the head row of a lane, with retries.
    /// Returns its version; `None` if the ownership ended.
    async fn claim_head(&self, lane: Lane) -> Option<u64> {
        let record = HeadRecord { term: self.term, sequence: 0 };
        while self.alive.get() {
            match self.try_claim_head(lane, record).await {
                Ok(Some(version)) => return Some(version),
                Ok(None) => return None,
                Err(err) => {
                    warn!(self.node.log,
                        "owner: head row not written; retrying";
                        "lane" => lane.0, "reason" => %err);
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
        lane: Lane,
        record: HeadRecord,
    ) -> Result<Option<u64>, StoreError> {
        let store = &self.node.store;
        let row = store.read_row(&head_row(lane), CALL_TIMEOUT_MS).await?;
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
                name: head_row(lane),
                version: row.version,
            }],
            writes: vec![RowWrite {
                name: head_row(lane),
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

    /// Passes loaded jobs and cancellations to the engine, with the progress
    /// of the jobs, but not that of an earlier submission. Returns the number
    /// of jobs.
    fn restore(&self, rows: &[Row], saved: &mut SavedProgress) -> usize {
        let now = clock::moment();
        let mut count = 0;
        for row in rows {
            // The key of a cancellation comes after that of its job.
            if let Some(JobsKey::Cancel(key)) = parse_jobs_key(&row.name.key) {
                self.apply_cancel(key, row, now);
            } else if let Some((key, record)) = decode_job(&self.node.log, row)
            {
                count += 1;
                self.job_rows.borrow_mut().record(key, row.version);
                let saved = saved.remove(&key).filter(|saved| {
                    let submission = saved.stamp.submission;
                    submission == 0 || submission == row.version
                });
                let progress = saved.map(|saved| saved.progress);
                self.engine
                    .borrow_mut()
                    .restore_job(key, record, progress, now);
            }
        }
        count
    }
}

/// Decodes a row of the progress of a job; `None` for the head row, a removed
/// row, or one that is invalid.
fn decode_progress(row: &Row) -> Option<(JobKey, ProgressRecord)> {
    let key = row.name.key.parse().ok()?;
    Some((key, progress_row::decode_progress(row.value.as_deref()?)?))
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
    let record = rows::decode_job(row.value.as_deref()?);
    if record.is_none() {
        warn!(log, "job: row undecodable; ignored"; "job" => %key,
            "store_version" => row.version);
    }
    Some((key, record?))
}
