//! Reads tables of any length page by page.

use std::cell::Cell;

use limpet_adapter::{Row, RowRange, StoreError};
use limpet_core::TimeMs;
use slog::{info, warn};

use super::Owner;
use crate::clock;

/// How long a page may pause, before its first bytes and within it.
const PAGE_PAUSE_MS: u64 = 1_500;
/// The maximum number of rows of a page, which is that of the store.
const MAX_PAGE_ROWS: usize = 500;
/// The minimum number of rows of a page, after failures.
const MIN_PAGE_ROWS: usize = 10;
/// The pause after a failed call.
const RETRY_MS: u64 = 50;
/// How often a read that goes on is logged.
const LOG_PERIOD_MS: u64 = 1_000;

/// Reads tables for an owner. A failed page is read again, in shorter ones;
/// the pages before it aren't.
pub(super) struct TableReader<'a> {
    owner: &'a Owner,
    /// The maximum number of rows of the next page.
    limit: Cell<usize>,
    /// The number of rows read.
    rows: Cell<usize>,
    failures: Cell<u32>,
    logged_at: Cell<TimeMs>,
}

impl TableReader<'_> {
    pub(super) fn new(owner: &Owner) -> TableReader<'_> {
        TableReader {
            owner,
            limit: Cell::new(MAX_PAGE_ROWS),
            rows: Cell::new(0),
            failures: Cell::new(0),
            logged_at: Cell::new(clock::now()),
        }
    }

    /// Reads a part of a table, with retries, and passes the rows of each page
    /// to `take`. Returns the version of the first page, as later pages may be
    /// newer and a feed must miss no change; `None` if the ownership ended.
    pub(super) async fn read(
        &self,
        table: &str,
        part: &str,
        mut take: impl FnMut(Vec<Row>),
    ) -> Option<u64> {
        let owner = self.owner;
        let mut version = None;
        let mut from = String::new();
        while owner.alive.get() {
            let limit = Some(self.limit.get());
            let range = RowRange { table, part, from: &from, to: "", limit };
            let page = owner.node.store.read_page(&range, PAGE_PAUSE_MS).await;
            let page = match page {
                Ok(page) => page,
                Err(err) => {
                    self.record_failure(table, part, &err);
                    clock::pause(RETRY_MS).await;
                    continue;
                }
            };
            let first = *version.get_or_insert(page.version);
            let next = page.next_key();
            self.record_rows(table, part, page.rows.len());
            take(page.rows);
            match next {
                Some(key) => from = key,
                None => return Some(first),
            }
        }
        None
    }

    fn record_rows(&self, table: &str, part: &str, count: usize) {
        self.rows.set(self.rows.get() + count);
        self.limit.set((self.limit.get() * 2).min(MAX_PAGE_ROWS));
        let now = clock::now();
        if now.ms_since(self.logged_at.get()) >= LOG_PERIOD_MS {
            self.logged_at.set(now);
            info!(self.owner.node.log, "owner: still reading the store";
                "table" => table, "part" => part, "rows" => self.rows.get());
        }
    }

    fn record_failure(&self, table: &str, part: &str, err: &StoreError) {
        let failures = self.failures.get() + 1;
        self.failures.set(failures);
        // A refusal says nothing about the length of the page.
        if matches!(err, StoreError::Unknown(_)) {
            self.limit.set((self.limit.get() / 2).max(MIN_PAGE_ROWS));
        }
        // Logs the first failure, then each power of two.
        if u32::is_power_of_two(failures) {
            warn!(self.owner.node.log, "owner: table not read; retrying";
                "table" => table, "part" => part, "rows" => self.rows.get(),
                "failures" => failures, "reason" => %err);
        }
    }
}
