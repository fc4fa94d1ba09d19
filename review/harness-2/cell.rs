//! Entry instances as separate processes, started with the command of the
//! deploy file and the project's template of settings.

use std::{
    fs::{self, File},
    net::{Ipv4Addr, SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::Mutex,
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{Server, call},
    store::Store,
    world::{
        DECIDE_MS, PERIOD_MS, Runners, SERVICE, SMALL_SERVICE, VALID_MS,
        advise,
    },
};

pub const KEY: &str = "key-of-the-team";
pub const HOST: &str = "queues.example";
/// How long a client waits for an answer.
const DEADLINE_MS: u64 = 3_000;
/// The longest time that a case takes.
const LIMIT: Duration = Duration::from_secs(115);
/// The processes that were started.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());
/// How long after its end the platform starts a process again.
const RESTART: Duration = Duration::from_millis(500);

pub struct Instance {
    pub name: String,
    pub front: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    process: Child,
    ended_at: Option<Instant>,
    /// How often the process ended by itself.
    pub ends: u32,
}

/// The policy of all queues.
#[derive(Clone, Copy)]
pub struct Queue {
    pub needs_advice: bool,
    pub stretch: f64,
    pub target_ms: u64,
}

pub struct Cell {
    pub runners: Runners,
    pub instances: Vec<Instance>,
    folder: PathBuf,
    _servers: Vec<Server>,
    /// The most virtual memory of an instance, in KiB.
    memory_kb: u64,
}

impl Cell {
    /// Starts a platform with runners, of which the last ones are those of a
    /// small service, then entry instances. The team has no limit.
    pub fn start(
        record: &Path,
        runner_count: usize,
        small_count: usize,
        instance_count: usize,
        memory_kb: u64,
        queue: Queue,
    ) -> Cell {
        limit_time();
        let record = File::create(record).expect("the record");
        let store = Store::new();
        store.put("op", "config", Some(&config(queue)));
        let served = store.clone();
        let store_server =
            Server::start(move |r| served.answer(r)).expect("a free port");
        let advice_server = Server::start(advise).expect("a free port");
        let runners = Runners::start(
            &store,
            runner_count,
            small_count,
            queue.needs_advice,
            record,
        );
        let folder = std::env::temp_dir()
            .join(format!("limpet-review-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let template = fs::read_to_string("deploy/settings.toml.in");
        let template = template.expect("the template of the settings");
        let mut cell = Cell {
            instances: Vec::new(),
            runners,
            folder,
            memory_kb,
            _servers: Vec::new(),
        };
        for number in 0..instance_count {
            let ip = address_of(number);
            let ports = free_ports(ip);
            let text = fill_in(
                &template,
                number,
                ip,
                ports,
                store_server.address,
                advice_server.address,
            );
            let name = format!("front-{number}");
            let settings = cell.folder.join(format!("{name}.toml"));
            fs::write(&settings, text).expect("the settings");
            let log = cell.folder.join(format!("{name}.log"));
            let address = |port| SocketAddr::from((ip, port));
            let process = spawn(&settings, &log, memory_kb);
            cell.instances.push(Instance {
                name,
                front: address(ports[0]),
                ready: address(ports[1]),
                settings,
                log,
                process,
                ended_at: None,
                ends: 0,
            });
        }
        cell._servers = vec![store_server, advice_server];
        cell
    }

    /// Waits until all instances are ready. Returns whether they are.
    pub fn wait_until_ready(&mut self) -> bool {
        let until = Instant::now() + Duration::from_secs(20);
        loop {
            let is_ready = |instance: &Instance| {
                let answer =
                    call(instance.ready, "GET", "/ready", &[], "", 500);
                answer.is_some_and(|(status, _)| status == 200)
            };
            if self.instances.iter().all(is_ready) {
                return true;
            }
            if Instant::now() > until {
                return false;
            }
            thread::sleep(Duration::from_millis(50));
        }
    }

    /// Starts processes that have ended again, as the platform does, and
    /// counts their ends.
    pub fn supervise(&mut self) {
        for instance in &mut self.instances {
            if let Ok(Some(status)) = instance.process.try_wait() {
                match instance.ended_at {
                    None => {
                        instance.ended_at = Some(Instant::now());
                        instance.ends += 1;
                        let text = format!(
                            "instance {} ended by itself: {status}; end {}; \
                             last words: {}",
                            instance.name,
                            instance.ends,
                            last_words(&instance.log)
                        );
                        self.runners.note(&text);
                    }
                    Some(at) if at.elapsed() >= RESTART => {
                        instance.process = spawn(
                            &instance.settings,
                            &instance.log,
                            self.memory_kb,
                        );
                        instance.ended_at = None;
                        let text =
                            format!("instance {} starts", instance.name);
                        self.runners.note(&text);
                    }
                    Some(_) => {}
                }
            }
        }
    }

    /// Supervises the processes for some time.
    pub fn run_for(&mut self, ms: u64) {
        let until = Instant::now() + Duration::from_millis(ms);
        while Instant::now() < until {
            self.supervise();
            thread::sleep(Duration::from_millis(20));
        }
    }

    /// Makes a client's call, with up to four retries at other instances.
    /// Returns the last answer.
    pub fn client(
        &mut self,
        method: &str,
        path: &str,
        body: &str,
    ) -> Option<(u16, String)> {
        let mut answer = None;
        for attempt in 0..5 {
            let count = self.instances.len();
            let instance = &self.instances[attempt % count];
            let deadline = DEADLINE_MS.to_string();
            let headers = [
                ("Host", HOST),
                ("X-Api-Key", KEY),
                ("Deadline-Ms", deadline.as_str()),
            ];
            let front = instance.front;
            let name = instance.name.clone();
            answer = call(front, method, path, &headers, body, DEADLINE_MS);
            self.runners.note(&format!(
                "client: {method} {path} at {name}: {answer:?}"
            ));
            match &answer {
                Some((502..=504, _)) | None => self.run_for(300),
                Some(_) => return answer,
            }
        }
        answer
    }

    /// Hands a job in. Returns whether it was accepted.
    pub fn submit(&mut self, queue: &str, id: &str, body: &str) -> bool {
        let answer = self.client("POST", &format!("/{queue}/{id}"), body);
        answer.is_some_and(|(status, _)| status == 200)
    }

    /// Returns the state of a job as a client sees it.
    pub fn state(&mut self, queue: &str, id: &str) -> String {
        let answer = self.client("GET", &format!("/{queue}/{id}"), "");
        answer.map_or(String::new(), |(status, body)| {
            let state = crate::json::Json::parse(&body);
            let state = state.map(|s| s.get("state").as_str().to_owned());
            state.unwrap_or_else(|| format!("status {status}"))
        })
    }
}

impl Drop for Cell {
    fn drop(&mut self) {
        for instance in &mut self.instances {
            instance.process.kill().ok();
            instance.process.wait().ok();
            if std::env::var_os("KEEP_LOGS").is_some() {
                println!("log: {}", instance.log.display());
            }
        }
        if std::env::var_os("KEEP_LOGS").is_none() {
            fs::remove_dir_all(&self.folder).ok();
        }
    }
}

/// Returns the last line of a log that is not JSON: what a process that
/// aborts says.
fn last_words(log: &Path) -> String {
    let text = fs::read_to_string(log).unwrap_or_default();
    let last = text
        .lines()
        .rev()
        .find(|line| !line.starts_with('{') && !line.starts_with("note:"));
    last.unwrap_or_default().to_owned()
}

/// Ends the processes that were started, and this one, if a case takes too
/// long.
fn limit_time() {
    thread::spawn(|| {
        thread::sleep(LIMIT);
        for pid in STARTED.lock().unwrap().iter() {
            let pid = pid.to_string();
            Command::new("kill").args(["-9", &pid]).status().ok();
        }
        std::process::exit(2);
    });
}

/// Runs the command of the deploy file, with a limit on the memory like that
/// of a machine.
fn spawn(settings: &Path, log: &Path, memory_kb: u64) -> Child {
    let deploy = fs::read_to_string("deploy/system.toml").unwrap_or_default();
    let run = deploy
        .lines()
        .find_map(|line| line.strip_prefix("run = \""))
        .and_then(|rest| rest.strip_suffix('"'))
        .expect("the command of the deploy file");
    let log = File::options().create(true).append(true).open(log);
    let log = log.expect("a log");
    let copy = log.try_clone().expect("a log");
    let process = Command::new("sh")
        .args(["-c", &format!("ulimit -v {memory_kb}; exec {run}")])
        .env_clear()
        .env("PATH", std::env::var_os("PATH").unwrap_or_default())
        .env("LIMPETSPUR_CONFIG", settings)
        .stdin(Stdio::null())
        .stdout(log)
        .stderr(copy)
        .spawn()
        .expect("an instance");
    STARTED.lock().unwrap().push(process.id());
    process
}

fn fill_in(
    template: &str,
    number: usize,
    ip: Ipv4Addr,
    ports: [u16; 4],
    store: SocketAddr,
    advice: SocketAddr,
) -> String {
    let quoted = |text: String| format!("\"{text}\"");
    let values = [
        ("node_name|json", quoted(format!("front-{number}"))),
        ("zone|json", quoted("z1".to_owned())),
        ("listen.front|json", quoted(format!("{ip}:{}", ports[0]))),
        ("listen.ready|json", quoted(format!("{ip}:{}", ports[1]))),
        ("ip", ip.to_string()),
        ("internal_ports.0", ports[2].to_string()),
        ("internal_ports.1", ports[3].to_string()),
        ("bounds.grace_s", "6".to_owned()),
        ("limits.cpu_share", "0.25".to_owned()),
        ("limits.cores", "1".to_owned()),
        ("limits.link_mbps", "1000.0".to_owned()),
        ("platform.address|json", quoted(store.to_string())),
        ("bounds.revoke_ms", "5000".to_owned()),
        ("bounds.max_hold_ms", "6000".to_owned()),
        ("bounds.status_s", "120".to_owned()),
    ];
    let mut text = template.to_owned();
    for (name, value) in values {
        text = text.replace(&format!("{{{{{name}}}}}"), &value);
    }
    text = text.replace("{{#advice}}", "").replace("{{/advice}}", "");
    text = text.replace("{{.|json}}", &quoted(advice.to_string()));
    // Sections that are left have no value.
    while let Some(begin) = text.find("{{#") {
        let end = text[begin..].find("{{/").map(|at| begin + at);
        let end = end.and_then(|at| {
            text[at..].find("}}").map(|length| at + length + 2)
        });
        let Some(end) = end else { break };
        text.replace_range(begin..end, "");
    }
    text
}

/// Returns the address of an instance. Each process of this program has
/// loopback addresses of its own, so that two that run at the same time can't
/// take ports of each other.
fn address_of(number: usize) -> Ipv4Addr {
    let id = std::process::id();
    let octet = |shift: u32, count: u32| (id >> shift & (count - 1)) as u8;
    let last = 1 + octet(0, 64) * 3 + number as u8;
    Ipv4Addr::new(127, 64 + octet(14, 64), octet(6, 256), last)
}

fn free_ports(ip: Ipv4Addr) -> [u16; 4] {
    let listeners: Vec<TcpListener> = (0..4)
        .map(|_| TcpListener::bind((ip, 0)).expect("a free port"))
        .collect();
    let port = |n: usize| listeners[n].local_addr().expect("a port").port();
    [port(0), port(1), port(2), port(3)]
}

fn config(queue: Queue) -> String {
    let advice = match queue.needs_advice {
        true => format!(
            "\"advice\":{{\"decide_ms\":{DECIDE_MS},\
             \"period_ms\":{PERIOD_MS},\"valid_ms\":{VALID_MS}}},"
        ),
        false => String::new(),
    };
    let route = |prefix: &str, service: &str, priority: u32| {
        format!(
            "{{\"name\":\"r-{prefix}\",\"host\":\"{HOST}\",\
             \"path_prefix\":\"/{prefix}/\",\"service\":\"{service}\",\
             \"priority\":{priority},\"max_attempts\":3,{advice}\
             \"stretch\":{:?},\"target_duration_ms\":{}}}",
            queue.stretch, queue.target_ms
        )
    };
    let routes = [
        route("jobs", SERVICE, 0),
        route("lasting", SERVICE, 1),
        route("batch", SMALL_SERVICE, 2),
    ];
    let service = |name: &str| {
        format!("{{\"name\":\"{name}\",\"enforces_capacity\":false}}")
    };
    let services = [service(SERVICE), service(SMALL_SERVICE)];
    format!(
        "{{\"version\":1,\"routes\":[{}],\"services\":[{}],\
         \"limits\":{{\"max_body_bytes\":262144}},\
         \"tenants\":[{{\"name\":\"team\",\"api_keys\":[\"{KEY}\"],\
         \"weight\":100,\"upper_limit\":{{\"cpu\":0,\"mem_mb\":0,\
         \"gpu\":0}}}}]}}",
        routes.join(","),
        services.join(",")
    )
}
