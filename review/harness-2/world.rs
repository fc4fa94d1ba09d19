//! Runners, the tasks that they run, and the service for advice, as
//! PROTOCOL.md describes them. They note every start and every end.

use std::{
    collections::{BTreeMap, HashMap},
    fs::File,
    io::Write,
    sync::{Arc, Mutex, MutexGuard},
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    http::{Answer, Request, Server},
    json::Json,
    store::Store,
};

pub const SERVICE: &str = "desk";
pub const SMALL_SERVICE: &str = "archive";
/// The bounds of `sites/koinonia-hq.toml`.
const MAX_HOLD_MS: u64 = 6_000;
const GANG_TIMEOUT_MS: u64 = 3_000;
const HEARTBEAT_MS: u64 = 1_500;
const MAX_LISTED_ENDS: usize = 500;
/// The advice policy of the queue.
pub const DECIDE_MS: u64 = 20;
pub const PERIOD_MS: u64 = 1;
pub const VALID_MS: u64 = 2_500;

/// How the tasks of a job behave.
#[derive(Clone, Default)]
pub struct Behaviour {
    pub work_ms: u64,
    /// Whether the tasks run until they are stopped.
    pub lasts: bool,
    /// The number of members if the tasks are a gang, else 0.
    pub gang: usize,
    /// How many of the first runs of a gang end `failed`, by one member.
    pub failing_runs: u64,
    /// How long such a run works before that.
    pub fails_after_ms: u64,
}

#[derive(Clone)]
struct Run {
    number: u64,
    started: Instant,
}

/// A start that a runner has carried out.
#[derive(Clone, Debug)]
pub struct Start {
    pub task: String,
    pub run: u64,
    pub runner: String,
    pub end: Option<&'static str>,
}

struct Runner {
    id: String,
    service: &'static str,
    machine: String,
    born: u64,
    since: Instant,
    server: Option<Server>,
    fence: u64,
    expires_ms: u64,
    sequence: u64,
    beat_at: Instant,
    runs: BTreeMap<String, Run>,
    /// When its process died, until its row is removed.
    down_since: Option<Instant>,
    /// The highest run of each task that was stopped or has ended here.
    barred: BTreeMap<String, u64>,
    ends: Vec<(u64, String, u64, &'static str)>,
    next_end: u64,
}

pub struct World {
    runners: Vec<Runner>,
    behaviours: HashMap<String, Behaviour>,
    /// Since when all members of a gang's run are present.
    gangs: HashMap<(String, u64), Instant>,
    pub starts: Vec<Start>,
    /// Whether the queue needs advice.
    needs_tickets: bool,
    record: File,
    began: Instant,
}

#[derive(Clone)]
pub struct Runners {
    world: Arc<Mutex<World>>,
    store: Store,
}

impl Runners {
    pub fn start(
        store: &Store,
        count: usize,
        small_count: usize,
        needs_tickets: bool,
        record: File,
    ) -> Runners {
        let world = World {
            runners: Vec::new(),
            behaviours: HashMap::new(),
            gangs: HashMap::new(),
            starts: Vec::new(),
            needs_tickets,
            record,
            began: Instant::now(),
        };
        let world = Arc::new(Mutex::new(world));
        let runners = Runners { world, store: store.clone() };
        for number in 0..count {
            let service = match number < count - small_count {
                true => SERVICE,
                false => SMALL_SERVICE,
            };
            let runner = Runner::new(number, service);
            runners.lock().runners.push(runner);
            runners.begin_life(number);
        }
        let ticking = runners.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(5));
                ticking.tick();
            }
        });
        runners
    }

    pub fn lock(&self) -> MutexGuard<'_, World> {
        self.world.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    pub fn note(&self, text: &str) {
        self.lock().note(text);
    }

    pub fn behave(&self, job: &str, behaviour: Behaviour) {
        self.lock().behaviours.insert(job.to_owned(), behaviour);
    }

    /// Returns the number of tasks that run.
    pub fn running(&self) -> usize {
        self.lock().runners.iter().map(|runner| runner.runs.len()).sum()
    }

    /// Returns the runner of a task, if one runs it.
    pub fn runner_of(&self, task: &str) -> Option<usize> {
        let world = self.lock();
        world.runners.iter().position(|r| r.runs.contains_key(task))
    }

    /// Starts a life of a runner: under the id that it had, with nothing of
    /// what it knew.
    pub fn begin_life(&self, number: usize) {
        let shared = self.clone();
        let server = Server::start(move |r| shared.answer(number, r));
        let server = server.expect("a free port");
        let mut world = self.lock();
        let runner = &mut world.runners[number];
        let born = unix_ms().max(runner.born + 1);
        *runner = Runner { born, ..Runner::new(number, runner.service) };
        runner.server = Some(server);
        let (id, row) = (runner.id.clone(), runner.registration());
        world.note(&format!("runner {id} up, born {born}"));
        drop(world);
        self.store.put("servers", &id, Some(&row));
    }

    /// Kills the process of a runner: all that it ran is gone.
    pub fn crash(&self, number: usize) {
        let mut world = self.lock();
        let runner = &mut world.runners[number];
        let Some(server) = runner.server.take() else { return };
        server.close();
        runner.down_since = Some(Instant::now());
        let id = runner.id.clone();
        let runs: Vec<(String, u64)> = std::mem::take(&mut runner.runs)
            .into_iter()
            .map(|(task, run)| (task, run.number))
            .collect();
        let names: Vec<&str> = runs.iter().map(|r| r.0.as_str()).collect();
        let text = format!("runner {id} crashes; ran {names:?}");
        world.note(&text);
        for (task, run) in &runs {
            world.end_start(task, *run, &id, "gone with its runner");
        }
    }

    /// Ends all runs as `failed`, as when what all tasks need is away for a
    /// moment.
    pub fn fail_all(&self) {
        let mut world = self.lock();
        world.note("all tasks fail at once");
        for number in 0..world.runners.len() {
            let runs = &world.runners[number].runs;
            let tasks: Vec<String> = runs.keys().cloned().collect();
            for task in tasks {
                world.end(number, &task, "failed");
            }
        }
    }

    fn tick(&self) {
        let (mut beats, mut gone) = (Vec::new(), Vec::new());
        let mut world = self.lock();
        world.advance();
        for runner in &mut world.runners {
            let is_due =
                runner.beat_at.elapsed().as_millis() as u64 >= HEARTBEAT_MS;
            if runner.server.is_some() && is_due {
                runner.beat_at = Instant::now();
                runner.sequence += 1;
                beats.push((runner.id.clone(), runner.registration()));
            }
            let silent_ms = runner.down_since.map_or(0, passed_ms);
            if silent_ms >= 3 * HEARTBEAT_MS {
                runner.down_since = None;
                gone.push(runner.id.clone());
            }
        }
        drop(world);
        for (id, row) in beats {
            self.store.put("servers", &id, Some(&row));
        }
        for id in gone {
            self.store.put("servers", &id, None);
        }
    }

    fn answer(&self, number: usize, request: &Request) -> Answer {
        let body = Json::parse(&request.body).unwrap_or(Json::Null);
        let mut world = self.lock();
        world.advance();
        let runner = &mut world.runners[number];
        if request.header("Target-Instance") != runner.id {
            return Some((421, String::new()));
        }
        let fence = body.get("fencing_token").as_u64().unwrap_or(0);
        if fence < runner.fence {
            return runner.refuse("fence");
        }
        runner.fence = fence;
        let born = runner.born;
        match request.path.as_str() {
            "/run-start" => world.start(number, &body),
            "/run-stop" => world.stop(number, &body),
            "/hold" => {
                runner.extend(&body);
                let seen = body.get("last_seen").as_u64().unwrap_or(0);
                runner.ends.retain(|end| end.0 > seen);
                drop(world);
                let wait_ms = body.get("wait_ms").as_u64().unwrap_or(0);
                self.wait_for_end(number, born, wait_ms)
            }
            _ => Some((404, String::new())),
        }
    }

    fn wait_for_end(&self, number: usize, born: u64, wait_ms: u64) -> Answer {
        let until = Instant::now() + Duration::from_millis(wait_ms);
        loop {
            let mut world = self.lock();
            world.advance();
            let runner = &world.runners[number];
            if runner.born != born || runner.server.is_none() {
                return None;
            }
            if !runner.ends.is_empty() || Instant::now() >= until {
                let percent = |task: &str, run: &Run| world.percent(task, run);
                return Some((200, runner.report(percent)));
            }
            drop(world);
            thread::sleep(Duration::from_millis(4));
        }
    }
}

impl Runner {
    fn new(number: usize, service: &'static str) -> Runner {
        Runner {
            service,
            id: format!("w{number}"),
            machine: format!("m{number}"),
            born: 0,
            since: Instant::now(),
            server: None,
            fence: 0,
            expires_ms: 0,
            sequence: 1,
            beat_at: Instant::now(),
            runs: BTreeMap::new(),
            down_since: None,
            barred: BTreeMap::new(),
            ends: Vec::new(),
            next_end: 1,
        }
    }

    /// The clock counts from the start of the life, and not from 0.
    fn clock_ms(&self) -> u64 {
        100_000 + self.since.elapsed().as_millis() as u64
    }

    fn registration(&self) -> String {
        let server = self.server.as_ref();
        let address = server.map_or(String::new(), |s| s.address.to_string());
        Json::object(vec![
            ("service", Json::text(self.service)),
            ("address", Json::text(address)),
            ("zone", Json::text("z1")),
            ("version", Json::text("v1")),
            ("slots", Json::number(8)),
            ("state", Json::text("ready")),
            ("cold_left_ms", Json::number(0)),
            ("sequence", Json::ms(self.sequence)),
            ("born", Json::ms(self.born)),
            ("machine", Json::text(&self.machine)),
            (
                "capacity",
                Json::object(vec![
                    ("cpu", Json::number(16_000)),
                    ("mem_mb", Json::number(65_536)),
                    ("gpu", Json::number(0)),
                ]),
            ),
            ("labels", Json::List(vec![Json::text("a"), Json::text("r1")])),
        ])
        .to_string()
    }

    fn extend(&mut self, body: &Json) {
        let asked_ms = body.get("expires_ms").as_u64().unwrap_or(0);
        let granted_ms = asked_ms.min(self.clock_ms() + MAX_HOLD_MS);
        self.expires_ms = self.expires_ms.max(granted_ms);
    }

    fn accept(&self) -> Answer {
        let clock = Json::ms(self.clock_ms());
        Some((200, Json::object(vec![("clock_ms", clock)]).to_string()))
    }

    fn refuse(&self, reason: &str) -> Answer {
        let fields = vec![
            ("clock_ms", Json::ms(self.clock_ms())),
            ("reason", Json::text(reason)),
        ];
        Some((409, Json::object(fields).to_string()))
    }

    fn report(&self, percent: impl Fn(&str, &Run) -> f64) -> String {
        let running = self.runs.iter().map(|(task, run)| {
            let done = Json::Number(percent(task, run).floor());
            let (task, number) = (Json::text(task), Json::ms(run.number));
            Json::List(vec![
                task,
                number,
                Json::text(""),
                done,
                Json::number(0.5),
            ])
        });
        let ends = self.ends.iter().take(MAX_LISTED_ENDS);
        let finished = ends.map(|(number, task, run, how)| {
            let (number, run) = (Json::ms(*number), Json::ms(*run));
            let (task, how) = (Json::text(task), Json::text(*how));
            Json::List(vec![number, task, run, how, Json::text("")])
        });
        Json::object(vec![
            ("clock_ms", Json::ms(self.clock_ms())),
            ("born", Json::ms(self.born)),
            ("running", Json::List(running.collect())),
            ("finished", Json::List(finished.collect())),
        ])
        .to_string()
    }
}

impl World {
    pub fn note(&mut self, text: &str) {
        let at_ms = self.began.elapsed().as_millis();
        writeln!(self.record, "{at_ms:>7} {text}").ok();
    }

    fn start(&mut self, number: usize, body: &Json) -> Answer {
        let runner = &mut self.runners[number];
        runner.extend(body);
        let task = body.get("task").as_str().to_owned();
        let run = body.get("run").as_u64().unwrap_or(0);
        if runner.runs.get(&task).is_some_and(|found| found.number == run) {
            return runner.accept();
        }
        if run <= runner.barred.get(&task).copied().unwrap_or(0) {
            return runner.refuse("old");
        }
        let asked_ms = body.get("expires_ms").as_u64().unwrap_or(0);
        if asked_ms <= runner.clock_ms() {
            return runner.refuse("late");
        }
        let ticket = body.get("ticket").as_str();
        if self.needs_tickets && !is_valid_ticket(ticket, &task, &runner.id) {
            return runner.refuse("ticket");
        }
        let id = runner.id.clone();
        let new = Run { number: run, started: Instant::now() };
        runner.runs.insert(task.clone(), new);
        let answer = runner.accept();
        self.note(&format!("start {task} run {run} on {id}"));
        let start = Start { task, run, runner: id, end: None };
        self.starts.push(start);
        answer
    }

    fn stop(&mut self, number: usize, body: &Json) -> Answer {
        let task = body.get("task").as_str().to_owned();
        let run = body.get("run").as_u64().unwrap_or(0);
        let runner = &mut self.runners[number];
        let barred = runner.barred.entry(task.clone()).or_default();
        *barred = run.max(*barred);
        if runner.runs.get(&task).is_some_and(|found| found.number <= run) {
            self.end(number, &task, "stopped");
        }
        self.runners[number].accept()
    }

    fn end(&mut self, number: usize, task: &str, how: &'static str) {
        let runner = &mut self.runners[number];
        let Some(run) = runner.runs.remove(task) else { return };
        let barred = runner.barred.entry(task.to_owned()).or_default();
        *barred = run.number.max(*barred);
        let end = (runner.next_end, task.to_owned(), run.number, how);
        runner.ends.push(end);
        runner.next_end += 1;
        let id = runner.id.clone();
        self.note(&format!("end {task} run {} on {id}: {how}", run.number));
        self.end_start(task, run.number, &id, how);
    }

    fn end_start(
        &mut self,
        task: &str,
        run: u64,
        id: &str,
        how: &'static str,
    ) {
        let start = self.starts.iter_mut().rev().find(|start| {
            start.task == task && start.run == run && start.runner == id
        });
        if let Some(start) = start {
            start.end = Some(how);
        }
    }

    /// Ends what is due by now.
    fn advance(&mut self) {
        let mut due: Vec<(usize, String, &'static str)> = Vec::new();
        let mut gangs: HashMap<(String, u64), Vec<(usize, String, Instant)>> =
            HashMap::new();
        for (number, runner) in self.runners.iter().enumerate() {
            let is_lapsed = runner.clock_ms() >= runner.expires_ms;
            for (task, run) in &runner.runs {
                let behaviour = self.behaviour(task);
                if is_lapsed {
                    due.push((number, task.clone(), "lapsed"));
                } else if behaviour.gang > 0 {
                    let key = (step_of(task).to_owned(), run.number);
                    let member = (number, task.clone(), run.started);
                    gangs.entry(key).or_default().push(member);
                } else if !behaviour.lasts
                    && passed_ms(run.started) >= behaviour.work_ms
                {
                    due.push((number, task.clone(), "done"));
                }
            }
        }
        for (key, members) in gangs {
            let behaviour = self.behaviour(&members[0].1);
            let since = self.gangs.get(&key).copied();
            if members.len() == behaviour.gang && since.is_none() {
                self.gangs.insert(key, Instant::now());
            } else if let Some(since) = since {
                let fails = key.1 <= behaviour.failing_runs;
                let is_broken = members.len() < behaviour.gang;
                let worked_ms = passed_ms(since);
                for (index, (number, task, _)) in members.iter().enumerate() {
                    let how = if is_broken {
                        "broken"
                    } else if fails && worked_ms >= behaviour.fails_after_ms {
                        if index == 0 { "failed" } else { "broken" }
                    } else if !behaviour.lasts
                        && worked_ms >= behaviour.work_ms
                    {
                        "done"
                    } else {
                        continue;
                    };
                    due.push((*number, task.clone(), how));
                }
            } else {
                for (number, task, started) in members {
                    if passed_ms(started) >= GANG_TIMEOUT_MS {
                        due.push((number, task, "alone"));
                    }
                }
            }
        }
        for (number, task, how) in due {
            self.end(number, &task, how);
        }
    }

    /// Returns how much of a run is done, in percent. The members of a gang
    /// work from the moment when all are present.
    fn percent(&self, task: &str, run: &Run) -> f64 {
        let behaviour = self.behaviour(task);
        let since = match behaviour.gang {
            0 => Some(run.started),
            _ => {
                let key = (step_of(task).to_owned(), run.number);
                self.gangs.get(&key).copied()
            }
        };
        let worked_ms = since.map_or(0, passed_ms) as f64;
        if behaviour.lasts {
            return if since.is_some() { 100.0 } else { 0.0 };
        }
        (worked_ms * 100.0 / behaviour.work_ms.max(1) as f64).min(99.0)
    }

    fn behaviour(&self, task: &str) -> Behaviour {
        let job = task.split('.').next().unwrap_or_default();
        self.behaviours.get(job).cloned().unwrap_or_default()
    }
}

/// The service for advice: every worker may run every step.
pub fn advise(request: &Request) -> Answer {
    let body = Json::parse(&request.body).unwrap_or(Json::Null);
    let workers = body.get("workers").items();
    let took_ms = DECIDE_MS + PERIOD_MS * workers.len() as u64;
    thread::sleep(Duration::from_millis(took_ms));
    let (step, now_ms) = (body.get("step").as_str(), unix_ms());
    let row = |id: &Json| {
        let ticket = format!("{step}/{}/{now_ms}", id.as_str());
        Json::List(vec![id.clone(), Json::text(ticket)])
    };
    let allowed = Json::List(workers.iter().map(row).collect());
    Some((200, Json::object(vec![("allowed", allowed)]).to_string()))
}

fn is_valid_ticket(ticket: &str, task: &str, runner: &str) -> bool {
    let words: Vec<&str> = ticket.split('/').collect();
    let [step, id, at_ms] = words[..] else { return false };
    let at_ms: u64 = at_ms.parse().unwrap_or(0);
    step == step_of(task) && id == runner && unix_ms() < at_ms + VALID_MS
}

fn step_of(task: &str) -> &str {
    task.rsplit_once('.').map_or(task, |(step, _)| step)
}

fn passed_ms(since: Instant) -> u64 {
    since.elapsed().as_millis() as u64
}

pub fn unix_ms() -> u64 {
    let passed = SystemTime::now().duration_since(UNIX_EPOCH);
    passed.map_or(0, |passed| passed.as_millis() as u64)
}
