use std::rc::Rc;

use eyre::OptionExt;
use limpet_standin::cell::{CallError, Client, Daemon, Usage};

use super::{
    BENCH,
    cell::{job_file, start_daemon},
};
use crate::{
    load::{self, LoadOptions, LoadOutcome, Reply},
    options::BenchOptions,
    record::Record,
};

/// The largest allowed 99th percentile of the time until a job is accepted.
const MAX_ACCEPT_P99_MS: f64 = 20.0;
/// The number of task starts a second that one daemon must reach.
const MIN_STARTS_PER_S: f64 = 2_000.0;
/// The fraction of the required starts that counts as reaching the rate, since
/// the tasks of the last jobs start after the measurement has ended.
const REACHED_FRACTION: f64 = 0.98;
/// The run time of each task.
const RUN_TIME_MS: u64 = 100;

/// A case that submits jobs at a steady rate.
pub(super) struct AcceptCase {
    pub(super) name: &'static str,
    jobs_per_s: f64,
    tasks: u32,
}

/// Cases that offer the required number of starts a second, by many jobs of
/// one task or fewer jobs of eight tasks.
pub(super) const CASES: &[AcceptCase] = &[
    AcceptCase { name: "accept one task", jobs_per_s: 2_000.0, tasks: 1 },
    AcceptCase { name: "accept eight tasks", jobs_per_s: 250.0, tasks: 8 },
];

/// Submits jobs, and measures the time until they are accepted, which is when
/// they are durable, and the rate at which their tasks start.
pub(super) async fn measure(
    case: &AcceptCase,
    options: &BenchOptions,
) -> eyre::Result<Vec<Record>> {
    let daemon = start_daemon(options).await?;
    let client = Rc::new(daemon.client());
    let job: Rc<str> = job_file(case.tasks, RUN_TIME_MS).into();
    let before = Snapshot::take(&daemon, &client).await?;
    let load = LoadOptions::new(case.jobs_per_s, options.duration_ms);
    let outcome = load::run(load, |_| {
        let (client, job) = (Rc::clone(&client), Rc::clone(&job));
        async move { classify(client.submit(&job).await) }
    })
    .await;
    let after = Snapshot::take(&daemon, &client).await?;
    Ok(records(case, &outcome, &before, &after))
}

fn classify<T>(answer: Result<T, CallError>) -> Reply {
    match answer {
        Ok(_) => Reply::Answered,
        Err(CallError::Refused { .. }) => Reply::Refused,
        Err(CallError::NoAnswer(_)) => Reply::Failed,
    }
}

/// The daemon's counters and resource usage at one point in time.
struct Snapshot {
    usage: Usage,
    starts: f64,
    rows: f64,
}

impl Snapshot {
    async fn take(daemon: &Daemon, client: &Client) -> eyre::Result<Snapshot> {
        let counters = client.metrics().await?;
        let counter = |name: &str| {
            counters[name]
                .as_f64()
                .ok_or_eyre("daemon lacks a counter that the benchmark reads")
        };
        Ok(Snapshot {
            usage: daemon.usage()?,
            starts: counter("tasks.starts")?,
            rows: counter("table.rows_written")?,
        })
    }
}

fn records(
    case: &AcceptCase,
    outcome: &LoadOutcome,
    before: &Snapshot,
    after: &Snapshot,
) -> Vec<Record> {
    let record = |metric, value, unit| {
        Record::new(BENCH, case.name, metric, value, unit)
    };
    let elapsed_s = outcome.elapsed_ms as f64 / 1_000.0;
    let starts = after.starts - before.starts;
    let rows = after.rows - before.rows;
    let cpu_ms = (after.usage.cpu_ms - before.usage.cpu_ms) as f64;
    let not_accepted = (outcome.refused + outcome.failed) as f64;
    vec![
        record("accepted", outcome.goodput_per_s(), "jobs/s"),
        record("not_accepted", not_accepted, "jobs").at_most(0.0),
        record("accept_p50", outcome.latency_ms(50.0), "ms"),
        record("accept_p99", outcome.latency_ms(99.0), "ms")
            .at_most(MAX_ACCEPT_P99_MS),
        record("starts", starts / elapsed_s, "tasks/s")
            .at_least(MIN_STARTS_PER_S * REACHED_FRACTION),
        record("rows_per_1000_starts", rows * 1_000.0 / starts, "rows"),
        record("cpu", cpu_ms / elapsed_s / 1_000.0, "cores"),
        record("cpu_per_start", cpu_ms * 1_000.0 / starts, "us"),
        record(
            "memory",
            after.usage.resident_bytes as f64 / 1_048_576.0,
            "MB",
        ),
    ]
}
