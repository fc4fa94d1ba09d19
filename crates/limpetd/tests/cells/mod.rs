//! A cell of real daemons on a stand-in platform, for end-to-end tests.

#![allow(dead_code, reason = "each test file uses a part of it")]

use std::{
    collections::{BTreeMap, BTreeSet},
    net::TcpListener,
    path::Path,
    time::Duration,
};

use limpet_core::{TaskId, TaskOutcome};
use limpet_platform::{
    Clock,
    embedded::{self, EmbeddedOptions, TaskRecord},
};
use limpet_standin::{
    cell::{Client, Daemon, DaemonSettings, LoopbackHost},
    platform::PlatformServer,
};
use limpet_wire::{CommandAnswer, TableCell as Value};

/// The longest that a test waits for a condition, in milliseconds. It is long
/// so that tests pass on a busy machine too.
const WAIT_LIMIT_MS: u64 = 60_000;
/// How often a condition is checked, in milliseconds.
const POLL_MS: u64 = 25;

/// The lease of a shard, in milliseconds, short because tests wait for
/// takeovers.
const LEASE_MS: u64 = 1_000;
/// How often leases are renewed, in milliseconds.
const RENEW_MS: u64 = 200;

/// A stand-in platform and the daemons that use it.
pub struct TestCell {
    /// The platform, whose `fault_injector` makes calls fail.
    pub platform: PlatformServer,
    /// The daemons, in the order in which they were started.
    pub daemons: Vec<Daemon>,
    centres: Vec<&'static str>,
}

impl TestCell {
    /// Starts a platform with `workers` workers in each of the data centres.
    pub fn start(workers: u32, centres: &[&'static str]) -> TestCell {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let names = centres.iter().map(|name| name.parse().unwrap());
        let options = EmbeddedOptions::new()
            .workers(workers)
            .data_centres(names.collect())
            .worker_address(&PlatformServer::worker_address(address))
            .keep_records(true);
        let platform = embedded::platform(&options, Clock::monotonic());
        let platform = PlatformServer::start_on(platform, listener).unwrap();
        TestCell { platform, daemons: Vec::new(), centres: centres.to_vec() }
    }

    /// Returns the settings of a daemon in one of the data centres.
    pub fn settings(&self, instance: &str, centre: &str) -> DaemonSettings {
        DaemonSettings::new(instance, centre, LoopbackHost::next())
            .platform(self.platform.address())
            .data_centres(&self.centres)
            .control("lease_ms", LEASE_MS)
            .control("renew_ms", RENEW_MS)
            .control("worker_lease_ms", 1_500)
            .control("detached_ms", 3_000)
            .control("exchange_ms", 100)
            .control("directory_poll_ms", 100)
            .control("config_poll_ms", 100)
    }

    /// Starts a daemon.
    pub async fn add_daemon(&mut self, instance: &str, centre: &str) {
        let settings = self.settings(instance, centre);
        self.daemons.push(start_daemon(&settings).await);
    }

    /// Returns a client of a daemon, with the first operator's key.
    pub fn client(&self, index: usize) -> Client {
        self.daemons[index].client()
    }

    /// Waits until each daemon that runs knows an owner of every shard that
    /// answers it.
    pub async fn wait_for_owners(&self) {
        for daemon in &self.daemons {
            let client = daemon.client();
            wait_for("every shard has an owner", async || {
                let answer = client.command("show shards").await;
                answer.is_ok_and(|answer| {
                    answer.missing.is_empty()
                        && answer.rows.len() == self.centres.len()
                })
            })
            .await;
        }
    }

    /// Returns the index of the daemon that owns a shard, according to the
    /// daemon `asked`.
    pub async fn owner_of(&self, asked: usize, shard: u64) -> usize {
        let answer = self.client(asked).command("show shards").await.unwrap();
        let owner = rows(&answer)
            .into_iter()
            .find(|row| row["shard"] == shard.to_string())
            .map(|row| row["owner"].clone());
        let owner = owner.expect("the shard is listed");
        self.daemons.iter().position(|d| d.name() == owner).unwrap()
    }

    /// Returns the starts and ends of each task that the workers recorded.
    pub fn records(&self) -> BTreeMap<TaskId, Vec<TaskRecord>> {
        let platform = self.platform.platform();
        let now = platform.clock().now();
        let mut tasks: BTreeMap<TaskId, Vec<TaskRecord>> = BTreeMap::new();
        for record in platform.workers().records(now) {
            tasks.entry(record.task).or_default().push(record.clone());
        }
        for records in tasks.values_mut() {
            // Of a start and an end at the same time, the end is first.
            records.sort_by_key(|r| (r.at, r.outcome.is_none()));
        }
        tasks
    }

    /// Checks that no task ever ran twice at the same time, and that none
    /// ended as `Done` more than once.
    pub fn check_runs(&self) {
        for (task, records) in self.records() {
            let mut running = 0_i32;
            let mut done = 0;
            for record in &records {
                running += if record.outcome.is_none() { 1 } else { -1 };
                done += i32::from(record.outcome == Some(TaskOutcome::Done));
                assert!(
                    running <= 1,
                    "task {task} in two places: {records:?}"
                );
            }
            assert!(done <= 1, "task {task} done {done} times: {records:?}");
        }
    }

    /// Checks that no task of these jobs was started more than once.
    pub fn check_started_once(&self, jobs: &BTreeSet<String>) {
        for (task, records) in self.records() {
            let starts =
                records.iter().filter(|r| r.outcome.is_none()).count();
            let once = starts <= 1 || !jobs.contains(&task.job.to_string());
            assert!(once, "{task} started {starts} times: {records:?}");
        }
    }

    /// Checks that no worker has more resources committed than it holds.
    pub fn check_committed(&self) {
        for worker in self.platform.platform().workers().iter() {
            assert!(worker.committed().fits_in(&worker.shape().held));
        }
    }

    /// Returns the logs of all daemons, for the messages of failed assertions.
    pub fn logs(&self) -> String {
        let log = |daemon: &Daemon| {
            format!("--- {}\n{}", daemon.name(), daemon.log())
        };
        self.daemons.iter().map(log).collect()
    }
}

/// Starts a daemon with these settings.
pub async fn start_daemon(settings: &DaemonSettings) -> Daemon {
    let binary = Path::new(env!("CARGO_BIN_EXE_limpetd"));
    Daemon::start(binary, settings).await.unwrap()
}

/// Returns a job file with one group of tasks.
pub fn job_file(tasks: u32, run_time_ms: u64, idempotent: bool) -> String {
    format!(
        "name = \"reconcile\"\nteam = \"rosters\"\nqueue = \"batch\"\n\
         [[tasks]]\nname = \"part\"\ncount = {tasks}\ncores = 1\nmemory_mb = \
         64\nrun_time_ms = {run_time_ms}\nidempotent = {idempotent}\n"
    )
}

/// Returns the rows of an answer, each as a map from column to text.
pub fn rows(answer: &CommandAnswer) -> Vec<BTreeMap<String, String>> {
    let row = |cells: &Vec<Value>| {
        answer.columns.iter().cloned().zip(cells.iter().map(text)).collect()
    };
    answer.rows.iter().map(row).collect()
}

fn text(cell: &Value) -> String {
    match cell {
        Value::Empty => String::new(),
        Value::Flag(flag) => flag.to_string(),
        Value::Number(number) => number.to_string(),
        Value::Decimal(number) => number.to_string(),
        Value::Text(text) => text.clone(),
    }
}

/// Returns the state of each job that a daemon shows, by job number.
pub async fn job_states(client: &Client) -> BTreeMap<String, String> {
    match client.command("show jobs").await {
        Ok(answer) => rows(&answer)
            .into_iter()
            .map(|row| (row["job"].clone(), row["state"].clone()))
            .collect(),
        Err(_) => BTreeMap::new(),
    }
}

/// Waits until a condition holds.
///
/// # Panics
///
/// If it doesn't hold within [`WAIT_LIMIT_MS`].
pub async fn wait_for(what: &str, condition: impl AsyncFn() -> bool) {
    let start = std::time::Instant::now();
    let limit = Duration::from_millis(WAIT_LIMIT_MS);
    while start.elapsed() < limit {
        if condition().await {
            return;
        }
        sleep_ms(POLL_MS).await;
    }
    panic!("not within {WAIT_LIMIT_MS} ms: {what}");
}

/// Sleeps while the daemons run.
pub async fn sleep_ms(ms: u64) {
    actix_rt::time::sleep(Duration::from_millis(ms)).await;
}
