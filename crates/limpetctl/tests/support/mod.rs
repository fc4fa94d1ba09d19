//! Runs the real `limpetctl` against real daemons.

#![allow(dead_code, reason = "each test file uses a part of it")]

pub mod page;

use std::{
    fs,
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Command, Output},
    time::{Duration, Instant},
};

use limpet_standin::cell::{Daemon, DaemonSettings, LoopbackHost};
use serde_json::Value;

/// The longest that a condition is waited for, on a busy machine too.
const WAIT_LIMIT: Duration = Duration::from_secs(60);
/// How often a condition is looked at.
const POLL: Duration = Duration::from_millis(25);
/// The workers of a daemon with the platform in memory.
const EMBEDDED_WORKERS: i64 = 4;
/// The key of the first operator of a test's cell.
pub const OPERATOR_KEY: &str = "first-operator:test-secret";

/// Returns the daemon's program, which stands beside that of limpetctl.
pub fn limpetd() -> PathBuf {
    let limpetctl = Path::new(env!("CARGO_BIN_EXE_limpetctl"));
    let limpetd = limpetctl.with_file_name("limpetd");
    assert!(
        limpetd.exists(),
        "run `cargo build -p limpetd`, or the tests of the whole workspace"
    );
    limpetd
}

/// Starts a daemon with the platform in memory.
pub async fn start_embedded(instance: &str) -> Daemon {
    let settings =
        DaemonSettings::new(instance, "athens", LoopbackHost::next());
    let daemon = Daemon::start(&limpetd(), &settings).await.unwrap();
    let address = daemon.host().http_address();
    let ctl = Ctl::new(address);
    wait_for("the owner has heard every worker", || {
        let (rows, missing) = ctl.rows("show workers count");
        let all = Some(EMBEDDED_WORKERS);
        missing.is_empty()
            && rows.first().and_then(|row| row["count"].as_i64()) == all
    });
    daemon
}

/// What one run of limpetctl did.
#[derive(Debug)]
pub struct Ran {
    /// The exit status.
    pub code: i32,
    /// The standard output.
    pub out: String,
    /// The standard error.
    pub err: String,
}

impl Ran {
    /// Says whether the command was done.
    pub fn done(&self) -> bool {
        self.code == 0
    }
}

impl From<Output> for Ran {
    fn from(output: Output) -> Ran {
        let text = |bytes| String::from_utf8(bytes).expect("it is text");
        Ran {
            code: output.status.code().expect("it exits"),
            out: text(output.stdout),
            err: text(output.stderr),
        }
    }
}

/// Runs limpetctl with one key against one instance.
pub struct Ctl {
    address: SocketAddr,
    key_file: PathBuf,
}

impl Ctl {
    /// Returns a caller with the first operator's key.
    pub fn new(address: SocketAddr) -> Ctl {
        Ctl::with_key(address, OPERATOR_KEY)
    }

    /// Returns a caller with a key of its own.
    pub fn with_key(address: SocketAddr, key: &str) -> Ctl {
        let id = key.split(':').next().unwrap_or("none");
        let name = format!("limpetctl-{}-{id}.key", address.ip());
        let key_file = std::env::temp_dir().join(name);
        fs::write(&key_file, key).expect("the key is written");
        Ctl { address, key_file }
    }

    /// Runs one command.
    pub fn run(&self, command: &str) -> Ran {
        self.run_with(&[command])
    }

    /// Runs one command and returns its rows and what is missing. Nothing
    /// comes back from a refused one.
    pub fn rows(&self, command: &str) -> (Vec<Value>, String) {
        let ran = self.run_with(&["--output", "json", command]);
        let lines = ran.out.lines().map(|line| {
            serde_json::from_str::<Value>(line).expect("a JSON line")
        });
        let (missing, rows): (Vec<_>, Vec<_>) =
            lines.partition(|line| line.get("missing").is_some());
        let missing = missing.iter().map(|line| line["missing"].to_string());
        (rows, missing.collect())
    }

    /// Runs limpetctl with these words after the address and key.
    pub fn run_with(&self, words: &[&str]) -> Ran {
        let output = Command::new(env!("CARGO_BIN_EXE_limpetctl"))
            .args(["--address", &self.address.to_string(), "--key-file"])
            .arg(&self.key_file)
            .args(words)
            .env("COLUMNS", "100")
            .output()
            .expect("limpetctl runs");
        Ran::from(output)
    }
}

/// Waits until a condition holds.
pub fn wait_for(what: &str, condition: impl Fn() -> bool) {
    let start = Instant::now();
    while start.elapsed() < WAIT_LIMIT {
        if condition() {
            return;
        }
        std::thread::sleep(POLL);
    }
    panic!("not within {WAIT_LIMIT:?}: {what}");
}

/// Writes a job file and returns its path.
pub fn write_job(name: &str, tasks: u32, run_time_ms: u64) -> PathBuf {
    let job = format!(
        "name = \"{name}\"\nteam = \"rosters\"\nqueue = \"batch\"\n\
         [[tasks]]\nname = \"part\"\ncount = {tasks}\ncores = 1\n\
         memory_mb = 64\nrun_time_ms = {run_time_ms}\nidempotent = true\n"
    );
    let file = format!("limpetctl-{}-{name}.toml", std::process::id());
    let path = std::env::temp_dir().join(file);
    fs::write(&path, job).expect("the job is written");
    path
}
