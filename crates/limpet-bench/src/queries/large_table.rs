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

/// The name of the case.
pub(super) const CASE: &str = "show jobs";
/// The number of jobs that wait while `show jobs` is queried.
const WAITING_JOBS: f64 = 50_000.0;
/// The largest allowed 99th percentile of the time of `show jobs`.
const MAX_SHOW_P99_MS: f64 = 200.0;
/// The rate at which the waiting jobs are submitted.
const FILL_PER_S: f64 = 2_500.0;
/// The rate at which short jobs are submitted while acceptance is measured.
const PROBE_PER_S: f64 = 200.0;
/// The pause between an answer to `show jobs` and the next query.
const QUERY_PAUSE_MS: u64 = 500;
/// The API key of the operator that the daemon's settings configure.
const OPERATOR_KEY: &str = "first-operator:test-secret";
/// The time limit of a query.
const QUERY_TIMEOUT_MS: u64 = 30_000;

/// Queries a table of many waiting jobs, and measures the time of the answer
/// and the latency of job acceptance before and during the queries.
///
/// Accepting a job takes the control thread, as all scheduling decisions do,
/// so that its latency shows whether the queries stall that thread.
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
    let jobs = (WAITING_JOBS * options.size).max(1.0);
    let fill_ms = (jobs * 1_000.0 / FILL_PER_S) as u64;
    let filled = submit(&daemon, FILL_PER_S, fill_ms, WAITING_JOB).await;
    let before =
        submit(&daemon, PROBE_PER_S, options.duration_ms, SHORT_JOB).await;
    let latency_us = Rc::new(RefCell::new(Histogram::new_with_bounds(
        1,
        QUERY_TIMEOUT_MS * 1_000,
        3,
    )?));
    let rows = Rc::new(RefCell::new(0));
    let querying = actix_rt::spawn(query_repeatedly(
        daemon.host().http_address().to_string(),
        Rc::clone(&latency_us),
        Rc::clone(&rows),
    ));
    let during =
        submit(&daemon, PROBE_PER_S, options.duration_ms, SHORT_JOB).await;
    querying.abort();
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
        record("show_p99", show_ms(99.0), "ms").at_most(MAX_SHOW_P99_MS),
        record("accept_p99_before", before.latency_ms(99.0), "ms"),
        record("accept_p99_during", during.latency_ms(99.0), "ms"),
        record("accept_p50_before", before.latency_ms(50.0), "ms"),
        record("accept_p50_during", during.latency_ms(50.0), "ms"),
    ])
}

/// A job file whose jobs wait for as long as the benchmark lasts, since only
/// four of them fit on the workers at a time and each runs for an hour.
pub(super) const WAITING_JOB: &str = "name = \"waits\"\nteam = \"rosters\"\n\
    queue = \"batch\"\n[[tasks]]\nname = \"part\"\ncores = 15\n\
    memory_mb = 64\nrun_time_ms = 3600000\nidempotent = true\n";
/// A job file whose jobs start at once, on capacity that the waiting jobs
/// can't use.
const SHORT_JOB: &str = "name = \"probe\"\nteam = \"settlements\"\nqueue = \
    \"batch\"\n[[tasks]]\nname = \"part\"\ncores = 0.001\nmemory_mb = 1\n\
    run_time_ms = 1\nidempotent = true\n";

async fn wait_until_accepting(daemon: &Daemon) -> eyre::Result<()> {
    let client = daemon.client();
    for _ in 0..400 {
        if client.submit(WAITING_JOB).await.is_ok() {
            return Ok(());
        }
        actix_rt::time::sleep(std::time::Duration::from_millis(50)).await;
    }
    bail!("daemon accepts no job; its log: {}", daemon.log())
}

/// Submits a job file at a steady rate.
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

/// Queries `show jobs` until it is aborted. Records the time of each answer
/// and the number of rows of the latest.
async fn query_repeatedly(
    address: String,
    latency_us: Rc<RefCell<Histogram<u64>>>,
    rows: Rc<RefCell<u32>>,
) {
    loop {
        // The large answer is read on a thread of its own, so that the load
        // client on this thread keeps its schedule.
        let address = address.clone();
        let query =
            actix_rt::task::spawn_blocking(move || query_once(&address));
        if let Ok(Ok((taken_us, count))) = query.await {
            latency_us.borrow_mut().saturating_record(taken_us);
            *rows.borrow_mut() = count;
        }
        let pause = std::time::Duration::from_millis(QUERY_PAUSE_MS);
        actix_rt::time::sleep(pause).await;
    }
}

/// Queries `show jobs` once, and returns the time in microseconds and the
/// number of rows.
fn query_once(address: &str) -> eyre::Result<(u64, u32)> {
    actix_rt::System::new().block_on(async {
        let client =
            Client::new(address, Some(OPERATOR_KEY), QUERY_TIMEOUT_MS);
        let start = Instant::now();
        let answer = client
            .command("show jobs")
            .await
            .map_err(|failure| eyre!("{failure}"))?;
        let taken_us = start.elapsed().as_micros() as u64;
        Ok((taken_us, answer.rows.len() as u32))
    })
}
