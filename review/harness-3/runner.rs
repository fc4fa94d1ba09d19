//! A runner, as PROTOCOL.md describes it ("Running tasks"), without pace.
//!
//! The spec of a job names what its tasks do, as words `ms=N` (how long a task
//! works) and `fail=N` (its first N runs fail at their end).

use std::{
    collections::BTreeMap,
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    http::{Action, Request, Server},
    json::{quote, Json},
    record::Record,
    store::Store,
};

const HEARTBEAT_MS: u64 = 1_500;
/// The longest lease that it takes.
const MAX_HOLD_MS: u64 = 6_000;
/// A checkpoint is taken after each such span of work.
const CHECKPOINT_MS: u64 = 500;

pub struct RunnerOptions {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub rack: String,
    pub cpu: u64,
    pub mem_mb: u64,
    /// How long a run goes on after an order to stop it.
    pub stop_ms: u64,
}

struct Run {
    run: u64,
    began: Instant,
    work_ms: u64,
    fails: bool,
    stop_at: Option<Instant>,
}

struct End {
    number: u64,
    task: String,
    run: u64,
    how: &'static str,
}

/// One life of the runner.
struct Life {
    began: Instant,
    born_ms: u64,
    up: bool,
    fence: u64,
    expires_ms: u64,
    running: BTreeMap<String, Run>,
    /// The highest run that ended or was stopped, by task.
    ended: BTreeMap<String, u64>,
    ends: Vec<End>,
    last_number: u64,
    sequence: u64,
    draining: bool,
}

/// A run that a runner has begun.
#[derive(Clone, Debug)]
pub struct Start {
    pub at_ms: u64,
    pub runner: String,
    pub task: String,
    pub run: u64,
    pub spec: String,
    /// When it ended, and how; `lost` with the life of the runner.
    pub end: Option<(u64, &'static str)>,
    /// When the system has taken note of the end.
    pub noted_ms: Option<u64>,
}

pub struct Runner {
    pub options: RunnerOptions,
    life: Mutex<Life>,
    changed: Condvar,
    server: Mutex<Option<Arc<Server>>>,
    store: Arc<Store>,
    record: Arc<Record>,
}

impl Life {
    fn new() -> Life {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
        Life {
            began: Instant::now(),
            born_ms: unix.as_millis() as u64,
            up: true,
            fence: 0,
            expires_ms: 0,
            running: BTreeMap::new(),
            ended: BTreeMap::new(),
            ends: Vec::new(),
            last_number: 0,
            sequence: 0,
            draining: false,
        }
    }

    fn clock_ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }
}

impl Runner {
    pub fn start(
        options: RunnerOptions,
        store: &Arc<Store>,
        record: &Arc<Record>,
    ) -> Arc<Runner> {
        let runner = Arc::new(Runner {
            options,
            life: Mutex::new(Life::new()),
            changed: Condvar::new(),
            server: Mutex::new(None),
            store: Arc::clone(store),
            record: Arc::clone(record),
        });
        let handler = Arc::clone(&runner);
        let server =
            Server::start(Arc::new(move |request| handler.answer(request)));
        *runner.server.lock().unwrap() = Some(server);
        let beating = Arc::clone(&runner);
        thread::spawn(move || loop {
            beating.register();
            thread::sleep(Duration::from_millis(HEARTBEAT_MS));
        });
        let working = Arc::clone(&runner);
        thread::spawn(move || loop {
            thread::sleep(Duration::from_millis(5));
            working.work();
        });
        runner
    }

    /// Ends its process. What runs on it is lost.
    pub fn crash(&self) {
        {
            let mut life = self.life.lock().unwrap();
            life.up = false;
            for (task, run) in std::mem::take(&mut life.running) {
                self.record.end(&self.options.id, &task, run.run, "lost");
            }
        }
        self.record.line(&format!("runner {} crashes", self.options.id));
        self.server.lock().unwrap().as_ref().unwrap().close();
        self.changed.notify_all();
    }

    /// Starts it again, under its id and at its address.
    pub fn restart(&self) {
        *self.life.lock().unwrap() = Life::new();
        self.server.lock().unwrap().as_ref().unwrap().reopen();
        self.record.line(&format!("runner {} starts again", self.options.id));
        self.register();
    }

    /// Returns the tasks that run on it.
    pub fn running(&self) -> Vec<String> {
        self.life.lock().unwrap().running.keys().cloned().collect()
    }

    fn register(&self) {
        let Some(server) = self.server.lock().unwrap().clone() else { return };
        let mut life = self.life.lock().unwrap();
        if !life.up {
            return;
        }
        life.sequence += 1;
        let options = &self.options;
        let state = if life.draining { "draining" } else { "ready" };
        let value = format!(
            "{{\"service\":{},\"address\":{},\"zone\":{},\"version\":\"1\",\
             \"slots\":8,\"state\":\"{state}\",\"cold_left_ms\":0,\"sequence\":{},\
             \"capacity\":{{\"cpu\":{},\"mem_mb\":{},\"gpu\":0}},\
             \"labels\":[\"a\",{}],\"born\":{}}}",
            quote(&options.service),
            quote(&server.address.to_string()),
            quote(&options.zone),
            life.sequence,
            options.cpu,
            options.mem_mb,
            quote(&options.rack),
            life.born_ms,
        );
        drop(life);
        self.store.write("servers", &options.id, Some(&value));
    }

    /// Ends the runs whose time has come.
    fn work(&self) {
        let mut life = self.life.lock().unwrap();
        let now = Instant::now();
        let lapsed = life.clock_ms() > life.expires_ms;
        let mut over = Vec::new();
        for (task, run) in &life.running {
            let how = if lapsed {
                "lapsed"
            } else if run.stop_at.is_some_and(|at| at <= now) {
                "stopped"
            } else if run.began + Duration::from_millis(run.work_ms) <= now {
                if run.fails {
                    "failed"
                } else {
                    "done"
                }
            } else {
                continue;
            };
            over.push((task.clone(), run.run, how));
        }
        for (task, run, how) in &over {
            life.running.remove(task);
            life.last_number += 1;
            let number = life.last_number;
            life.ends.push(End { number, task: task.clone(), run: *run, how });
            bar(&mut life, task, *run);
            self.record.end(&self.options.id, task, *run, how);
        }
        if !over.is_empty() {
            self.changed.notify_all();
        }
    }

    fn answer(&self, request: Request) -> Action {
        if request.header("target-instance") != self.options.id {
            return Action::Answer(421, String::new());
        }
        let body = Json::parse(&request.body);
        match request.path.as_str() {
            "/run-start" => self.start_run(&body),
            "/run-stop" => self.stop_run(&body),
            "/hold" => self.hold(&body),
            _ => Action::Answer(404, String::new()),
        }
    }

    fn refuse(life: &Life, reason: &str) -> Action {
        let clock_ms = life.clock_ms();
        Action::Answer(
            409,
            format!("{{\"clock_ms\":{clock_ms},\"reason\":\"{reason}\"}}"),
        )
    }

    /// Applies the fencing token of a call. Returns whether it is sound.
    fn is_fenced(life: &mut Life, body: &Json) -> bool {
        let token = body.get("fencing_token").number() as u64;
        if token < life.fence {
            return true;
        }
        life.fence = token;
        false
    }

    fn extend(life: &mut Life, body: &Json) {
        if !body.get("expires_ms").is_null() {
            let asked = body.get("expires_ms").number() as u64;
            let most = life.clock_ms() + MAX_HOLD_MS;
            life.expires_ms = life.expires_ms.max(asked.min(most));
        }
    }

    fn start_run(&self, body: &Json) -> Action {
        let mut life = self.life.lock().unwrap();
        if Self::is_fenced(&mut life, body) {
            return Self::refuse(&life, "fence");
        }
        if (body.get("expires_ms").number() as u64) < life.clock_ms() {
            return Self::refuse(&life, "late");
        }
        let task = body.get("task").text().to_owned();
        let run = body.get("run").number() as u64;
        Self::extend(&mut life, body);
        let clock_ms = life.clock_ms();
        let done = Action::Answer(200, format!("{{\"clock_ms\":{clock_ms}}}"));
        if life.running.get(&task).is_some_and(|known| known.run == run) {
            return done;
        }
        let is_old = life.ended.get(&task).is_some_and(|last| run <= *last);
        if is_old || life.running.contains_key(&task) {
            return Self::refuse(&life, "old");
        }
        let spec = body.get("spec").text();
        let word = |name: &str| -> Option<u64> {
            spec.split(' ')
                .find_map(|word| word.strip_prefix(name)?.parse().ok())
        };
        let begun = Run {
            run,
            began: Instant::now(),
            work_ms: word("ms=").unwrap_or(1_000),
            fails: word("fail=").is_some_and(|runs| run <= runs),
            stop_at: None,
        };
        life.running.insert(task.clone(), begun);
        self.record.start(&self.options.id, &task, run, spec);
        done
    }

    fn stop_run(&self, body: &Json) -> Action {
        let mut life = self.life.lock().unwrap();
        if Self::is_fenced(&mut life, body) {
            return Self::refuse(&life, "fence");
        }
        let task = body.get("task").text().to_owned();
        let run = body.get("run").number() as u64;
        bar(&mut life, &task, run);
        let stop_at =
            Instant::now() + Duration::from_millis(self.options.stop_ms);
        if let Some(known) =
            life.running.get_mut(&task).filter(|known| known.run <= run)
        {
            known.stop_at.get_or_insert(stop_at);
        }
        let clock_ms = life.clock_ms();
        Action::Answer(200, format!("{{\"clock_ms\":{clock_ms}}}"))
    }

    fn hold(&self, body: &Json) -> Action {
        let mut life = self.life.lock().unwrap();
        if Self::is_fenced(&mut life, body) {
            return Self::refuse(&life, "fence");
        }
        Self::extend(&mut life, body);
        let seen = body.get("last_seen").number() as u64;
        for end in life.ends.iter().filter(|end| end.number <= seen) {
            self.record.note(&self.options.id, &end.task, end.run);
        }
        life.ends.retain(|end| end.number > seen);
        let wait = Duration::from_millis(body.get("wait_ms").number() as u64);
        let until = Instant::now() + wait;
        while life.ends.is_empty() && life.up {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            life = self.changed.wait_timeout(life, left).unwrap().0;
        }
        let running: Vec<String> = life
            .running
            .iter()
            .map(|(task, run)| {
                let worked_ms = run.began.elapsed().as_millis() as u64;
                let percent = (worked_ms * 100 / run.work_ms.max(1)).min(99);
                let saved = worked_ms / CHECKPOINT_MS;
                let saved = match saved {
                    0 => String::new(),
                    _ => format!("{saved:016x}"),
                };
                format!(
                    "[{},{},\"{saved}\",{percent},100]",
                    quote(task),
                    run.run
                )
            })
            .collect();
        let ends = life.ends.iter().take(500).map(|end| {
            format!(
                "[{},{},{},\"{}\",\"\"]",
                end.number,
                quote(&end.task),
                end.run,
                end.how
            )
        });
        let ends: Vec<String> = ends.collect();
        let body = format!(
            "{{\"clock_ms\":{},\"born\":{},\"running\":[{}],\"finished\":[{}]}}",
            life.clock_ms(),
            life.born_ms,
            running.join(","),
            ends.join(",")
        );
        Action::Answer(200, body)
    }
}

fn bar(life: &mut Life, task: &str, run: u64) {
    let last = life.ended.entry(task.to_owned()).or_default();
    *last = (*last).max(run);
}
