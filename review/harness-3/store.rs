//! The platform's store, as PROTOCOL.md describes it ("The platform's metadata
//! store"), without objects.

use std::{
    collections::BTreeMap,
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{Action, Request, Server},
    json::{quote, Json},
};

/// The time that a transaction takes.
const TRANSACTION_MS: u64 = 5;
/// The time after which each call is answered.
const ANSWER_MS: u64 = 4;

/// What happens to a call of the store.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fate {
    Usual,
    /// It takes this much longer.
    Slow(u64),
    /// It has no effect and no answer.
    Dropped,
    /// It has no answer, and takes effect after this time if its conditions
    /// still hold.
    Late(u64),
    /// It is carried out and not answered.
    Unanswered,
    /// It is refused with this status.
    Refused(u16),
}

/// A call of the store by an instance.
pub struct StoreCall<'a> {
    /// The number of the instance.
    pub instance: usize,
    /// `tx`, `get`, `parts` or `feed`.
    pub kind: &'a str,
    /// The table of a read, or that of the first write or removal.
    pub table: &'a str,
    pub body: &'a str,
}

type Rule = dyn Fn(&StoreCall) -> Fate + Send + Sync;
type Name = (String, String, String);

struct Row {
    value: Option<String>,
    version: u64,
}

#[derive(Default)]
struct Rows {
    version: u64,
    /// All rows that ever were, by table, part and key.
    rows: BTreeMap<Name, Row>,
}

pub struct Store {
    rows: Mutex<Rows>,
    changed: Condvar,
    parts: Mutex<BTreeMap<String, Arc<Mutex<()>>>>,
    rule: Mutex<Arc<Rule>>,
    /// The time of a transaction, and of an answer after it.
    times_ms: Mutex<(u64, u64)>,
    began: Instant,
}

impl Store {
    pub fn new() -> Arc<Store> {
        Arc::new(Store {
            rows: Mutex::default(),
            changed: Condvar::new(),
            parts: Mutex::default(),
            rule: Mutex::new(Arc::new(|_: &StoreCall| Fate::Usual)),
            times_ms: Mutex::new((TRANSACTION_MS, ANSWER_MS)),
            began: Instant::now(),
        })
    }

    /// Serves an instance, on an address of its own.
    pub fn listen(self: &Arc<Store>, instance: usize) -> Arc<Server> {
        let store = Arc::clone(self);
        Server::start(Arc::new(move |request| store.answer(instance, request)))
    }

    /// Sets what happens to the calls from now on.
    pub fn set_rule(
        &self,
        rule: impl Fn(&StoreCall) -> Fate + Send + Sync + 'static,
    ) {
        *self.rule.lock().unwrap() = Arc::new(rule);
    }

    /// Sets the times of a transaction and of an answer; `None` for the usual
    /// ones.
    pub fn set_slow(&self, times_ms: Option<(u64, u64)>) {
        *self.times_ms.lock().unwrap() =
            times_ms.unwrap_or((TRANSACTION_MS, ANSWER_MS));
    }

    /// Writes a row of a platform's table.
    pub fn write(&self, table: &str, key: &str, value: Option<&str>) {
        let mut rows = self.rows.lock().unwrap();
        rows.version += 1;
        let version = rows.version;
        let name = (table.to_owned(), String::new(), key.to_owned());
        let value = value.map(|text| base64(text.as_bytes()));
        rows.rows.insert(name, Row { value, version });
        self.changed.notify_all();
    }

    /// Returns the rows of a table as (part, key, base64 value).
    pub fn table(&self, table: &str) -> Vec<(String, String, String)> {
        let rows = self.rows.lock().unwrap();
        let of_table = rows.rows.iter().filter(|(name, _)| name.0 == table);
        of_table
            .filter_map(|((_, part, key), row)| {
                Some((part.clone(), key.clone(), row.value.clone()?))
            })
            .collect()
    }

    fn answer(self: &Arc<Store>, instance: usize, request: Request) -> Action {
        let kind = match request.path.as_str() {
            "/rows-tx" => "tx",
            "/rows-get" => "get",
            "/rows-parts" => "parts",
            "/rows-feed" => "feed",
            _ => return Action::Answer(404, String::new()),
        };
        let body = Json::parse(&request.body);
        let table = match kind {
            "tx" => {
                let first = body.get("writes").list().first();
                first
                    .or(body.get("remove").list().first())
                    .map_or("", |r| r.get("table").text())
            }
            _ => request.param("table"),
        };
        let rule = Arc::clone(&self.rule.lock().unwrap());
        let call = StoreCall { instance, kind, table, body: &request.body };
        let fate = rule(&call);
        let answer_ms = self.times_ms.lock().unwrap().1;
        match fate {
            Fate::Usual => {}
            Fate::Slow(ms) => thread::sleep(Duration::from_millis(ms)),
            Fate::Dropped => return Action::Silent,
            Fate::Refused(status) => {
                return Action::Answer(status, String::new())
            }
            Fate::Unanswered => {
                if kind == "tx" {
                    self.transact(&body);
                }
                return Action::Silent;
            }
            Fate::Late(ms) => {
                if kind == "tx" {
                    let store = Arc::clone(self);
                    thread::spawn(move || {
                        thread::sleep(Duration::from_millis(ms));
                        store.transact(&body);
                    });
                }
                return Action::Silent;
            }
        }
        let action = match kind {
            "tx" => self.transact(&body),
            "get" => self.read(&request),
            "parts" => self.list_parts(&request),
            _ => self.feed(&request, instance).unwrap_or(Action::Silent),
        };
        thread::sleep(Duration::from_millis(answer_ms));
        action
    }

    fn transact(&self, body: &Json) -> Action {
        let name = |row: &Json| -> Name {
            let field = |name: &str| row.get(name).text().to_owned();
            (field("table"), field("part"), field("key"))
        };
        let lists =
            ["expect", "writes", "remove"].map(|list| body.get(list).list());
        let entries: usize = lists.iter().map(|list| list.len()).sum();
        let all: Vec<Name> =
            lists.iter().flat_map(|list| list.iter().map(name)).collect();
        let one_part = all.iter().all(|row| row.1 == all[0].1);
        let too_long =
            |row: &Json| row.get("value").text().len() > 65_536 / 3 * 4 + 4;
        if entries == 0
            || entries > 100
            || !one_part
            || lists[1].iter().any(too_long)
        {
            return Action::Answer(400, String::new());
        }
        let part = {
            let mut parts = self.parts.lock().unwrap();
            Arc::clone(parts.entry(all[0].1.clone()).or_default())
        };
        let _turn = part.lock().unwrap();
        let transaction_ms = self.times_ms.lock().unwrap().0;
        thread::sleep(Duration::from_millis(transaction_ms));
        let mut rows = self.rows.lock().unwrap();
        let version_of = |rows: &Rows, name: &Name| {
            rows.rows
                .get(name)
                .filter(|row| row.value.is_some())
                .map_or(0, |row| row.version)
        };
        let holds = lists[0].iter().all(|row| {
            version_of(&rows, &name(row)) == row.get("ver").number() as u64
        });
        if !holds {
            let found: Vec<String> = lists[0]
                .iter()
                .map(|row| {
                    let name = name(row);
                    let value =
                        rows.rows.get(&name).and_then(|row| row.value.clone());
                    print_row(
                        &name,
                        value.as_deref(),
                        version_of(&rows, &name),
                        false,
                    )
                })
                .collect();
            return Action::Answer(412, self.print(&rows, &found, None));
        }
        rows.version += 1;
        let version = rows.version;
        for row in lists[1] {
            let value = Some(row.get("value").text().to_owned());
            rows.rows.insert(name(row), Row { value, version });
        }
        for row in lists[2] {
            if let Some(found) = rows.rows.get_mut(&name(row)) {
                *found = Row { value: None, version };
            }
        }
        self.changed.notify_all();
        Action::Answer(200, self.print(&rows, &[], None))
    }

    fn read(&self, request: &Request) -> Action {
        let rows = self.rows.lock().unwrap();
        let limit: usize =
            request.param("limit").parse().unwrap_or(500).min(500);
        let (from, to) = (request.param("from"), request.param("to"));
        let mut found = Vec::new();
        let mut truncated = false;
        let mut bytes = 0;
        for (name, row) in &rows.rows {
            let in_range = name.0 == request.param("table")
                && name.1 == request.param("part")
                && name.2.as_str() >= from
                && (to.is_empty() || name.2.as_str() < to);
            let Some(value) = row.value.as_deref().filter(|_| in_range) else {
                continue;
            };
            bytes += value.len();
            if found.len() == limit || bytes > 1_000_000 {
                truncated = true;
                break;
            }
            found.push(print_row(name, Some(value), row.version, false));
        }
        Action::Answer(200, self.print(&rows, &found, Some(truncated)))
    }

    fn list_parts(&self, request: &Request) -> Action {
        let rows = self.rows.lock().unwrap();
        let table = request.param("table");
        let mut parts: Vec<String> = rows
            .rows
            .iter()
            .filter(|(name, row)| name.0 == table && row.value.is_some())
            .map(|(name, _)| quote(&name.1))
            .collect();
        parts.dedup();
        let body = format!(
            "{{\"parts\":[{}],\"ver\":{}}}",
            parts.join(","),
            rows.version
        );
        Action::Answer(200, body)
    }

    /// Answers a call of a feed; `None` if calls are dropped by then.
    fn feed(&self, request: &Request, instance: usize) -> Option<Action> {
        let after: u64 = request.param("after").parse().unwrap_or(0);
        let wait: u64 = request.param("wait_ms").parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait);
        let mut rows = self.rows.lock().unwrap();
        loop {
            let mut changed: Vec<(&Name, &Row)> = rows
                .rows
                .iter()
                .filter(|(name, row)| {
                    name.0 == request.param("table") && row.version > after
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !changed.is_empty() || left.is_zero() {
                changed.sort_by_key(|(_, row)| row.version);
                let printed: Vec<String> = changed
                    .iter()
                    .map(|(name, row)| {
                        let gone = row.value.is_none();
                        print_row(
                            name,
                            row.value.as_deref(),
                            row.version,
                            gone,
                        )
                    })
                    .collect();
                let body = self.print(&rows, &printed, None);
                drop(rows);
                let rule = Arc::clone(&self.rule.lock().unwrap());
                let table = request.param("table");
                let call =
                    StoreCall { instance, kind: "feed", table, body: "" };
                let is_lost =
                    matches!(rule(&call), Fate::Dropped | Fate::Unanswered);
                return (!is_lost).then_some(Action::Answer(200, body));
            }
            rows = self.changed.wait_timeout(rows, left).unwrap().0;
        }
    }

    fn print(
        &self,
        rows: &Rows,
        found: &[String],
        truncated: Option<bool>,
    ) -> String {
        let truncated =
            truncated.map_or(String::new(), |t| format!(",\"truncated\":{t}"));
        format!(
            "{{\"rows\":[{}],\"ver\":{},\"now_ms\":{}{truncated}}}",
            found.join(","),
            rows.version,
            self.began.elapsed().as_millis()
        )
    }
}

fn print_row(
    name: &Name,
    value: Option<&str>,
    version: u64,
    tombstone: bool,
) -> String {
    let value =
        value.map_or(String::new(), |v| format!(",\"value\":{}", quote(v)));
    let tombstone = if tombstone { ",\"tombstone\":true" } else { "" };
    format!(
        "{{\"table\":{},\"part\":{},\"key\":{},\"ver\":{version}{value}{tombstone}}}",
        quote(&name.0),
        quote(&name.1),
        quote(&name.2)
    )
}

pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8] =
        b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = 0u32;
        for index in 0..3 {
            group = group << 8 | u32::from(*chunk.get(index).unwrap_or(&0));
        }
        for index in 0..4 {
            if index <= chunk.len() {
                let digit = group >> (18 - 6 * index) & 63;
                out.push(DIGITS[digit as usize] as char);
            } else {
                out.push('=');
            }
        }
    }
    out
}
