//! A small deployment: the platform's stand-ins, and entry instances as
//! processes of the project's program.

use std::{
    fs::{self, File},
    net::{Ipv4Addr, SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{call, Action, Server},
    json::{quote, Json},
    record::Record,
    runner::{Runner, RunnerOptions},
    store::Store,
};

pub const KEY: &str = "key-of-the-tenant";
pub const HOST: &str = "queues.example";
const SERVICE: &str = "signup-desk";

pub struct Options {
    pub instances: usize,
    pub runners: usize,
    pub runner_cpu: u64,
    pub stop_ms: u64,
    /// Whether the queue has advice.
    pub has_advice: bool,
    pub max_attempts: u32,
    pub upper_limit_cpu: u64,
}

impl Default for Options {
    fn default() -> Options {
        Options {
            instances: 3,
            runners: 8,
            runner_cpu: 16_000,
            stop_ms: 200,
            has_advice: false,
            max_attempts: 3,
            upper_limit_cpu: 0,
        }
    }
}

pub struct Entry {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    process: Mutex<Option<Child>>,
}

pub struct Cell {
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    pub runners: Vec<Arc<Runner>>,
    pub entries: Vec<Entry>,
    folder: PathBuf,
    /// The requests to the advice service so far.
    pub advice_calls: Arc<Mutex<Vec<String>>>,
    _servers: Vec<Arc<Server>>,
}

/// The processes to end, also if the case doesn't end by itself.
static PROCESSES: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends the processes that were started, by their ids.
pub fn end_processes() {
    for id in PROCESSES.lock().unwrap().drain(..) {
        signal(id, "KILL");
    }
}

pub fn signal(process: u32, name: &str) {
    let mut command = Command::new("kill");
    command.arg(format!("-{name}")).arg(process.to_string());
    command.stdout(Stdio::null()).stderr(Stdio::null());
    command.status().ok();
}

/// The ports of an instance, on a loopback address of its own.
const PORTS: [u16; 4] = [8_183, 8_184, 7_420, 7_435];

/// Returns the addresses of an instance, on a loopback address on which all of
/// its ports are free.
fn free_addresses(number: usize) -> [SocketAddr; 4] {
    for attempt in 0..100 {
        let seed =
            std::process::id() as usize * 131 + number * 17 + attempt * 7_919;
        let [a, b, c] = [seed / 250 / 250 % 100, seed / 250 % 250, seed % 250];
        let host = Ipv4Addr::new(127, 100 + a as u8, 1 + b as u8, 1 + c as u8);
        let addresses = PORTS.map(|port| SocketAddr::from((host, port)));
        if addresses.iter().all(|address| TcpListener::bind(address).is_ok()) {
            return addresses;
        }
    }
    panic!("no loopback address with free ports");
}

/// Returns the configuration.
pub fn config(version: u64, options: &Options) -> String {
    let advice = match options.has_advice {
        true => ",\"advice\":{\"decide_ms\":60,\"period_ms\":1.5,\"valid_ms\":2500}",
        false => "",
    };
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r-jobs\",\
         \"host\":\"{HOST}\",\"path_prefix\":\"/jobs/\",\"service\":\"{SERVICE}\",\
         \"priority\":1,\"max_attempts\":{},\"stretch\":2.0,\
         \"target_duration_ms\":500{advice}}}],\
         \"services\":[{{\"name\":\"{SERVICE}\",\"enforces_capacity\":false}}],\
         \"limits\":{{\"max_body_bytes\":262144}},\
         \"tenants\":[{{\"name\":\"tenant\",\"api_keys\":[\"{KEY}\"],\"weight\":20,\
         \"upper_limit\":{{\"cpu\":{},\"mem_mb\":0,\"gpu\":0}}}}]}}",
        options.max_attempts, options.upper_limit_cpu
    )
}

impl Cell {
    pub fn start(record: Arc<Record>, options: &Options) -> Cell {
        let store = Store::new();
        store.write("op", "config", Some(&config(1, options)));
        let advice_calls: Arc<Mutex<Vec<String>>> = Arc::default();
        let calls = Arc::clone(&advice_calls);
        let advice = Server::start(Arc::new(move |request| {
            let body = Json::parse(&request.body);
            let workers = body.get("workers").list();
            calls.lock().unwrap().push(body.get("step").text().to_owned());
            thread::sleep(Duration::from_millis(
                60 + 3 * workers.len() as u64 / 2,
            ));
            let ticket =
                |id: &Json| format!("[{},\"ticket\"]", quote(id.text()));
            let rows: Vec<String> = workers.iter().map(ticket).collect();
            Action::Answer(
                200,
                format!("{{\"allowed\":[{}]}}", rows.join(",")),
            )
        }));
        let runners = (0..options.runners)
            .map(|number| {
                let options = RunnerOptions {
                    id: format!("runner-{number}"),
                    service: SERVICE.to_owned(),
                    zone: "attica".to_owned(),
                    rack: format!("r0-{}", number / 4),
                    cpu: options.runner_cpu,
                    mem_mb: 65_536,
                    stop_ms: options.stop_ms,
                };
                Runner::start(options, &store, &record)
            })
            .collect();
        let folder = std::env::temp_dir()
            .join(format!("review-3-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let mut servers = vec![Arc::clone(&advice)];
        let mut entries = Vec::new();
        for number in 0..options.instances {
            let server = store.listen(number);
            entries.push(Entry::new(
                number,
                &folder,
                server.address,
                advice.address,
            ));
            servers.push(server);
        }
        let cell = Cell {
            record,
            store,
            runners,
            entries,
            folder,
            advice_calls,
            _servers: servers,
        };
        for entry in &cell.entries {
            entry.spawn();
        }
        cell.wait_until_ready();
        cell
    }

    fn wait_until_ready(&self) {
        for entry in &self.entries {
            let until = Instant::now() + Duration::from_secs(15);
            while call(entry.ready, "GET", "/ready", &[], "", 500).map(|a| a.0)
                != Some(200)
            {
                if Instant::now() > until {
                    eprintln!("{} isn't ready", entry.name);
                    self.end(2);
                }
                thread::sleep(Duration::from_millis(20));
            }
        }
        // An owner, and polls of all runners.
        thread::sleep(Duration::from_millis(2_500));
        self.record.line("all instances are ready");
    }

    /// Sends a client's request, and records it and its answer.
    pub fn request(
        &self,
        entry: usize,
        method: &str,
        id: &str,
        body: &str,
        timeout_ms: u64,
    ) -> Option<(u16, String)> {
        let entry = &self.entries[entry];
        let path = format!("/jobs/{id}");
        self.record
            .line(&format!("client sends {method} {path} to {}", entry.name));
        let headers = [
            ("Host", HOST),
            ("X-Api-Key", KEY),
            ("Deadline-Ms", "3000"),
            ("Content-Type", "application/json"),
        ];
        let answer =
            call(entry.front, method, &path, &headers, body, timeout_ms);
        let text = match &answer {
            Some((status, body)) => format!("{status} {body}"),
            None => format!("nothing for {timeout_ms} ms; the client leaves"),
        };
        self.record.line(&format!(
            "client gets from {} for {method} {path}: {text}",
            entry.name
        ));
        answer
    }

    /// Returns the state of a job as an instance shows it.
    pub fn state(&self, entry: usize, id: &str) -> String {
        match self.request(entry, "GET", id, "", 3_000) {
            Some((200, body)) => {
                Json::parse(&body).get("state").text().to_owned()
            }
            Some((status, _)) => status.to_string(),
            None => String::new(),
        }
    }

    /// Returns the number of the entry instance that owns the cell, by what
    /// the store saw.
    pub fn owner(&self) -> Option<usize> {
        let terms = self.entries.iter().map(|entry| {
            let log = fs::read_to_string(&entry.log).unwrap_or_default();
            log.lines()
                .filter(|line| line.contains("owner: took the cell over"))
                .map(|line| Json::parse(line).get("term").number() as u64)
                .max()
        });
        let numbered = terms.enumerate().filter(|(_, term)| term.is_some());
        numbered.max_by_key(|(_, term)| *term).map(|(number, _)| number)
    }

    /// Ends all processes, and the case with this exit code.
    pub fn end(&self, code: i32) -> ! {
        end_processes();
        thread::sleep(Duration::from_millis(50));
        if std::env::var_os("KEEP_LOGS").is_none() {
            fs::remove_dir_all(&self.folder).ok();
        } else {
            eprintln!("logs are kept in {}", self.folder.display());
        }
        std::process::exit(code)
    }
}

impl Entry {
    fn new(
        number: usize,
        folder: &Path,
        store: SocketAddr,
        advice: SocketAddr,
    ) -> Entry {
        let name = format!("front-attica-{}", number + 1);
        let [front, ready, link, metrics] = free_addresses(number);
        let settings = folder.join(format!("{name}.toml"));
        let text = format!(
            "[instance]\nname = \"{name}\"\ndata_centre = \"attica\"\n\
             front_address = \"{front}\"\nready_address = \"{ready}\"\n\
             link_address = \"{link}\"\nmetrics_address = \"{metrics}\"\n\
             shutdown_s = 6\ncpu_share = 0.25\ncores = 1\nlink_mbps = 1000.0\n\n\
             [store]\naddress = \"{store}\"\n\n[advice]\naddress = \"{advice}\"\n\n\
             [bounds]\nkey_freshness_ms = 5000\nhold_ms = 6000\nstatus_kept_s = 120\n"
        );
        fs::write(&settings, text).expect("a settings file");
        let log = folder.join(format!("{name}.log"));
        Entry { name, front, ready, settings, log, process: Mutex::new(None) }
    }

    /// Starts the process with the command of the deploy file.
    pub fn spawn(&self) {
        let log = File::options()
            .create(true)
            .append(true)
            .open(&self.log)
            .expect("a log");
        let mut command = Command::new("target/release/limpetd");
        command
            .arg("entry")
            .env_clear()
            .env("LIMPETSPUR_CONFIG", &self.settings);
        for name in ["PATH", "HOME", "LANG"] {
            if let Some(value) = std::env::var_os(name) {
                command.env(name, value);
            }
        }
        command
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log"))
            .stderr(log);
        let child = match command.spawn() {
            Ok(child) => child,
            Err(err) => {
                eprintln!("target/release/limpetd doesn't start: {err}");
                end_processes();
                std::process::exit(2);
            }
        };
        PROCESSES.lock().unwrap().push(child.id());
        *self.process.lock().unwrap() = Some(child);
    }

    pub fn pid(&self) -> u32 {
        self.process.lock().unwrap().as_ref().map_or(0, Child::id)
    }

    /// Ends the process with SIGKILL.
    pub fn kill(&self) {
        if let Some(mut child) = self.process.lock().unwrap().take() {
            let id = child.id();
            child.kill().ok();
            child.wait().ok();
            PROCESSES.lock().unwrap().retain(|known| *known != id);
        }
    }

    /// Returns the most memory that the process has used.
    pub fn peak_memory_kb(&self) -> u64 {
        let path = format!("/proc/{}/status", self.pid());
        let text = fs::read_to_string(path).unwrap_or_default();
        let peak = text.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let number = peak.and_then(|peak| peak.split_whitespace().next());
        number.and_then(|number| number.parse().ok()).unwrap_or(0)
    }
}
