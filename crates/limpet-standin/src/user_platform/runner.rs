use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use serde_json::{Value, json};
use tokio::sync::Notify;

use super::{
    listen::{Answer, Call},
    lock,
};

/// How often a poll that waits for an end checks for one.
const POLL_MS: u64 = 5;
/// How long a late start order is held before it takes effect.
const LATE_START_MS: u64 = 1_500;
/// The most ends that a report lists.
const MAX_LISTED_ENDS: usize = 500;
/// What the clock of a runner's first life is ahead of that of a later one.
const FIRST_LIFE_MS: u64 = 3_600_000;
/// The longest lease; a longer one is shortened to this.
const MAX_LEASE_MS: u64 = 6_000;

/// A record of a start that a runner carried out.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StartRecord {
    /// When it started, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// The id of the runner.
    pub runner: String,
    /// The name of the task.
    pub task: String,
    /// The number of the run.
    pub run: u64,
}

/// How a runner leaves once its last run has ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Departure {
    /// Right after the answer that lists the end.
    AfterAnswer,
    /// Its row is removed first, and the answer is late.
    AfterLateAnswer,
    /// Before it has answered the poll that waits for the end.
    BeforeAnswer,
}

#[derive(Debug)]
struct Run {
    number: u64,
    started: Instant,
}

/// The state of a stand-in runner.
#[derive(Debug)]
pub struct RunnerState {
    /// The id of the runner.
    pub id: String,
    /// The machine that it is a life of.
    machine: String,
    service: String,
    pub(super) address: Option<SocketAddr>,
    /// When this incarnation started, in milliseconds since the Unix epoch.
    born: u64,
    /// The time from which its clock counts, in milliseconds since the Unix
    /// epoch.
    clock_since: u64,
    /// The highest fencing token seen.
    fencing_token: u64,
    /// When the lease of all runs expires, on the runner's clock.
    expires_ms: u64,
    /// The run in progress of each task.
    runs: BTreeMap<String, Run>,
    /// The highest run of each task that ended or was stopped. Runs up to it
    /// don't start any more.
    finished_runs: BTreeMap<String, u64>,
    /// The ends that aren't acknowledged: number, task, run, kind.
    ends: Vec<(u64, String, u64, &'static str)>,
    /// The number of the next end.
    next_end: u64,
    /// The starts that it carried out, also those of earlier incarnations.
    pub starts: Vec<StartRecord>,
    /// How long each task runs, in milliseconds.
    pub run_time_ms: u64,
    /// How many of the next start orders take effect late, by
    /// `LATE_START_MS`, and get no answer.
    pub late_starts: u32,
    /// Whether it receives no calls and sends no answers.
    pub cut_off: bool,
    /// How many of the next polls get no answer.
    pub unanswered_holds: u32,
    /// Whether its next registration says that it is draining.
    pub draining: bool,
    /// The data centre that its next registration tells.
    pub zone: String,
    /// How it leaves when a poll first has no run in progress to wait for.
    pub departure: Option<Departure>,
    /// The cores that its next registration tells, in thousandths.
    pub cores_milli: u64,
    /// Jobs whose tasks crash the runner that starts them, by id.
    pub deadly_jobs: BTreeSet<String>,
    /// Whether it has started a deadly task and is about to crash.
    pub(super) doomed: bool,
    /// The crashes of its lives: the tasks that ran.
    pub crashes: Vec<Vec<String>>,
    /// Ends the server of the present life.
    pub(super) stop: Arc<Notify>,
}

impl RunnerState {
    pub(super) fn new(id: &str, service: &str) -> RunnerState {
        let born = unix_ms();
        RunnerState {
            id: id.to_owned(),
            machine: format!("m-{id}"),
            service: service.to_owned(),
            address: None,
            born,
            clock_since: born - FIRST_LIFE_MS,
            fencing_token: 0,
            expires_ms: 0,
            runs: BTreeMap::new(),
            finished_runs: BTreeMap::new(),
            ends: Vec::new(),
            next_end: 1,
            starts: Vec::new(),
            run_time_ms: 100,
            late_starts: 0,
            cut_off: false,
            unanswered_holds: 0,
            draining: false,
            zone: "z1".to_owned(),
            departure: None,
            cores_milli: 16_000,
            deadly_jobs: BTreeSet::new(),
            doomed: false,
            crashes: Vec::new(),
            stop: Arc::default(),
        }
    }

    /// Returns the value of the row with which the runner registers itself.
    pub fn registration(&self) -> Value {
        let address = self.address.map_or(String::new(), |a| a.to_string());
        json!({
            "service": self.service, "address": address, "zone": self.zone,
            "version": "v1", "slots": 8, "cold_left_ms": 0, "sequence": 1,
            "state": if self.draining { "draining" } else { "ready" },
            "capacity": { "cpu": self.cores_milli, "mem_mb": 65_536, "gpu": 0 },
            "labels": ["a", "r1"], "born": self.born,
            "machine": self.machine,
        })
    }

    /// Returns the time on its clock, which starts anew with each life.
    fn clock_ms(&self) -> u64 {
        unix_ms().saturating_sub(self.clock_since)
    }

    /// Replaces the runner by a new incarnation, whose start time is later by
    /// at least 1 ms. Its address, run time and record of starts stay.
    pub(super) fn restart(&mut self) {
        let stop = Arc::clone(&self.stop);
        let address = self.address;
        self.begin_life(&self.id.clone());
        self.stop = stop;
        self.address = address;
    }

    /// Replaces the runner by a new life under this id, without an address.
    pub(super) fn begin_life(&mut self, id: &str) {
        let mut next = RunnerState::new(id, &self.service);
        next.machine.clone_from(&self.machine);
        next.born = unix_ms().max(self.born + 1);
        next.clock_since = unix_ms();
        next.starts = std::mem::take(&mut self.starts);
        next.crashes = std::mem::take(&mut self.crashes);
        next.deadly_jobs = std::mem::take(&mut self.deadly_jobs);
        next.cores_milli = self.cores_milli;
        next.zone.clone_from(&self.zone);
        next.run_time_ms = self.run_time_ms;
        *self = next;
    }

    /// Loses all runs and connections, as when the process dies.
    pub(super) fn crash(&mut self) {
        self.crashes.push(self.running());
        self.runs.clear();
        self.address = None;
        self.stop.notify_one();
    }

    /// Returns how it leaves now, if it does: its last run has ended and the
    /// end isn't acknowledged.
    pub(super) fn take_departure(&mut self) -> Option<Departure> {
        let leaves = self.runs.is_empty() && !self.ends.is_empty();
        leaves.then(|| self.departure.take()).flatten()
    }

    /// Ends what is due by now, and returns the names of the tasks that run.
    pub fn running_now(&mut self) -> Vec<String> {
        self.advance();
        self.running()
    }

    /// Returns the names of the tasks that run.
    pub fn running(&self) -> Vec<String> {
        self.runs.keys().cloned().collect()
    }

    /// Ends the tasks whose run time is over, and all of them once the lease
    /// has expired.
    fn advance(&mut self) {
        if self.clock_ms() >= self.expires_ms {
            for task in self.running() {
                self.end(&task, "lapsed");
            }
        }
        let due: Vec<String> = self
            .runs
            .iter()
            .filter(|(_, run)| {
                run.started.elapsed()
                    >= Duration::from_millis(self.run_time_ms)
            })
            .map(|(task, _)| task.clone())
            .collect();
        for task in due {
            self.end(&task, "done");
        }
    }

    /// Ends the run of a task, if there is one, and keeps its end until it is
    /// acknowledged.
    fn end(&mut self, task: &str, how: &'static str) {
        let Some(run) = self.runs.remove(task) else { return };
        let finished = self.finished_runs.entry(task.to_owned()).or_default();
        *finished = run.number.max(*finished);
        self.ends.push((self.next_end, task.to_owned(), run.number, how));
        self.next_end += 1;
    }

    /// Reports whether the request's fencing token is at least the highest
    /// seen so far, and records it.
    fn check_fencing_token(&mut self, body: &Value) -> bool {
        let token = body["fencing_token"].as_u64().unwrap_or(0);
        let is_current = token >= self.fencing_token;
        self.fencing_token = self.fencing_token.max(token);
        is_current
    }

    /// Extends the lease to what the request asks for, up to
    /// `MAX_LEASE_MS` from now. Never shortens it.
    fn extend_lease(&mut self, body: &Value) {
        let asked_ms = body["expires_ms"].as_u64().unwrap_or(0);
        let granted_ms = asked_ms.min(self.clock_ms() + MAX_LEASE_MS);
        self.expires_ms = self.expires_ms.max(granted_ms);
    }

    fn start(&mut self, body: &Value) -> Answer {
        if !self.check_fencing_token(body) {
            return self.refuse("fence");
        }
        self.extend_lease(body);
        let task = body["task"].as_str().unwrap_or_default().to_owned();
        let run = body["run"].as_u64().unwrap_or(0);
        if self.runs.get(&task).is_some_and(|found| found.number == run) {
            return self.accept();
        }
        if run <= self.finished_runs.get(&task).copied().unwrap_or(0) {
            return self.refuse("old");
        }
        if self.clock_ms() >= self.expires_ms {
            return self.refuse("late");
        }
        self.starts.push(StartRecord {
            at_ms: unix_ms(),
            runner: self.id.clone(),
            task: task.clone(),
            run,
        });
        let job = task.split('.').next().unwrap_or_default();
        self.doomed |= self.deadly_jobs.contains(job);
        self.runs.insert(task, Run { number: run, started: Instant::now() });
        self.accept()
    }

    fn stop(&mut self, body: &Value) -> Answer {
        if !self.check_fencing_token(body) {
            return self.refuse("fence");
        }
        let task = body["task"].as_str().unwrap_or_default().to_owned();
        let run = body["run"].as_u64().unwrap_or(0);
        let finished = self.finished_runs.entry(task.clone()).or_default();
        *finished = run.max(*finished);
        if self.runs.get(&task).is_some_and(|found| found.number <= run) {
            self.end(&task, "stopped");
        }
        self.accept()
    }

    fn accept(&self) -> Answer {
        Answer::json(200, &json!({ "clock_ms": self.clock_ms() }))
    }

    fn refuse(&self, reason: &str) -> Answer {
        let body = json!({ "clock_ms": self.clock_ms(), "reason": reason });
        Answer::json(409, &body)
    }

    fn report(&self) -> Answer {
        let running: Vec<Value> = self
            .runs
            .iter()
            .map(|(task, run)| {
                let done_ms = run.started.elapsed().as_millis() as u64;
                let percent = done_ms * 100 / self.run_time_ms.max(1);
                json!([task, run.number, "", percent.min(99), 0.5])
            })
            .collect();
        let finished: Vec<Value> = self
            .ends
            .iter()
            .take(MAX_LISTED_ENDS)
            .map(|(number, task, run, how)| {
                json!([number, task, run, how, ""])
            })
            .collect();
        Answer::json(
            200,
            &json!({
                "clock_ms": self.clock_ms(), "born": self.born,
                "running": running, "finished": finished,
            }),
        )
    }
}

/// Answers a start order, a stop order or a poll.
pub(super) async fn answer(
    runner: &Arc<Mutex<RunnerState>>,
    call: Call,
) -> Answer {
    let body = call.body();
    lock(runner).advance();
    if lock(runner).cut_off {
        return Answer::none();
    }
    match call.path.as_str() {
        "/run-start" => {
            let late = {
                let mut state = lock(runner);
                let late = state.late_starts > 0;
                state.late_starts = state.late_starts.saturating_sub(1);
                late
            };
            if late {
                actix_rt::time::sleep(Duration::from_millis(LATE_START_MS))
                    .await;
                lock(runner).start(&body);
                return Answer::none();
            }
            lock(runner).start(&body)
        }
        "/run-stop" => lock(runner).stop(&body),
        "/hold" => hold(runner, &body).await,
        _ => Answer::empty(404),
    }
}

/// Answers a poll as soon as there is an end to report, or after the time for
/// which the caller lets it wait.
async fn hold(runner: &Arc<Mutex<RunnerState>>, body: &Value) -> Answer {
    let born = {
        let mut state = lock(runner);
        if !state.check_fencing_token(body) {
            return state.refuse("fence");
        }
        if state.unanswered_holds > 0 {
            state.unanswered_holds -= 1;
            return Answer::none();
        }
        state.extend_lease(body);
        let seen = body["last_seen"].as_u64().unwrap_or(0);
        state.ends.retain(|(number, ..)| *number > seen);
        state.born
    };
    let wait_ms = body["wait_ms"].as_u64().unwrap_or(0);
    let until = Instant::now() + Duration::from_millis(wait_ms);
    loop {
        {
            let mut state = lock(runner);
            state.advance();
            // A connection ends with the life that has accepted it.
            if state.cut_off || state.born != born {
                return Answer::none();
            }
            if !state.ends.is_empty() || Instant::now() >= until {
                return state.report();
            }
        }
        actix_rt::time::sleep(Duration::from_millis(POLL_MS)).await;
    }
}

fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_millis() as u64)
}
