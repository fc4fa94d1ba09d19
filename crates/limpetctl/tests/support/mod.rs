//! Starts real daemons and runs the built `limpetctl` against them.

#![allow(dead_code, reason = "no test file uses all of this module")]

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

/// The longest wait for a condition; ample for a busy machine.
const WAIT_LIMIT: Duration = Duration::from_secs(60);
/// The time between two checks of a condition.
const POLL: Duration = Duration::from_millis(25);
/// The number of workers of a daemon with the embedded platform.
const EMBEDDED_WORKERS: i64 = 4;
/// The operator key that the settings of each test's cell contain.
pub const OPERATOR_KEY: &str = "first-operator:test-secret";

/// Returns the path of the `limpetd` binary, which cargo builds into the
/// directory of `limpetctl`.
pub fn limpetd() -> PathBuf {
    let limpetctl = Path::new(env!("CARGO_BIN_EXE_limpetctl"));
    let limpetd = limpetctl.with_file_name("limpetd");
    assert!(
        limpetd.exists(),
        "run `cargo build -p limpetd`, or the tests of the whole workspace"
    );
    limpetd
}

/// Starts a daemon with the embedded platform and waits until its cell has an
/// answer from every worker.
pub async fn start_embedded(instance: &str) -> Daemon {
    let settings =
        DaemonSettings::new(instance, "athens", LoopbackHost::next());
    let daemon = Daemon::start(&limpetd(), &settings).await.unwrap();
    let address = daemon.host().http_address();
    let ctl = Ctl::new(address);
    wait_for("the owner has an answer from every worker", || {
        let (rows, missing) = ctl.rows("show workers count");
        let expected = Some(EMBEDDED_WORKERS);
        missing.is_empty()
            && rows.first().and_then(|row| row["count"].as_i64()) == expected
    });
    daemon
}

/// The result of one run of `limpetctl`.
#[derive(Debug)]
pub struct CtlOutput {
    /// The exit status.
    pub code: i32,
    /// The standard output.
    pub out: String,
    /// The standard error.
    pub err: String,
}

impl CtlOutput {
    /// Returns whether the exit status is 0.
    pub fn succeeded(&self) -> bool {
        self.code == 0
    }
}

impl From<Output> for CtlOutput {
    fn from(output: Output) -> CtlOutput {
        let text = |bytes| String::from_utf8(bytes).expect("output in UTF-8");
        CtlOutput {
            code: output.status.code().expect("an exit, not a signal"),
            out: text(output.stdout),
            err: text(output.stderr),
        }
    }
}

/// Runs `limpetctl` with one key against one instance.
pub struct Ctl {
    address: SocketAddr,
    key_file: PathBuf,
}

impl Ctl {
    /// Returns a client with [`OPERATOR_KEY`].
    pub fn new(address: SocketAddr) -> Ctl {
        Ctl::with_key(address, OPERATOR_KEY)
    }

    /// Returns a client with this key, written `ID:SECRET`, which is put into
    /// a key file.
    pub fn with_key(address: SocketAddr, key: &str) -> Ctl {
        let id = key.split(':').next().unwrap_or("none");
        let name = format!("limpetctl-{}-{id}.key", address.ip());
        let key_file = std::env::temp_dir().join(name);
        fs::write(&key_file, key).expect("a written key file");
        Ctl { address, key_file }
    }

    /// Runs one command, given as a single argument.
    pub fn run(&self, command: &str) -> CtlOutput {
        self.run_with(&[command])
    }

    /// Runs one command and returns its rows and the list of the parts of the
    /// cell that did not answer; both are empty for a command that fails.
    pub fn rows(&self, command: &str) -> (Vec<Value>, String) {
        let output = self.run_with(&["--output", "json", command]);
        let lines = output.out.lines().map(|line| {
            serde_json::from_str::<Value>(line)
                .expect("one JSON object on each line")
        });
        let (missing, rows): (Vec<_>, Vec<_>) =
            lines.partition(|line| line.get("missing").is_some());
        let missing = missing.iter().map(|line| line["missing"].to_string());
        (rows, missing.collect())
    }

    /// Runs `limpetctl` with these arguments, behind those for the address and
    /// the key file.
    pub fn run_with(&self, arguments: &[&str]) -> CtlOutput {
        let output = Command::new(env!("CARGO_BIN_EXE_limpetctl"))
            .args(["--address", &self.address.to_string(), "--key-file"])
            .arg(&self.key_file)
            .args(arguments)
            .env("COLUMNS", "100")
            .output()
            .expect("limpetctl starts");
        CtlOutput::from(output)
    }
}

/// Checks a condition until it holds.
///
/// # Panics
///
/// After [`WAIT_LIMIT`], with `what`, a sentence that names the condition.
pub fn wait_for(what: &str, condition: impl Fn() -> bool) {
    let start = Instant::now();
    while start.elapsed() < WAIT_LIMIT {
        if condition() {
            return;
        }
        std::thread::sleep(POLL);
    }
    panic!("condition not met within {WAIT_LIMIT:?}: {what}");
}

/// Writes the file of a job with `tasks` equal tasks, each of which runs for
/// `run_time_ms`, and returns its path.
pub fn write_job(name: &str, tasks: u32, run_time_ms: u64) -> PathBuf {
    let job = format!(
        "name = \"{name}\"\nteam = \"rosters\"\nqueue = \"batch\"\n\
         [[tasks]]\nname = \"part\"\ncount = {tasks}\ncores = 1\n\
         memory_mb = 64\nrun_time_ms = {run_time_ms}\nidempotent = true\n"
    );
    let file = format!("limpetctl-{}-{name}.toml", std::process::id());
    let path = std::env::temp_dir().join(file);
    fs::write(&path, job).expect("a written job file");
    path
}
