//! A small deployment: the platform, its runners, and the project's entry
//! instances as processes with the command of `deploy/system.toml`. As the
//! platform does, it starts an instance again that has ended, and ends one
//! that exceeds its memory.

use std::{
    env, fs,
    net::{SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{
    http::{Answer, call, serve},
    json::{Json, object},
    record::Record,
    runner::{Kind, Runner},
    store::Store,
};

/// The memory of a process, in megabytes.
pub const MEMORY_MB: u64 = 260;
/// How long a client waits for an answer.
const ANSWER_MS: u64 = 1_500;
/// The pause before the platform starts an instance again.
const RESTART_MS: u64 = 500;
/// The ports of the instances.
const FIRST_PORT: u32 = 12_000;
const PORTS: u32 = 20_000;
pub const KEY: &str = "key-of-the-team";
pub const HOST: &str = "queues.example";
pub const SERVICE: &str = "svc";

/// The processes that run now.
static PROCESSES: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends all processes that this one has started.
pub fn end_all() {
    for pid in PROCESSES.lock().unwrap().iter() {
        let pid = pid.to_string();
        Command::new("kill").args(["-KILL", &pid]).status().ok();
    }
}

pub struct Entry {
    name: String,
    settings: PathBuf,
    log: PathBuf,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    process: Mutex<Option<Child>>,
    /// The times at which it was ended since it exceeded its memory.
    pub memory_ends: Mutex<Vec<u64>>,
    /// The times at which it ended by itself.
    pub own_ends: Mutex<Vec<u64>>,
}

pub struct Cell {
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    pub runners: Vec<Arc<Runner>>,
    pub entries: Vec<Arc<Entry>>,
    folder: PathBuf,
    ending: Arc<AtomicBool>,
}

/// Returns a configuration with one queue for one team, whose cores may be
/// limited.
pub fn config(priority: u64, upper_limit_cpu: u64) -> Json {
    let route = object(vec![
        ("name", "r-jobs".into()),
        ("host", HOST.into()),
        ("path_prefix", "/jobs/".into()),
        ("service", SERVICE.into()),
        ("priority", priority.into()),
        ("max_attempts", 3.into()),
        ("stretch", Json::Number(2.0)),
        ("target_duration_ms", 1_000.into()),
    ]);
    let service = object(vec![
        ("name", SERVICE.into()),
        ("enforces_capacity", Json::Bool(false)),
    ]);
    let limit = object(vec![
        ("cpu", upper_limit_cpu.into()),
        ("mem_mb", 0.into()),
        ("gpu", 0.into()),
    ]);
    let tenant = object(vec![
        ("name", "team".into()),
        ("api_keys", Json::List(vec![KEY.into()])),
        ("weight", 100.into()),
        ("upper_limit", limit),
    ]);
    object(vec![
        ("version", 1.into()),
        ("routes", vec![route].into()),
        ("services", vec![service].into()),
        ("limits", object(vec![("max_body_bytes", 262_144.into())])),
        ("tenants", vec![tenant].into()),
    ])
}

impl Cell {
    /// Starts a platform with runners of 16 cores and `entries` entry
    /// instances, and waits until these are ready.
    pub fn start(
        record: &Arc<Record>,
        runners: &[Kind],
        entries: usize,
        config: &Json,
    ) -> Cell {
        let (store, store_address) = Store::start();
        store.put("op", "config", config);
        let advice_address = serve(|_| Answer::empty(400));
        let runners = runners
            .iter()
            .enumerate()
            .map(|(number, kind)| {
                Runner::start(number, *kind, SERVICE, 16_000, &store, record)
            })
            .collect();
        let folder =
            env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let ending = Arc::new(AtomicBool::new(false));
        let entries = (0..entries)
            .map(|number| {
                Arc::new(Entry::new(
                    number,
                    &folder,
                    store_address,
                    advice_address,
                ))
            })
            .collect();
        let cell = Cell {
            record: Arc::clone(record),
            store,
            runners,
            entries,
            folder,
            ending,
        };
        for entry in &cell.entries {
            *entry.process.lock().unwrap() = Some(entry.spawn());
            let (entry, record, ending) = (
                Arc::clone(entry),
                Arc::clone(record),
                Arc::clone(&cell.ending),
            );
            thread::spawn(move || entry.supervise(&record, &ending));
        }
        let is_ready = |entry: &Arc<Entry>| {
            call(entry.ready, "GET", "/ready", &[("Host", HOST)], "", 1_000)
                .is_some_and(|(status, _)| status == 200)
        };
        for _ in 0..200 {
            if cell.entries.iter().all(is_ready) {
                // The first owner takes the cell over and loads it.
                thread::sleep(Duration::from_millis(2_000));
                return cell;
            }
            thread::sleep(Duration::from_millis(50));
        }
        cell.record.say("the instances did not become ready");
        drop(cell);
        std::process::exit(2);
    }

    /// Sends a request of the team to an instance.
    pub fn request(
        &self,
        entry: usize,
        method: &str,
        path: &str,
        body: &str,
    ) -> Option<(u16, String)> {
        let headers =
            [("Host", HOST), ("X-Api-Key", KEY), ("Deadline-Ms", "1500")];
        let front = self.entries[entry].front;
        call(front, method, path, &headers, body, ANSWER_MS)
    }

    /// Submits a job: repeats the request at the next instances until it has
    /// an answer of 200, five times at most. Returns whether it was accepted.
    pub fn submit(&self, id: &str, body: &Json) -> bool {
        for attempt in 0..5 {
            let entry = attempt % self.entries.len();
            let path = format!("/jobs/{id}");
            let answer = self.request(entry, "POST", &path, &body.to_string());
            let status = answer.map_or(0, |(status, _)| status);
            self.record.line(&format!(
                "POST {path} to entry-{entry}: answered {status}"
            ));
            if status == 200 {
                return true;
            }
            thread::sleep(Duration::from_millis(300));
        }
        false
    }

    /// Returns the state of a job, as the first instance that answers shows
    /// it, or `410`.
    pub fn state(&self, id: &str) -> Option<String> {
        for entry in 0..self.entries.len() {
            let path = format!("/jobs/{id}");
            match self.request(entry, "GET", &path, "") {
                Some((200, body)) => {
                    let body = Json::parse(&body)?;
                    return Some(body.get("state").text().to_owned());
                }
                Some((410, _)) => return Some("410".to_owned()),
                _ => {}
            }
        }
        None
    }

    /// Returns the number of the instance that owns the cell, by the log.
    pub fn owner(&self) -> Option<usize> {
        let term = |entry: &Arc<Entry>| {
            let log = fs::read_to_string(&entry.log).unwrap_or_default();
            let line =
                log.lines().rfind(|l| l.contains("owner: took the cell"))?;
            Json::parse(line)?.get("term").number()
        };
        let terms = self.entries.iter().map(term);
        let owner = terms.enumerate().filter(|(_, term)| term.is_some());
        owner.max_by_key(|(_, term)| *term).map(|(number, _)| number)
    }

    /// Ends an instance with SIGKILL; it is started again.
    pub fn kill(&self, entry: usize) {
        self.record.line(&format!("SIGKILL to entry-{entry}"));
        if let Some(process) =
            self.entries[entry].process.lock().unwrap().as_mut()
        {
            process.kill().ok();
        }
    }

    /// Writes what the runners have seen to the record.
    pub fn write_runs(&self) {
        use crate::runner::Event;
        let mut lines: Vec<(u64, String)> = Vec::new();
        for runner in &self.runners {
            let id = &runner.id;
            for event in runner.events() {
                lines.push(match event {
                    Event::Began { at_ms, task, run, .. } => {
                        (at_ms, format!("{id}: {task} run {run} began"))
                    }
                    Event::Ended { at_ms, task, run, how, number } => (
                        at_ms,
                        format!(
                            "{id}: {task} run {run} ended {how}, end {number}"
                        ),
                    ),
                    Event::Noted { at_ms, number } => {
                        (at_ms, format!("{id}: last_seen reached {number}"))
                    }
                    Event::Lapsed { at_ms } => {
                        (at_ms, format!("{id}: the lease lapsed"))
                    }
                });
            }
        }
        lines.sort_by_key(|(at_ms, _)| *at_ms);
        for (at_ms, line) in lines {
            self.record.line_at(at_ms, &line);
        }
    }
}

impl Drop for Cell {
    fn drop(&mut self) {
        self.ending.store(true, Ordering::SeqCst);
        for entry in &self.entries {
            if let Some(mut process) = entry.process.lock().unwrap().take() {
                process.kill().ok();
                process.wait().ok();
            }
        }
        match env::var_os("KEEP") {
            Some(_) => println!("logs: {}", self.folder.display()),
            None => drop(fs::remove_dir_all(&self.folder)),
        }
    }
}

impl Entry {
    fn new(
        number: usize,
        folder: &Path,
        store: SocketAddr,
        advice: SocketAddr,
    ) -> Entry {
        let [front, ready, link, metrics] = free_addresses();
        let name = format!("entry-{number}");
        // What deploy/settings.toml.in amounts to.
        let text = format!(
            "[instance]\nname = \"{name}\"\ndata_centre = \"z1\"\n\
             front_address = \"{front}\"\nready_address = \"{ready}\"\n\
             link_address = \"{link}\"\nmetrics_address = \"{metrics}\"\n\
             shutdown_s = 6\ncpu_share = 0.25\ncores = 1\n\
             link_mbps = 1000.0\n\n[store]\naddress = \"{store}\"\n\n\
             [advice]\naddress = \"{advice}\"\n\n[bounds]\n\
             key_freshness_ms = 5000\nhold_ms = 6000\nstatus_kept_s = 120\n",
        );
        let settings = folder.join(format!("{name}.toml"));
        fs::write(&settings, text).expect("a settings file");
        let log = folder.join(format!("{name}.log"));
        Entry {
            name,
            settings,
            log,
            front,
            ready,
            process: Mutex::new(None),
            memory_ends: Mutex::default(),
            own_ends: Mutex::default(),
        }
    }

    fn spawn(&self) -> Child {
        let log =
            fs::File::options().create(true).append(true).open(&self.log);
        let log = log.expect("a log file");
        let process = Command::new("target/release/limpetd")
            .arg("entry")
            .env("LIMPETSPUR_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a second handle"))
            .stderr(log)
            .spawn()
            .expect("target/release/limpetd starts");
        PROCESSES.lock().unwrap().push(process.id());
        process
    }

    /// Watches the process: ends it if it exceeds its memory, and starts it
    /// again once it has ended.
    fn supervise(&self, record: &Record, ending: &AtomicBool) {
        while !ending.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(20));
            let mut process = self.process.lock().unwrap();
            let Some(child) = process.as_mut() else { continue };
            if let Ok(Some(status)) = child.try_wait() {
                let pid = child.id();
                PROCESSES.lock().unwrap().retain(|other| *other != pid);
                *process = None;
                drop(process);
                record.line(&format!("{} ended: {status}", self.name));
                if status.code().is_some() {
                    self.own_ends.lock().unwrap().push(record.now_ms());
                }
                thread::sleep(Duration::from_millis(RESTART_MS));
                let mut process = self.process.lock().unwrap();
                if !ending.load(Ordering::SeqCst) {
                    *process = Some(self.spawn());
                }
                continue;
            }
            let memory_mb = resident_mb(child.id());
            if memory_mb > MEMORY_MB {
                record.line(&format!(
                    "{} uses {memory_mb} MB of {MEMORY_MB}: ended",
                    self.name
                ));
                child.kill().ok();
                self.memory_ends.lock().unwrap().push(record.now_ms());
            }
        }
    }
}

/// Returns the resident memory of a process, in megabytes.
fn resident_mb(pid: u32) -> u64 {
    let text = fs::read_to_string(format!("/proc/{pid}/status"));
    let text = text.unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kb = line.and_then(|line| line.split_whitespace().next());
    kb.and_then(|kb| kb.parse::<u64>().ok()).unwrap_or(0) / 1_024
}

/// Returns addresses on which nothing listens. Their ports are below those
/// that outgoing connections take, which could hold one while the instance
/// is being started again.
fn free_addresses() -> [SocketAddr; 4] {
    static TRIED: AtomicU32 = AtomicU32::new(0);
    [(); 4].map(|()| {
        loop {
            let number = TRIED.fetch_add(1, Ordering::SeqCst);
            let first = std::process::id().wrapping_mul(200);
            let port = FIRST_PORT + first.wrapping_add(number) % PORTS;
            let address = SocketAddr::from(([127, 0, 0, 1], port as u16));
            if TcpListener::bind(address).is_ok() {
                return address;
            }
        }
    })
}
