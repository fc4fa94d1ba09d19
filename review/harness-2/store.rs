//! The platform's metadata store, as PROTOCOL.md describes it: rows, ranges,
//! feeds and transactions.

use std::{
    collections::BTreeMap,
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{Answer, Request},
    json::Json,
};

type Name = (String, String, String);

/// How long a transaction takes.
const TXN_MS: u64 = 5;
const MAX_ROWS: usize = 500;
const MAX_TRANSACTION_BYTES: usize = 1_000_000;
const ROW_BYTES: usize = 65_536;

#[derive(Default)]
struct State {
    /// The value, in Base64, and the version of each row.
    rows: BTreeMap<Name, (String, u64)>,
    history: Vec<(u64, Name, Option<String>)>,
    version: u64,
}

#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    started: Instant,
}

impl Store {
    pub fn new() -> Store {
        Store { state: Arc::default(), started: Instant::now() }
    }

    /// Writes or removes a row, as the operator and the runners do.
    pub fn put(&self, table: &str, key: &str, value: Option<&str>) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        state.version += 1;
        let name = (table.to_owned(), String::new(), key.to_owned());
        state.set(name, value.map(|text| encode(text.as_bytes())));
        changed.notify_all();
    }

    pub fn answer(&self, request: &Request) -> Answer {
        match request.path.as_str() {
            "/rows-tx" => self.transact(request),
            "/rows-get" => self.get(request),
            "/rows-feed" => self.feed(request),
            _ => Some((404, String::new())),
        }
    }

    fn body(&self, version: u64, mut fields: Vec<(&str, Json)>) -> Answer {
        let now_ms = self.started.elapsed().as_millis() as u64;
        fields.push(("ver", Json::ms(version)));
        fields.push(("now_ms", Json::ms(now_ms)));
        Some((200, Json::object(fields).to_string()))
    }

    fn transact(&self, request: &Request) -> Answer {
        if request.body.len() > MAX_TRANSACTION_BYTES {
            return Some((413, String::new()));
        }
        thread::sleep(Duration::from_millis(TXN_MS));
        let Some(body) = Json::parse(&request.body) else {
            return Some((400, String::new()));
        };
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        let expect = body.get("expect").items();
        let holds = expect.iter().all(|condition| {
            let row = state.rows.get(&name_of(condition));
            let version = row.map_or(0, |row| row.1);
            condition.get("ver").as_u64() == Some(version)
        });
        if !holds {
            let rows = expect.iter().map(|c| state.row(&name_of(c)));
            let rows = Json::List(rows.collect());
            let (_, text) = self.body(state.version, vec![("rows", rows)])?;
            return Some((412, text));
        }
        let writes = body.get("writes").items();
        let removes = body.get("remove").items();
        let mut names = writes.iter().chain(removes).map(name_of);
        if names.any(|name| name.0 == "op" || name.0 == "servers") {
            return Some((403, String::new()));
        }
        for write in writes {
            if write.get("value").as_str().len() > (ROW_BYTES / 3 + 1) * 4 {
                return Some((400, String::new()));
            }
        }
        state.version += 1;
        for write in writes {
            let value = write.get("value").as_str().to_owned();
            state.set(name_of(write), Some(value));
        }
        for name in removes {
            state.set(name_of(name), None);
        }
        changed.notify_all();
        self.body(state.version, Vec::new())
    }

    fn get(&self, request: &Request) -> Answer {
        let state = self.state.0.lock().unwrap();
        let (table, part) = (request.field("table"), request.field("part"));
        let (from, to) = (request.field("from"), request.field("to"));
        let limit = request.field("limit").parse().unwrap_or(MAX_ROWS);
        let first = (table.clone(), part.clone(), from);
        let mut names = state
            .rows
            .range(first..)
            .map(|(name, _)| name)
            .take_while(|name| name.0 == table && name.1 == part)
            .filter(|name| to.is_empty() || name.2 < to);
        let limit = limit.min(MAX_ROWS);
        let rows = names.by_ref().take(limit).map(|name| state.row(name));
        let rows = Json::List(rows.collect());
        let truncated = Json::Bool(names.next().is_some());
        let fields = vec![("rows", rows), ("truncated", truncated)];
        self.body(state.version, fields)
    }

    fn feed(&self, request: &Request) -> Answer {
        let after: u64 = request.field("after").parse().unwrap_or(0);
        let wait_ms = request.field("wait_ms").parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let table = request.field("table");
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        loop {
            let begin = state.history.partition_point(|(v, ..)| *v <= after);
            let found: Vec<Json> = state.history[begin..]
                .iter()
                .filter(|(_, name, _)| name.0 == table)
                .take(MAX_ROWS)
                .map(|(version, name, value)| {
                    row_json(name, value.as_deref(), *version)
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if found.is_empty() && !left.is_zero() {
                state = changed.wait_timeout(state, left).unwrap().0;
                continue;
            }
            let last = found.last().and_then(|row| row.get("ver").as_u64());
            let version = match found.len() >= MAX_ROWS {
                true => last.unwrap_or(state.version),
                false => state.version,
            };
            return self.body(version, vec![("rows", Json::List(found))]);
        }
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

    fn row(&self, name: &Name) -> Json {
        match self.rows.get(name) {
            Some((value, version)) => row_json(name, Some(value), *version),
            None => row_json(name, None, 0),
        }
    }
}

fn row_json(name: &Name, value: Option<&str>, version: u64) -> Json {
    let mut fields = vec![
        ("table", Json::text(&name.0)),
        ("part", Json::text(&name.1)),
        ("key", Json::text(&name.2)),
        ("ver", Json::ms(version)),
    ];
    match value {
        Some(value) => fields.push(("value", Json::text(value))),
        None => fields.push(("tombstone", Json::Bool(true))),
    }
    Json::object(fields)
}

fn name_of(row: &Json) -> Name {
    let text = |name: &str| row.get(name).as_str().to_owned();
    (text("table"), text("part"), text("key"))
}

fn encode(bytes: &[u8]) -> String {
    const DIGITS: &[u8] =
        b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let byte = |n: usize| u32::from(chunk.get(n).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for digit in 0..4 {
            match digit <= chunk.len() {
                true => {
                    let index = bits >> (18 - 6 * digit) & 63;
                    text.push(DIGITS[index as usize] as char);
                }
                false => text.push('='),
            }
        }
    }
    text
}
