use std::{cell::RefCell, rc::Rc, time::Instant};

use eyre::{bail, eyre};
use hdrhistogram::Histogram;
use limpet_standin::cell::{CallError, Daemon, DaemonSettings, LoopbackHost};
use limpetctl::Client;

use super::BENCH;
use crate::{
    load::{self, LoadOptions, LoadOutcome, Reply},
    options::BenchOptions,
    record::Record,
};

pub(super) const CASE: &str = "show jobs";
/// The jobs that wait while the table is asked for.
const JOBS: f64 = 50_000.0;
/// The longest that `show jobs` may take, in milliseconds.
const SHOW_MS: f64 = 200.0;
/// How fast the waiting jobs are submitted.
const FILL_PER_S: f64 = 2_500.0;
/// How fast jobs are submitted while the table is asked for.
const PROBE_PER_S: f64 = 200.0;
/// How long after one answer the table is asked for again, in milliseconds.
const PAUSE_MS: u64 = 500;
/// The key of the daemon's first operator.
const KEY: &str = "first-operator:test-secret";
const TIMEOUT_MS: u64 = 30_000;

/// Asks for a table of many waiting jobs, and measures the answer and what
/// acceptance costs without and with it. An acceptance passes through the
/// control thread, as each decision does, so that it shows any stall there.
pub(super) async fn measure(
    options: &BenchOptions,
) -> eyre::Result<Vec<Record>> {
    let settings =
        DaemonSettings::new("bench-1", "athens", LoopbackHost::next())
            .traffic_threads(2)
            .log_level("warning");
    let binary = options.binaries.join("limpetd");
    let daemon = Daemon::start(&binary, &settings).await?;
    wait_until_accepting(&daemon).await?;
    let jobs = (JOBS * options.size).max(1.0);
    let fill_ms = (jobs * 1_000.0 / FILL_PER_S) as u64;
    let filled = submit(&daemon, FILL_PER_S, fill_ms, WAITING).await;
    let before =
        submit(&daemon, PROBE_PER_S, options.duration_ms, SHORT).await;
    let latency_us = Rc::new(RefCell::new(Histogram::new_with_bounds(
        1,
        TIMEOUT_MS * 1_000,
        3,
    )?));
    let rows = Rc::new(RefCell::new(0));
    let asking = actix_rt::spawn(ask_again_and_again(
        daemon.host().http_address().to_string(),
        Rc::clone(&latency_us),
        Rc::clone(&rows),
    ));
    let during =
        submit(&daemon, PROBE_PER_S, options.duration_ms, SHORT).await;
    asking.abort();
    let record =
        |metric, value, unit| Record::new(BENCH, CASE, metric, value, unit);
    let latency_us = latency_us.borrow();
    let show_ms =
        |percent| latency_us.value_at_percentile(percent) as f64 / 1_000.0;
    let rows = f64::from(*rows.borrow());
    Ok(vec![
        record(
            "not_accepted",
            (filled.refused + filled.failed) as f64,
            "jobs",
        ),
        record("rows", rows, "jobs").at_least(jobs * 0.98),
        record("answers", latency_us.len() as f64, "answers").at_least(1.0),
        record("show_p50", show_ms(50.0), "ms"),
        record("show_p99", show_ms(99.0), "ms").at_most(SHOW_MS),
        record("accept_p99_before", before.latency_ms(99.0), "ms"),
        record("accept_p99_during", during.latency_ms(99.0), "ms"),
        record("accept_p50_before", before.latency_ms(50.0), "ms"),
        record("accept_p50_during", during.latency_ms(50.0), "ms"),
    ])
}

/// A job that waits for as long as the bench lasts: only four fit the
/// workers at a time.
pub(super) const WAITING: &str = "name = \"waits\"\nteam = \"rosters\"\nqueue = \
    \"batch\"\n[[tasks]]\nname = \"part\"\ncores = 15\nmemory_mb = 64\n\
    run_time_ms = 3600000\nidempotent = true\n";
/// A job that runs at once, in the room that the waiting ones leave.
const SHORT: &str = "name = \"probe\"\nteam = \"settlements\"\nqueue = \
    \"batch\"\n[[tasks]]\nname = \"part\"\ncores = 0.001\nmemory_mb = 1\n\
    run_time_ms = 1\nidempotent = true\n";

async fn wait_until_accepting(daemon: &Daemon) -> eyre::Result<()> {
    let client = daemon.client();
    for _ in 0..400 {
        if client.submit(WAITING).await.is_ok() {
            return Ok(());
        }
        actix_rt::time::sleep(std::time::Duration::from_millis(50)).await;
    }
    bail!("the daemon accepts nothing: {}", daemon.log())
}

async fn submit(
    daemon: &Daemon,
    rate_per_s: f64,
    duration_ms: u64,
    job: &'static str,
) -> LoadOutcome {
    let client = Rc::new(daemon.client());
    load::run(LoadOptions::new(rate_per_s, duration_ms), |_| {
        let client = Rc::clone(&client);
        async move {
            match client.submit(job).await {
                Ok(_) => Reply::Answered,
                Err(CallError::Refused { .. }) => Reply::Refused,
                Err(CallError::NoAnswer(_)) => Reply::Failed,
            }
        }
    })
    .await
}

async fn ask_again_and_again(
    address: String,
    latency_us: Rc<RefCell<Histogram<u64>>>,
    rows: Rc<RefCell<u32>>,
) {
    loop {
        // A thread of its own reads the large answer, so that the load
        // client keeps its schedule.
        let address = address.clone();
        let asked = actix_rt::task::spawn_blocking(move || ask_once(&address));
        if let Ok(Ok((taken_us, count))) = asked.await {
            latency_us.borrow_mut().saturating_record(taken_us);
            *rows.borrow_mut() = count;
        }
        let pause = std::time::Duration::from_millis(PAUSE_MS);
        actix_rt::time::sleep(pause).await;
    }
}

fn ask_once(address: &str) -> eyre::Result<(u64, u32)> {
    actix_rt::System::new().block_on(async {
        let client = Client::new(address, Some(KEY), TIMEOUT_MS);
        let start = Instant::now();
        let answer = client
            .command("show jobs")
            .await
            .map_err(|failure| eyre!("{failure}"))?;
        let taken_us = start.elapsed().as_micros() as u64;
        Ok((taken_us, answer.rows.len() as u32))
    })
}
