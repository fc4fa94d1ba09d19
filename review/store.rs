//! The platform's metadata store, as PROTOCOL.md describes it.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{Answer, Call, serve},
    json::{Json, object},
};

/// How long an answer takes.
const ANSWER_MS: u64 = 4;
/// The most entries of a transaction.
const MAX_ENTRIES: usize = 100;
/// The largest transaction, in bytes.
const MAX_CALL_BYTES: usize = 1_000_000;
/// The largest value of a row, in bytes.
const ROW_BYTES: usize = 65_536;
/// The most rows of an answer.
const MAX_ROWS: usize = 500;
/// The largest answer, in bytes.
const MAX_ANSWER_BYTES: usize = 1_000_000;

/// Table, part and key.
type Name = (String, String, String);

#[derive(Default)]
struct State {
    /// The value, in Base64, and the version of each row.
    rows: BTreeMap<Name, (String, u64)>,
    /// Each change: the version, the row and its value.
    history: Vec<(u64, Name, Option<String>)>,
    version: u64,
}

pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    /// Whether it answers each call with 503 and does nothing.
    is_busy: AtomicBool,
    began: Instant,
}

impl Store {
    /// Starts a store, and returns its address too.
    pub fn start() -> (Arc<Store>, SocketAddr) {
        let store = Arc::new(Store {
            state: Mutex::default(),
            changed: Condvar::new(),
            is_busy: AtomicBool::new(false),
            began: Instant::now(),
        });
        let served = Arc::clone(&store);
        let address = serve(move |call| served.answer(&call));
        (store, address)
    }

    pub fn set_busy(&self, is_busy: bool) {
        self.is_busy.store(is_busy, Ordering::SeqCst);
    }

    /// Writes a row for the operator or a runner.
    pub fn put(&self, table: &str, key: &str, value: &Json) {
        let name = (table.to_owned(), String::new(), key.to_owned());
        let mut state = self.state.lock().unwrap();
        state.version += 1;
        state.set(name, Some(base64(value.to_string().as_bytes())));
        self.changed.notify_all();
    }

    fn answer(&self, call: &Call) -> Answer {
        thread::sleep(Duration::from_millis(ANSWER_MS));
        if self.is_busy.load(Ordering::SeqCst) {
            return Answer::empty(503);
        }
        match call.path.as_str() {
            "/rows-tx" => self.transact(&call.body),
            "/rows-get" => self.get(call),
            "/rows-feed" => self.feed(call),
            _ => Answer::empty(404),
        }
    }

    fn transact(&self, body: &str) -> Answer {
        let Some(wire) = Json::parse(body) else { return Answer::empty(400) };
        let expect = wire.get("expect").list();
        let writes = wire.get("writes").list();
        let removes = wire.get("remove").list();
        let all: Vec<&Json> =
            expect.iter().chain(writes).chain(removes).collect();
        if all.len() > MAX_ENTRIES || body.len() > MAX_CALL_BYTES {
            return Answer::empty(400);
        }
        let is_owned =
            |row: &&&Json| matches!(row.get("table").text(), "op" | "servers");
        if writes.iter().chain(removes).any(|row| is_owned(&&row)) {
            return Answer::empty(403);
        }
        let part = all.first().map_or("", |row| row.get("part").text());
        let is_long = |row: &Json| {
            let text = row.get("value").text();
            let padding = text.bytes().filter(|byte| *byte == b'=').count();
            text.len() / 4 * 3 - padding > ROW_BYTES
        };
        if all.iter().any(|row| row.get("part").text() != part)
            || writes.iter().any(is_long)
        {
            return Answer::empty(400);
        }
        let mut state = self.state.lock().unwrap();
        let holds = expect.iter().all(|row| {
            let version =
                state.rows.get(&name_of(row)).map_or(0, |(_, ver)| *ver);
            row.get("ver").number() == Some(version)
        });
        if !holds {
            let rows: Vec<Json> =
                expect.iter().map(|row| state.row(name_of(row))).collect();
            let body = self.with_version(&state, vec![("rows", rows.into())]);
            return Answer::json(412, &body);
        }
        state.version += 1;
        for row in writes {
            let value = row.get("value").text().to_owned();
            state.set(name_of(row), Some(value));
        }
        for row in removes {
            state.set(name_of(row), None);
        }
        self.changed.notify_all();
        Answer::json(200, &self.with_version(&state, Vec::new()))
    }

    fn get(&self, call: &Call) -> Answer {
        let (table, part) = (call.field("table"), call.field("part"));
        let (from, to) = (call.field("from"), call.field("to"));
        let limit: usize = call.field("limit").parse().unwrap_or(MAX_ROWS);
        let state = self.state.lock().unwrap();
        let (mut rows, mut bytes, mut truncated) = (Vec::new(), 0, false);
        let first = (table.to_owned(), part.to_owned(), from.to_owned());
        for (name, (value, _)) in state.rows.range(first..) {
            if name.0 != table
                || name.1 != part
                || !to.is_empty() && name.2.as_str() >= to
            {
                break;
            }
            bytes += value.len() + 200;
            if rows.len() >= limit.min(MAX_ROWS) || bytes > MAX_ANSWER_BYTES {
                truncated = true;
                break;
            }
            rows.push(state.row(name.clone()));
        }
        let fields =
            vec![("rows", rows.into()), ("truncated", Json::Bool(truncated))];
        Answer::json(200, &self.with_version(&state, fields))
    }

    fn feed(&self, call: &Call) -> Answer {
        let after: u64 = call.field("after").parse().unwrap_or(0);
        let wait_ms: u64 = call.field("wait_ms").parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let table = call.field("table");
        let mut state = self.state.lock().unwrap();
        loop {
            let begin =
                state.history.partition_point(|(ver, ..)| *ver <= after);
            let rows: Vec<Json> = state.history[begin..]
                .iter()
                .filter(|(_, name, _)| name.0 == table)
                .map(|(version, name, value)| {
                    row_json(name, value.as_deref(), *version)
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                let fields = vec![("rows", rows.into())];
                return Answer::json(200, &self.with_version(&state, fields));
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn with_version(
        &self,
        state: &State,
        mut fields: Vec<(&str, Json)>,
    ) -> Json {
        fields.push(("ver", state.version.into()));
        let now_ms = self.began.elapsed().as_millis() as u64;
        fields.push(("now_ms", now_ms.into()));
        object(fields)
    }
}

impl State {
    fn set(&mut self, name: Name, value: Option<String>) {
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

    fn row(&self, name: Name) -> Json {
        match self.rows.get(&name) {
            Some((value, version)) => row_json(&name, Some(value), *version),
            None => row_json(&name, None, 0),
        }
    }
}

fn row_json(name: &Name, value: Option<&str>, version: u64) -> Json {
    let mut fields = vec![
        ("table", name.0.as_str().into()),
        ("part", name.1.as_str().into()),
        ("key", name.2.as_str().into()),
        ("ver", version.into()),
    ];
    match value {
        Some(value) => fields.push(("value", value.into())),
        None => fields.push(("tombstone", Json::Bool(true))),
    }
    object(fields)
}

fn name_of(row: &Json) -> Name {
    let text = |name| row.get(name).text().to_owned();
    (text("table"), text("part"), text("key"))
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] =
        b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let bits = u32::from_be_bytes([0, group[0], group[1], group[2]]);
        for digit in 0..4 {
            if digit > chunk.len() {
                text.push('=');
            } else {
                let index = bits >> (18 - 6 * digit) & 63;
                text.push(char::from(DIGITS[index as usize]));
            }
        }
    }
    text
}
