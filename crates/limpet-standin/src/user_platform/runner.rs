use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use serde_json::{Value, json};

use super::{
    listen::{Answer, Call},
    lock,
};

/// How often a look that waits for an end looks again.
const POLL_MS: u64 = 5;
/// How long a late order waits.
const LATE_MS: u64 = 1_500;

/// A start that a runner carried out.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StartRecord {
    /// When, since the Unix epoch.
    pub at_ms: u64,
    /// The runner.
    pub runner: String,
    /// The task's name.
    pub task: String,
    /// The number of the run.
    pub run: u64,
}

#[derive(Debug)]
struct Run {
    run: u64,
    began: Instant,
}

/// A stand-in runner.
#[derive(Debug)]
pub struct RunnerState {
    /// Its id.
    pub id: String,
    service: String,
    pub(super) address: Option<SocketAddr>,
    born: u64,
    fence: u64,
    runs: BTreeMap<String, Run>,
    barred: BTreeMap<String, u64>,
    ends: Vec<(u64, String, u64, &'static str)>,
    next_end: u64,
    /// The starts that it carried out.
    pub starts: Vec<StartRecord>,
    /// How long a task takes.
    pub run_time_ms: u64,
    /// The starts to come that get no answer and run late.
    pub late_starts: u32,
    /// The looks to come that get no answer.
    pub unanswered_holds: u32,
    /// Whether it registers itself as leaving.
    pub draining: bool,
}

impl RunnerState {
    pub(super) fn new(id: &str, service: &str) -> RunnerState {
        RunnerState {
            id: id.to_owned(),
            service: service.to_owned(),
            address: None,
            born: unix_ms(),
            fence: 0,
            runs: BTreeMap::new(),
            barred: BTreeMap::new(),
            ends: Vec::new(),
            next_end: 1,
            starts: Vec::new(),
            run_time_ms: 100,
            late_starts: 0,
            unanswered_holds: 0,
            draining: false,
        }
    }

    pub(super) fn registration(&self) -> Value {
        let address = self.address.map_or(String::new(), |a| a.to_string());
        json!({
            "service": self.service, "address": address, "zone": "z1",
            "version": "v1", "slots": 8, "cold_left_ms": 0, "sequence": 1,
            "state": if self.draining { "draining" } else { "ready" },
            "capacity": { "cpu": 16_000, "mem_mb": 65_536, "gpu": 0 },
            "labels": ["a", "r1"], "born": self.born,
        })
    }

    pub(super) fn restart(&mut self) {
        let mut next = RunnerState::new(&self.id, &self.service);
        next.address = self.address;
        next.born = unix_ms().max(self.born + 1);
        next.starts = std::mem::take(&mut self.starts);
        next.run_time_ms = self.run_time_ms;
        *self = next;
    }

    /// Returns the tasks that run now.
    pub fn running(&self) -> Vec<String> {
        self.runs.keys().cloned().collect()
    }

    fn tick(&mut self) {
        let due: Vec<String> = self
            .runs
            .iter()
            .filter(|(_, run)| {
                run.began.elapsed() >= Duration::from_millis(self.run_time_ms)
            })
            .map(|(task, _)| task.clone())
            .collect();
        for task in due {
            self.end(&task, "done");
        }
    }

    fn end(&mut self, task: &str, how: &'static str) {
        let Some(run) = self.runs.remove(task) else { return };
        let barred = self.barred.entry(task.to_owned()).or_default();
        *barred = run.run.max(*barred);
        self.ends.push((self.next_end, task.to_owned(), run.run, how));
        self.next_end += 1;
    }

    fn takes_fence(&mut self, body: &Value) -> bool {
        let fence = body["fencing_token"].as_u64().unwrap_or(0);
        let takes = fence >= self.fence;
        self.fence = self.fence.max(fence);
        takes
    }

    fn start(&mut self, body: &Value) -> Answer {
        if !self.takes_fence(body) {
            return refuse("fence");
        }
        let task = body["task"].as_str().unwrap_or_default().to_owned();
        let run = body["run"].as_u64().unwrap_or(0);
        if self.runs.get(&task).is_some_and(|one| one.run == run) {
            return accept();
        }
        if run <= self.barred.get(&task).copied().unwrap_or(0) {
            return refuse("old");
        }
        self.starts.push(StartRecord {
            at_ms: unix_ms(),
            runner: self.id.clone(),
            task: task.clone(),
            run,
        });
        self.runs.insert(task, Run { run, began: Instant::now() });
        accept()
    }

    fn stop(&mut self, body: &Value) -> Answer {
        if !self.takes_fence(body) {
            return refuse("fence");
        }
        let task = body["task"].as_str().unwrap_or_default().to_owned();
        let run = body["run"].as_u64().unwrap_or(0);
        let barred = self.barred.entry(task.clone()).or_default();
        *barred = run.max(*barred);
        if self.runs.get(&task).is_some_and(|one| one.run <= run) {
            self.end(&task, "stopped");
        }
        accept()
    }

    fn report(&self) -> Answer {
        let running: Vec<Value> = self
            .runs
            .iter()
            .map(|(task, run)| {
                let done_ms = run.began.elapsed().as_millis() as u64;
                let percent = done_ms * 100 / self.run_time_ms.max(1);
                json!([task, run.run, "", percent.min(99), 0.5])
            })
            .collect();
        let finished: Vec<Value> = self
            .ends
            .iter()
            .map(|(number, task, run, how)| {
                json!([number, task, run, how, ""])
            })
            .collect();
        Answer::json(
            200,
            &json!({
                "clock_ms": clock_ms(), "born": self.born,
                "running": running, "finished": finished,
            }),
        )
    }
}

pub(super) async fn answer(
    runner: &Arc<Mutex<RunnerState>>,
    call: Call,
) -> Answer {
    let body = call.body();
    lock(runner).tick();
    match call.path.as_str() {
        "/run-start" => {
            let late = {
                let mut state = lock(runner);
                let late = state.late_starts > 0;
                state.late_starts = state.late_starts.saturating_sub(1);
                late
            };
            if late {
                actix_rt::time::sleep(Duration::from_millis(LATE_MS)).await;
                lock(runner).start(&body);
                return Answer::cut();
            }
            lock(runner).start(&body)
        }
        "/run-stop" => lock(runner).stop(&body),
        "/hold" => hold(runner, &body).await,
        _ => Answer::empty(404),
    }
}

async fn hold(runner: &Arc<Mutex<RunnerState>>, body: &Value) -> Answer {
    {
        let mut state = lock(runner);
        if !state.takes_fence(body) {
            return refuse("fence");
        }
        if state.unanswered_holds > 0 {
            state.unanswered_holds -= 1;
            return Answer::cut();
        }
        let seen = body["last_seen"].as_u64().unwrap_or(0);
        state.ends.retain(|(number, ..)| *number > seen);
    }
    let wait_ms = body["wait_ms"].as_u64().unwrap_or(0);
    let until = Instant::now() + Duration::from_millis(wait_ms);
    loop {
        {
            let mut state = lock(runner);
            state.tick();
            if !state.ends.is_empty() || Instant::now() >= until {
                return state.report();
            }
        }
        actix_rt::time::sleep(Duration::from_millis(POLL_MS)).await;
    }
}

fn accept() -> Answer {
    Answer::json(200, &json!({ "clock_ms": clock_ms() }))
}

fn refuse(reason: &str) -> Answer {
    let body = json!({ "clock_ms": clock_ms(), "reason": reason });
    Answer::json(409, &body)
}

/// The clock of all runners counts from a day of the stand-in's own.
fn clock_ms() -> u64 {
    unix_ms() % 86_400_000
}

fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_millis() as u64)
}
