//! Runners, as PROTOCOL.md describes them. A task runs for the time that the
//! `spec` of its job names, as "MIN-MAX" in milliseconds; each task of a job
//! has a fixed time in this range. With "lasts MS" it is at work after so long
//! and runs until it is stopped.

use std::{
    collections::BTreeMap,
    hash::{DefaultHasher, Hash, Hasher},
    net::SocketAddr,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{Answer, Call, serve},
    json::{Json, object},
    record::Record,
    store::Store,
};

/// The longest lease.
const MAX_HOLD_MS: u64 = 6_000;
/// The most ends in an answer to a poll.
const MAX_ENDS: usize = 500;
/// How often a runner registers itself.
const HEARTBEAT_MS: u64 = 1_500;
/// How often the time of runs and leases is checked.
const TICK_MS: u64 = 2;
/// How long a stop takes.
const STOP_MS: u64 = 20;

/// Something that a runner has seen.
#[derive(Clone, Debug)]
pub enum Event {
    /// A run began.
    Began { at_ms: u64, task: String, run: u64 },
    /// A run ended.
    Ended {
        at_ms: u64,
        task: String,
        run: u64,
        how: &'static str,
        number: u64,
    },
    /// `last_seen` has reached this number.
    Noted { at_ms: u64, number: u64 },
    /// The lease lapsed.
    Lapsed { at_ms: u64 },
}

struct Run {
    number: u64,
    /// The work of the task, and how much of it is done, in milliseconds.
    length_ms: f64,
    done_ms: f64,
    /// Whether the task runs until its job is cancelled.
    lasts: bool,
    /// When a stop order came.
    stopped: Option<Instant>,
}

struct State {
    fencing_token: u64,
    expires_ms: u64,
    /// Whether the lease had lapsed when it was last looked at.
    has_lapsed: bool,
    runs: BTreeMap<String, Run>,
    /// The highest run of each task that ended or was stopped here.
    barred: BTreeMap<String, u64>,
    ends: Vec<(u64, String, u64, &'static str)>,
    next_end: u64,
    noted: u64,
    events: Vec<Event>,
    /// Until when it neither gets nor answers calls.
    cut_until: Option<Instant>,
    /// Until when it works this many times as slow.
    slow: Option<(Instant, f64)>,
    advanced_at: Instant,
}

/// What distinguishes a runner from others.
#[derive(Clone, Copy, Debug)]
pub struct Kind {
    /// The label of its kind.
    pub label: &'static str,
    /// How fast it works.
    pub speed: f64,
}

pub struct Runner {
    pub id: String,
    kind: Kind,
    born: u64,
    service: String,
    cpu: u64,
    began: Instant,
    record: Arc<Record>,
    state: Mutex<State>,
}

impl Runner {
    /// Starts a runner that registers itself in the store.
    pub fn start(
        number: usize,
        kind: Kind,
        service: &str,
        cpu: u64,
        store: &Arc<Store>,
        record: &Arc<Record>,
    ) -> Arc<Runner> {
        let runner = Arc::new(Runner {
            id: format!("i-{:010x}", 0xb506_bf69_7c00 + number),
            kind,
            born: crate::record::unix_ms(),
            service: service.to_owned(),
            cpu,
            began: Instant::now(),
            record: Arc::clone(record),
            state: Mutex::new(State {
                fencing_token: 0,
                expires_ms: 0,
                has_lapsed: true,
                runs: BTreeMap::new(),
                barred: BTreeMap::new(),
                ends: Vec::new(),
                next_end: 1,
                noted: 0,
                events: Vec::new(),
                cut_until: None,
                slow: None,
                advanced_at: Instant::now(),
            }),
        });
        let served = Arc::clone(&runner);
        let address = serve(move |call| served.answer(&call));
        let (listed, store) = (Arc::clone(&runner), Arc::clone(store));
        thread::spawn(move || {
            for sequence in 1.. {
                let row = listed.registration(address, sequence, number);
                store.put("servers", &listed.id, &row);
                thread::sleep(Duration::from_millis(HEARTBEAT_MS));
            }
        });
        let ticked = Arc::clone(&runner);
        thread::spawn(move || {
            loop {
                ticked.advance();
                thread::sleep(Duration::from_millis(TICK_MS));
            }
        });
        runner
    }

    /// Cuts the runner off from all instances for some time. It works on.
    pub fn cut(&self, for_ms: u64) {
        let until = Instant::now() + Duration::from_millis(for_ms);
        self.state.lock().unwrap().cut_until = Some(until);
    }

    /// Lets the runner work `factor` times as slow for some time.
    pub fn slow(&self, factor: f64, for_ms: u64) {
        let until = Instant::now() + Duration::from_millis(for_ms);
        self.state.lock().unwrap().slow = Some((until, factor));
    }

    /// Returns what it has seen so far.
    pub fn events(&self) -> Vec<Event> {
        self.state.lock().unwrap().events.clone()
    }

    /// Returns the names of the tasks that run now.
    pub fn running(&self) -> Vec<String> {
        self.state.lock().unwrap().runs.keys().cloned().collect()
    }

    fn registration(
        &self,
        address: SocketAddr,
        sequence: u64,
        number: usize,
    ) -> Json {
        let capacity = object(vec![
            ("cpu", self.cpu.into()),
            ("mem_mb", 65_536.into()),
            ("gpu", 0.into()),
        ]);
        let labels = vec![
            self.kind.label.into(),
            format!("r{}", number / 8).as_str().into(),
        ];
        object(vec![
            ("service", self.service.as_str().into()),
            ("address", address.to_string().into()),
            ("zone", "z1".into()),
            ("version", "v1".into()),
            ("slots", 8.into()),
            ("state", "ready".into()),
            ("cold_left_ms", 0.into()),
            ("sequence", sequence.into()),
            ("capacity", capacity),
            ("labels", labels.into()),
            ("born", self.born.into()),
            ("machine", format!("m-{number}").into()),
        ])
    }

    fn clock_ms(&self) -> u64 {
        1_000_000 + self.began.elapsed().as_millis() as u64
    }

    /// Ends what is due by now.
    fn advance(&self) {
        let clock_ms = self.clock_ms();
        let at_ms = self.record.now_ms();
        let mut state = self.state.lock().unwrap();
        let lapsed = clock_ms >= state.expires_ms;
        if lapsed && !state.has_lapsed {
            state.events.push(Event::Lapsed { at_ms });
        }
        state.has_lapsed = lapsed;
        let now = Instant::now();
        let factor = match state.slow {
            Some((until, factor)) if now < until => factor,
            _ => 1.0,
        };
        let passed = now - state.advanced_at;
        state.advanced_at = now;
        let work_ms = passed.as_secs_f64() * 1e3 * self.kind.speed / factor;
        let mut due: Vec<(String, &'static str)> = Vec::new();
        for (task, run) in &mut state.runs {
            run.done_ms += work_ms;
            let is_stopped = run.stopped.is_some_and(|at| {
                at.elapsed() >= Duration::from_millis(STOP_MS)
            });
            if !run.lasts && run.done_ms >= run.length_ms {
                due.push((task.clone(), "done"));
            } else if is_stopped {
                due.push((task.clone(), "stopped"));
            } else if lapsed {
                due.push((task.clone(), "lapsed"));
            }
        }
        for (task, how) in due {
            let Some(run) = state.runs.remove(&task) else { continue };
            let number = state.next_end;
            state.next_end += 1;
            let barred = state.barred.entry(task.clone()).or_default();
            *barred = run.number.max(*barred);
            state.ends.push((number, task.clone(), run.number, how));
            let run = run.number;
            state.events.push(Event::Ended { at_ms, task, run, how, number });
        }
    }

    fn answer(&self, call: &Call) -> Answer {
        let is_cut = || {
            let until = self.state.lock().unwrap().cut_until;
            until.is_some_and(|until| Instant::now() < until)
        };
        if is_cut() {
            return Answer::Silence;
        }
        let target = call.header("target-instance");
        if !target.is_empty() && target != self.id {
            return Answer::json(421, &self.with_clock(Vec::new()));
        }
        let Some(body) = Json::parse(&call.body) else {
            return Answer::empty(400);
        };
        let token = body.get("fencing_token").number().unwrap_or(0);
        {
            let mut state = self.state.lock().unwrap();
            if token < state.fencing_token {
                return self.refuse("fence");
            }
            state.fencing_token = token;
        }
        self.advance();
        let answer = match call.path.as_str() {
            "/run-start" => self.run_start(&body),
            "/run-stop" => self.run_stop(&body),
            "/hold" => self.hold(&body),
            _ => Answer::empty(404),
        };
        if is_cut() { Answer::Silence } else { answer }
    }

    /// Extends the lease to what a request asks for.
    fn extend_lease(&self, state: &mut State, body: &Json) {
        let asked_ms = body.get("expires_ms").number().unwrap_or(0);
        let granted_ms = asked_ms.min(self.clock_ms() + MAX_HOLD_MS);
        state.expires_ms = state.expires_ms.max(granted_ms);
    }

    fn run_start(&self, body: &Json) -> Answer {
        let task = body.get("task").text().to_owned();
        let run = body.get("run").number().unwrap_or(0);
        let spec = body.get("spec").text().to_owned();
        let mut state = self.state.lock().unwrap();
        self.extend_lease(&mut state, body);
        if state.runs.get(&task).is_some_and(|found| found.number == run) {
            return Answer::json(200, &self.with_clock(Vec::new()));
        }
        let barred = state.barred.get(&task).copied().unwrap_or(0);
        if run <= barred || state.runs.contains_key(&task) {
            return self.refuse("old");
        }
        if self.clock_ms() >= state.expires_ms {
            return self.refuse("late");
        }
        let (length_ms, lasts) = match spec.strip_prefix("lasts ") {
            Some(startup) => (length_of(&task, startup), true),
            None => (length_of(&task, &spec), false),
        };
        state.runs.insert(
            task.clone(),
            Run {
                number: run,
                length_ms: length_ms as f64,
                done_ms: 0.0,
                lasts,
                stopped: None,
            },
        );
        let at_ms = self.record.now_ms();
        state.events.push(Event::Began { at_ms, task, run });
        Answer::json(200, &self.with_clock(Vec::new()))
    }

    fn run_stop(&self, body: &Json) -> Answer {
        let task = body.get("task").text();
        let run = body.get("run").number().unwrap_or(0);
        let mut state = self.state.lock().unwrap();
        let barred = state.barred.entry(task.to_owned()).or_default();
        *barred = run.max(*barred);
        if let Some(found) = state.runs.get_mut(task)
            && found.number <= run
        {
            found.stopped.get_or_insert_with(Instant::now);
        }
        Answer::json(200, &self.with_clock(Vec::new()))
    }

    fn hold(&self, body: &Json) -> Answer {
        {
            let mut state = self.state.lock().unwrap();
            self.extend_lease(&mut state, body);
            let seen = body.get("last_seen").number().unwrap_or(0);
            if seen > state.noted {
                state.noted = seen;
                let at_ms = self.record.now_ms();
                state.events.push(Event::Noted { at_ms, number: seen });
            }
            state.ends.retain(|(number, ..)| *number > seen);
        }
        let wait_ms = body.get("wait_ms").number().unwrap_or(0).min(2_000);
        let until = Instant::now() + Duration::from_millis(wait_ms);
        loop {
            {
                let state = self.state.lock().unwrap();
                if !state.ends.is_empty() || Instant::now() >= until {
                    return self.report(&state);
                }
            }
            thread::sleep(Duration::from_millis(TICK_MS));
        }
    }

    fn report(&self, state: &State) -> Answer {
        let running = state.runs.iter().map(|(task, run)| {
            let part = run.done_ms * 100.0 / run.length_ms.max(1.0);
            let most = if run.lasts { 100 } else { 99 };
            let percent = (part as u64).min(most);
            Json::List(vec![
                task.as_str().into(),
                run.number.into(),
                "".into(),
                percent.into(),
                Json::Number(0.5),
            ])
        });
        let finished = state.ends.iter().take(MAX_ENDS).map(
            |(number, task, run, how)| {
                Json::List(vec![
                    (*number).into(),
                    task.as_str().into(),
                    (*run).into(),
                    (*how).into(),
                    "".into(),
                ])
            },
        );
        Answer::json(
            200,
            &self.with_clock(vec![
                ("running", Json::List(running.collect())),
                ("finished", Json::List(finished.collect())),
            ]),
        )
    }

    fn refuse(&self, reason: &str) -> Answer {
        Answer::json(409, &self.with_clock(vec![("reason", reason.into())]))
    }

    fn with_clock(&self, mut fields: Vec<(&str, Json)>) -> Json {
        fields.push(("clock_ms", self.clock_ms().into()));
        fields.push(("born", self.born.into()));
        object(fields)
    }
}

/// Returns how long a task runs.
fn length_of(task: &str, spec: &str) -> u64 {
    let (min, max) = spec.split_once('-').unwrap_or((spec, spec));
    let min: u64 = min.parse().unwrap_or(100);
    let max: u64 = max.parse().unwrap_or(min).max(min);
    let mut hasher = DefaultHasher::new();
    task.hash(&mut hasher);
    min + hasher.finish() % (max - min + 1)
}
