use std::{collections::BTreeMap, time::Instant};

use base64::{Engine as _, engine::general_purpose::STANDARD as BASE64};
use serde_json::{Value, json};

use super::listen::{Answer, Call};

/// The table, part and key of a row.
type Name = (String, String, String);

/// The maximum number of rows of an answer, unless a test sets another.
const MAX_ROWS: usize = 500;

/// The maximum size of a transaction in bytes.
const MAX_TRANSACTION_BYTES: usize = 1_000_000;
/// The maximum size of a value in bytes.
const MAX_VALUE_BYTES: usize = 65_536;

/// The table of accepted jobs and their cancellations.
const JOBS_TABLE: &str = "jobs";
/// The table of the progress of jobs.
const PROGRESS_TABLE: &str = "progress";
/// The table that lists the workers.
const LISTING_TABLE: &str = "servers";

/// How the store misbehaves.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum StoreFault {
    /// It answers correctly.
    #[default]
    None,
    /// It answers every call with 503 and does nothing.
    Busy,
    /// It answers no call and does nothing.
    Silent,
    /// It carries transactions out but doesn't answer them. Reads work.
    LosesAnswers,
    /// It answers every second read with 503.
    RefusesReads,
}

/// The state of the stand-in's store: its rows and their history.
#[derive(Debug)]
pub struct StoreState {
    /// Value and version of each row.
    rows: BTreeMap<Name, (Vec<u8>, u64)>,
    /// Version, row and new value of each change; `None` for a removal.
    history: Vec<(u64, Name, Option<Vec<u8>>)>,
    version: u64,
    /// The version up to which the history was dropped.
    history_dropped: u64,
    started: Instant,
    /// The fault of all calls from now on.
    pub fault: StoreFault,
    /// The maximum number of rows of an answer.
    pub max_rows: usize,
    /// A table of which reads and feeds are answered with 503.
    pub unreadable_table: Option<&'static str>,
    /// A job whose progress it rejects with 400.
    pub rejected_progress: Option<String>,
    /// A job, and for how many milliseconds each transaction that writes its
    /// row waits before it takes effect.
    pub slow_submission: Option<(String, u64)>,
    /// The number of reads so far.
    reads: u64,
    /// How many more reads of the list of workers it answers; `None` for all.
    pub listing_reads_left: Option<u64>,
}

impl Default for StoreState {
    fn default() -> StoreState {
        StoreState {
            rows: BTreeMap::new(),
            history: Vec::new(),
            version: 0,
            history_dropped: 0,
            started: Instant::now(),
            fault: StoreFault::None,
            max_rows: MAX_ROWS,
            unreadable_table: None,
            rejected_progress: None,
            slow_submission: None,
            reads: 0,
            listing_reads_left: None,
        }
    }
}

impl StoreState {
    /// Writes a row, as another writer would.
    pub fn put(&mut self, table: &str, part: &str, key: &str, value: &[u8]) {
        self.version += 1;
        let name = (table.to_owned(), part.to_owned(), key.to_owned());
        self.set(name, Some(value.to_vec()));
    }

    /// Removes a row.
    pub fn remove(&mut self, table: &str, part: &str, key: &str) {
        self.version += 1;
        let name = (table.to_owned(), part.to_owned(), key.to_owned());
        self.set(name, None);
    }

    /// Returns the value of a row.
    pub fn value(&self, table: &str, part: &str, key: &str) -> Option<&[u8]> {
        let name = (table.to_owned(), part.to_owned(), key.to_owned());
        self.rows.get(&name).map(|(value, _)| value.as_slice())
    }

    /// Returns the keys of a table, of all its parts.
    pub fn keys(&self, table: &str) -> Vec<String> {
        self.rows
            .keys()
            .filter(|(found, _, _)| found == table)
            .map(|(_, _, key)| key.clone())
            .collect()
    }

    /// Returns the part of a table that holds a key, if any does.
    pub fn part_of(&self, table: &str, key: &str) -> Option<String> {
        self.rows
            .keys()
            .find(|(found, _, other)| found == table && other == key)
            .map(|(_, part, _)| part.clone())
    }

    /// Drops the history, so that each follower of a feed has to read its
    /// table again.
    pub fn drop_history(&mut self) {
        self.history.clear();
        // Makes followers that were up to date miss a change as well.
        self.version += 1;
        self.history_dropped = self.version;
    }

    /// Writes a row, or removes it, at the current version, and adds the
    /// change to the history.
    fn set(&mut self, name: Name, value: Option<Vec<u8>>) {
        match &value {
            Some(value) => {
                let row = (value.clone(), self.version);
                self.rows.insert(name.clone(), row);
            }
            None => {
                self.rows.remove(&name);
            }
        }
        self.history.push((self.version, name, value));
    }

    /// Returns how long a call waits before it takes effect, in milliseconds.
    pub(super) fn delay_ms(&self, call: &Call) -> u64 {
        let Some((job, delay_ms)) = &self.slow_submission else { return 0 };
        let writes = call.body()["writes"].take();
        let is_submission = writes.as_array().is_some_and(|writes| {
            writes.iter().any(|write| {
                write["table"] == JOBS_TABLE && write["key"] == job.as_str()
            })
        });
        if is_submission { *delay_ms } else { 0 }
    }

    /// Answers a call, or misbehaves as the fault says.
    pub(super) fn answer(&mut self, call: &Call) -> Answer {
        match self.fault {
            StoreFault::Busy => return Answer::empty(503),
            StoreFault::Silent => return Answer::none(),
            StoreFault::LosesAnswers if call.path == "/rows-tx" => {
                self.transact(&call.body());
                return Answer::none();
            }
            StoreFault::RefusesReads if call.path == "/rows-get" => {
                self.reads += 1;
                if self.reads.is_multiple_of(2) {
                    return Answer::empty(503);
                }
            }
            _ => {}
        }
        if call.path == "/rows-get"
            && call.field("table") == LISTING_TABLE
            && let Some(left) = &mut self.listing_reads_left
        {
            if *left == 0 {
                return Answer::empty(503);
            }
            *left -= 1;
        }
        if call.path != "/rows-tx"
            && self.unreadable_table.is_some_and(|t| call.field("table") == t)
        {
            return Answer::empty(503);
        }
        match call.path.as_str() {
            "/rows-tx" if call.body_bytes() > MAX_TRANSACTION_BYTES => {
                Answer::empty(413)
            }
            "/rows-tx" => self.transact(&call.body()),
            "/rows-get" => self.get(call),
            "/rows-feed" => self.feed(call),
            _ => Answer::empty(404),
        }
    }

    fn transact(&mut self, body: &Value) -> Answer {
        let empty = Vec::new();
        let list =
            |name: &str| body[name].as_array().unwrap_or(&empty).clone();
        let expect = list("expect");
        let holds = expect.iter().all(|condition| {
            let version =
                self.rows.get(&name_of(condition)).map_or(0, |row| row.1);
            Some(version) == condition["ver"].as_u64()
        });
        if !holds {
            let rows: Vec<Value> = expect
                .iter()
                .map(|condition| self.row(&name_of(condition)))
                .collect();
            return Answer::json(
                412,
                &self.with_version(json!({"rows": rows})),
            );
        }
        let writes: Vec<(Name, Vec<u8>)> = list("writes")
            .iter()
            .map(|write| {
                let text = write["value"].as_str().unwrap_or_default();
                (name_of(write), BASE64.decode(text).unwrap_or_default())
            })
            .collect();
        let is_rejected = |(name, value): &(Name, Vec<u8>)| {
            let is_progress = name.0 == PROGRESS_TABLE
                && Some(&name.2) == self.rejected_progress.as_ref();
            is_progress || value.len() > MAX_VALUE_BYTES
        };
        if writes.iter().any(is_rejected) {
            return Answer::empty(400);
        }
        self.version += 1;
        for (name, value) in writes {
            self.set(name, Some(value));
        }
        for name in list("remove") {
            self.set(name_of(&name), None);
        }
        Answer::json(200, &self.with_version(json!({})))
    }

    fn get(&self, call: &Call) -> Answer {
        let (table, part) = (call.field("table"), call.field("part"));
        let (from, to) = (call.field("from"), call.field("to"));
        let limit = call.field("limit").parse().unwrap_or(self.max_rows);
        let mut names = self
            .rows
            .keys()
            .filter(|(t, p, _)| *t == table && *p == part)
            .filter(|(_, _, key)| *key >= from)
            .filter(|(_, _, key)| to.is_empty() || *key < to);
        let rows: Vec<Value> = names
            .by_ref()
            .take(limit.min(self.max_rows))
            .map(|name| self.row(name))
            .collect();
        let truncated = names.next().is_some();
        let body = json!({ "rows": rows, "truncated": truncated });
        Answer::json(200, &self.with_version(body))
    }

    /// Answers a feed call at once with the first changes, even if there are
    /// none and the caller would wait for some.
    fn feed(&self, call: &Call) -> Answer {
        let after = call.field("after").parse().unwrap_or(0);
        if after < self.history_dropped {
            return Answer::empty(410);
        }
        let table = call.field("table");
        let rows: Vec<Value> = self
            .history
            .iter()
            .filter(|(version, name, _)| *version > after && name.0 == table)
            .take(self.max_rows)
            .map(|(version, name, value)| {
                let mut row = json!({
                    "table": name.0, "part": name.1, "key": name.2,
                    "ver": version,
                });
                match value {
                    Some(value) => row["value"] = BASE64.encode(value).into(),
                    None => row["tombstone"] = true.into(),
                }
                row
            })
            .collect();
        let last = rows.last().map(|row| row["ver"].clone());
        let is_full = rows.len() >= self.max_rows;
        let mut body = self.with_version(json!({ "rows": rows }));
        if let Some(last) = last.filter(|_| is_full) {
            body["ver"] = last;
        }
        Answer::json(200, &body)
    }

    /// Returns a row as JSON, with a null value and version 0 if it is
    /// missing.
    fn row(&self, name: &Name) -> Value {
        let (value, version) = match self.rows.get(name) {
            Some((value, version)) => (Some(BASE64.encode(value)), *version),
            None => (None, 0),
        };
        json!({
            "table": name.0, "part": name.1, "key": name.2,
            "value": value, "ver": version,
        })
    }

    /// Adds the version and the clock of the store to the body of an answer.
    fn with_version(&self, mut body: Value) -> Value {
        body["ver"] = self.version.into();
        body["now_ms"] = (self.started.elapsed().as_millis() as u64).into();
        body
    }
}

/// Reads the name of a row from the JSON of a row, write or condition.
fn name_of(row: &Value) -> Name {
    let text = |name: &str| row[name].as_str().unwrap_or("").to_owned();
    (text("table"), text("part"), text("key"))
}
