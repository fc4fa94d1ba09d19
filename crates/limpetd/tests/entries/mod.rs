//! A cell for tests: entry instances as processes, with a stand-in for the
//! platform.
#![allow(dead_code)]

use std::{
    collections::BTreeSet,
    fs,
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    path::PathBuf,
    process::{Child, Command, Stdio},
    time::{Duration, Instant},
};

use limpet_standin::{cell::LoopbackHost, user_platform::UserPlatform};
use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};
use serde_json::{Value, json};

/// The maximum time to wait for a condition.
const WAIT_S: u64 = 60;
/// The ports of each instance.
const PORTS: [u16; 4] = [7_080, 7_081, 7_082, 7_083];
/// The duration of the tasks of a long job.
pub const LONG_MS: u64 = 3_000;
/// The API key of the configured team.
pub const KEY: &str = "key-of-the-team";
/// The host of the configured queue.
pub const HOST: &str = "queues.example";

/// A process of `limpetd entry`.
pub struct Entry {
    process: Child,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub link: SocketAddr,
    pub metrics: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
}

/// A platform and its entry instances.
pub struct TestCell {
    pub platform: UserPlatform,
    pub entries: Vec<Entry>,
    folder: PathBuf,
    /// How long ended jobs are retained, in seconds.
    retention_s: u32,
    /// The share of a processor of each instance.
    cpu_shares: Vec<f64>,
    /// The bound on starts after the request for an evacuation.
    evacuate_ms: Option<u64>,
}

/// An HTTP response of an entry instance.
#[derive(Debug)]
pub struct Reply {
    pub status: u16,
    pub head: String,
    pub body: String,
}

/// Returns a configuration with one queue, and one team with these API keys.
pub fn config(version: u64, keys: &[&str]) -> Value {
    json!({
        "version": version,
        "routes": [{
            "name": "r-jobs", "host": HOST, "path_prefix": "/jobs/",
            "service": "svc", "priority": 0, "max_attempts": 3,
            "stretch": 2.0, "target_duration_ms": 500,
            "advice": {
                "decide_ms": 1.0, "period_ms": 0.1, "valid_ms": 2500,
            },
        }],
        "services": [{ "name": "svc", "enforces_capacity": false }],
        "limits": { "max_body_bytes": 262_144 },
        "tenants": [{
            "name": "team", "api_keys": keys, "weight": 100,
            "upper_limit": { "cpu": 0, "mem_mb": 0, "gpu": 0 },
        }],
    })
}

/// Returns a job with one step of `count` tasks.
pub fn job(count: u32) -> Value {
    json!({
        "spec": "payload",
        "steps": [{
            "count": count, "cpu": 500, "mem_mb": 64,
            "est_runtime_ms": 100,
        }],
    })
}

/// Returns a job with a correct estimate, so that none of its runs counts as
/// slow and is moved.
pub fn long_job(count: u32) -> serde_json::Value {
    let mut job = job(count);
    job["steps"][0]["est_runtime_ms"] = LONG_MS.into();
    job
}

/// Checks that no task was started twice.
pub fn assert_no_restarts(cell: &TestCell) {
    let starts = cell.platform.starts();
    let tasks: BTreeSet<&str> =
        starts.iter().map(|start| start.task.as_str()).collect();
    assert_eq!(tasks.len(), starts.len(), "{starts:?}");
}

impl TestCell {
    /// Starts a platform with three runners and `count` entry instances.
    pub fn start(name: &str, count: usize) -> TestCell {
        TestCell::start_with_retention(name, count, 120)
    }

    /// Like [`TestCell::start`], with instances that retain ended jobs for
    /// `retention_s`.
    pub fn start_with_retention(
        name: &str,
        count: usize,
        retention_s: u32,
    ) -> TestCell {
        TestCell::start_with(name, retention_s, &vec![0.25; count], None)
    }

    /// Like [`TestCell::start`], with an instance for each share of a
    /// processor.
    pub fn start_with_cpu_shares(name: &str, cpu_shares: &[f64]) -> TestCell {
        TestCell::start_with(name, 120, cpu_shares, None)
    }

    /// Like [`TestCell::start`], with a bound on starts after the request for
    /// an evacuation, and with the second runner in the data centre z2.
    pub fn start_with_evacuations(
        name: &str,
        count: usize,
        evacuate_ms: u64,
    ) -> TestCell {
        let cpu_shares = vec![0.25; count];
        TestCell::start_with(name, 120, &cpu_shares, Some(evacuate_ms))
    }

    fn start_with(
        name: &str,
        retention_s: u32,
        cpu_shares: &[f64],
        evacuate_ms: Option<u64>,
    ) -> TestCell {
        let platform = UserPlatform::start("svc", 3).expect("a free port");
        platform.configure(&config(1, &[KEY]));
        if evacuate_ms.is_some() {
            platform.runner(1).zone = "z2".to_owned();
            platform.register(1);
        }
        let folder = std::env::temp_dir()
            .join(format!("limpet-{name}-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("a folder");
        let mut cell = TestCell {
            platform,
            entries: Vec::new(),
            folder,
            retention_s,
            cpu_shares: cpu_shares.to_vec(),
            evacuate_ms,
        };
        for number in 0..cpu_shares.len() {
            let entry = cell.start_entry(number);
            cell.entries.push(entry);
        }
        for entry in &mut cell.entries {
            wait_for("an instance that is ready", || {
                let ended = entry.process.try_wait().expect("a child");
                assert_eq!(ended, None, "{}", entry.log());
                get(entry.ready, "/ready").is_some_and(|r| r.status == 200)
            });
        }
        cell
    }

    fn start_entry(&self, number: usize) -> Entry {
        let count = self.cpu_shares.len();
        let [front, ready, link, metrics] = free_addresses();
        let settings = self.folder.join(format!("entry-{number}.toml"));
        let text = format!(
            "[instance]\nname = \"entry-{number}\"\n\
             data_centre = \"z1\"\nfront_address = \"{front}\"\n\
             ready_address = \"{ready}\"\nlink_address = \"{link}\"\n\
             metrics_address = \"{metrics}\"\nshutdown_s = 6\n\
             cpu_share = {}\ncores = 1\nlink_mbps = 1000\n\n\
             [store]\naddress = \"{}\"\n\n[advice]\naddress = \"{}\"\n\n\
             [bounds]\nkey_freshness_ms = 5000\nhold_ms = 6000\n\
             status_kept_s = {}\n{}",
            self.cpu_shares[number],
            // The last of several instances reaches the store at another
            // address, which can fail alone.
            match number > 0 && number + 1 == count {
                true => self.platform.alternate_store_address,
                false => self.platform.store_address,
            },
            self.platform.advice_address,
            self.retention_s,
            self.evacuate_ms
                .map_or(String::new(), |ms| format!("evacuate_ms = {ms}\n")),
        );
        fs::write(&settings, text).expect("a settings file");
        let log = self.folder.join(format!("entry-{number}.log"));
        let process = spawn(&settings, &log);
        Entry { process, front, ready, link, metrics, settings, log }
    }

    /// Sends a request with the team's key; `None` without a response.
    pub fn request(
        &self,
        entry: usize,
        method: &str,
        path: &str,
        body: Option<&Value>,
    ) -> Option<Reply> {
        call(self.entries[entry].front, method, path, KEY, body)
    }

    /// Submits a job, and returns the HTTP status; 0 without a response.
    pub fn submit(&self, entry: usize, id: &str, body: &Value) -> u16 {
        let path = format!("/jobs/{id}");
        self.request(entry, "POST", &path, Some(body))
            .map_or(0, |reply| reply.status)
    }

    /// Returns the state of a job as the instance shows it.
    pub fn state(&self, entry: usize, id: &str) -> Option<String> {
        let path = format!("/jobs/{id}");
        let reply = self.request(entry, "GET", &path, None)?;
        let body: Value = serde_json::from_str(&reply.body).ok()?;
        Some(body["state"].as_str()?.to_owned())
    }

    pub fn wait_for_state(&self, entry: usize, id: &str, state: &str) {
        wait_for(&format!("{id} {state}"), || {
            self.state(entry, id).as_deref() == Some(state)
        });
    }

    /// Returns the entry instance that owns the cell, by its log.
    pub fn owner(&self) -> usize {
        let mut owner = None;
        wait_for("an owner", || {
            owner = (0..self.entries.len())
                .map(|number| {
                    (self.last_takeover(number)["term"].as_u64(), number)
                })
                .filter(|(term, _)| term.is_some())
                .max();
            owner.is_some()
        });
        owner.expect("an owner was waited for").1
    }

    /// Returns the log line of an instance's latest takeover, or null.
    pub fn last_takeover(&self, entry: usize) -> Value {
        self.entries[entry]
            .log()
            .lines()
            .filter(|line| line.contains("owner: took the cell over"))
            .filter_map(|line| serde_json::from_str(line).ok())
            .next_back()
            .unwrap_or(Value::Null)
    }
}

impl Drop for TestCell {
    fn drop(&mut self) {
        for entry in &mut self.entries {
            entry.kill();
        }
        fs::remove_dir_all(&self.folder).ok();
    }
}

impl Entry {
    /// Ends the process with `SIGKILL`.
    pub fn kill(&mut self) {
        self.process.kill().ok();
        self.process.wait().ok();
    }

    /// Kills the process and starts a new one with the same settings and log.
    pub fn restart(&mut self) {
        self.kill();
        self.process = spawn(&self.settings, &self.log);
    }

    /// Restarts the instance with its log in a pipe that nobody reads.
    pub fn restart_unread(&mut self) {
        self.kill();
        self.process = command(&self.settings)
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .expect("the daemon starts");
    }

    /// Returns whether the process has not ended.
    pub fn is_running(&mut self) -> bool {
        self.process.try_wait().expect("a child").is_none()
    }

    /// Returns whether the instance says that it is ready.
    pub fn is_ready(&self) -> bool {
        get(self.ready, "/ready").is_some_and(|reply| reply.status == 200)
    }

    /// Returns the id of the process.
    pub fn pid(&self) -> u32 {
        self.process.id()
    }

    /// Returns what the instance has logged.
    pub fn log(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }

    pub fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(self.process.id() as i32);
        kill(pid, signal).expect("the process exists");
    }

    /// Waits for the process, and returns its exit code.
    pub fn wait_for_exit(&mut self) -> Option<i32> {
        self.process.wait().expect("a child").code()
    }
}

fn command(settings: &PathBuf) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_limpetd"));
    command.arg("entry").arg("--settings").arg(settings).stdin(Stdio::null());
    command
}

fn spawn(settings: &PathBuf, log: &PathBuf) -> Child {
    let log = fs::File::options()
        .create(true)
        .append(true)
        .open(log)
        .expect("a log file");
    command(settings)
        .stdout(log.try_clone().expect("a second handle"))
        .stderr(log)
        .spawn()
        .expect("the daemon starts")
}

/// Returns the addresses of an instance, on an IP address of its own. No port
/// is tried before the instance binds it: a process that is started at that
/// moment would inherit the listener, and hold the port until its `exec`.
pub fn free_addresses() -> [SocketAddr; 4] {
    let host = LoopbackHost::next();
    PORTS.map(|port| host.at(port))
}

/// Waits up to [`WAIT_S`] until a condition holds; `what` names it in the
/// message of a time-out.
pub fn wait_for(what: &str, mut holds: impl FnMut() -> bool) {
    let until = Instant::now() + Duration::from_secs(WAIT_S);
    while !holds() {
        assert!(Instant::now() < until, "waited {WAIT_S} s for {what}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// Sends a GET request; `None` without a response.
pub fn get(address: SocketAddr, path: &str) -> Option<Reply> {
    call(address, "GET", path, KEY, None)
}

/// Returns whether an instance closes a connection that its client would keep
/// open; `None` without a response.
pub fn closes_connection(address: SocketAddr, path: &str) -> Option<bool> {
    let mut stream = send(address, "GET", path, KEY, "keep-alive", "")?;
    let mut bytes = [0; 4_096];
    let length = stream.read(&mut bytes).ok()?;
    let text = String::from_utf8_lossy(&bytes[..length]).into_owned();
    text.starts_with("HTTP/1.1 ")
        .then(|| text.to_lowercase().contains("connection: close"))
}

/// Opens a connection and sends a request.
fn send(
    address: SocketAddr,
    method: &str,
    path: &str,
    key: &str,
    connection: &str,
    body: &str,
) -> Option<TcpStream> {
    let limit = Duration::from_secs(10);
    let mut stream = TcpStream::connect_timeout(&address, limit).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Api-Key: {key}\r\n\
         Deadline-Ms: 3000\r\nConnection: {connection}\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(request.as_bytes()).ok()?;
    Some(stream)
}

/// Sends a request on a new connection; `None` without a response.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    key: &str,
    body: Option<&Value>,
) -> Option<Reply> {
    let body = body.map(Value::to_string).unwrap_or_default();
    call_text(address, method, path, key, &body)
}

/// Like [`call`], with any text as the body.
pub fn call_text(
    address: SocketAddr,
    method: &str,
    path: &str,
    key: &str,
    body: &str,
) -> Option<Reply> {
    let mut stream = send(address, method, path, key, "close", body)?;
    let mut text = String::new();
    stream.read_to_string(&mut text).ok()?;
    let (head, body) = text.split_once("\r\n\r\n")?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    Some(Reply { status, head: head.to_owned(), body: body.to_owned() })
}
