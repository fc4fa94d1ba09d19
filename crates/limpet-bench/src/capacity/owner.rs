use std::{
    net::{SocketAddr, TcpListener},
    rc::Rc,
    time::Duration,
};

use eyre::bail;
use limpet_platform::{
    Clock,
    embedded::{self, EmbeddedOptions},
};
use limpet_standin::{
    cell::{Client, Daemon, DaemonSettings, LoopbackHost},
    platform::PlatformServer,
};

use super::{
    metric_records,
    sample::{Cost, Sample},
    target,
};
use crate::{
    load::{self, LoadOptions, Reply},
    options::BenchOptions,
    record::Record,
};

/// The name of the case.
pub(super) const CASE: &str = "shard owner";
/// The workers of a shard at the measured sizes, up to the target's.
const SIZES: [u32; 3] = [34, 68, 136];
/// How long the tasks run that stand for the ones that run all day.
const LONG_RUN_MS: u64 = 3_600_000;
/// How long the tasks run that are started at the peak's rate.
const SHORT_RUN_MS: u64 = 1_000;
/// The most tasks of one job that fills the cell.
const FILL_TASKS: u32 = 100;
/// How long a full cell rests before it is measured.
const REST_MS: u64 = 1_500;
/// How often a new daemon is tried.
const POLL_MS: u64 = 100;
/// The longest that a start may take.
const START_LIMIT_MS: u64 = 20_000;

/// Measures the owner of one shard at each size.
pub(super) async fn measure(
    options: &BenchOptions,
) -> eyre::Result<Vec<Record>> {
    let mut costs = Vec::new();
    for workers in SIZES {
        costs
            .push((f64::from(workers), measure_size(workers, options).await?));
    }
    let at = target::WORKERS / target::SHARDS;
    let whole = target::SHARDS;
    let points = |of: fn(&Cost) -> f64| -> Vec<(f64, f64)> {
        costs.iter().map(|(x, cost)| (*x, of(cost))).collect()
    };
    let metric = |name, unit, of, budget| {
        metric_records(CASE, name, unit, "workers", &points(of), (at, budget))
    };
    let mut records = Vec::new();
    records.extend(metric(
        "cpu",
        "% of a core",
        |c| c.cpu_percent,
        Some(target::CPU_PERCENT),
    ));
    records.extend(metric(
        "memory",
        "MB",
        |c| c.memory_mb,
        Some(target::MEMORY_MB),
    ));
    records.extend(metric(
        "traffic",
        "KB/s",
        |c| c.worker_kb_per_s + c.table_kb_per_s + c.link_kb_per_s,
        Some(target::TRAFFIC_KB_PER_S),
    ));
    records.extend(metric("workers", "KB/s", |c| c.worker_kb_per_s, None));
    records.extend(metric("table", "KB/s", |c| c.table_kb_per_s, None));
    // The table serves the owners of all shards.
    records.extend(metric(
        "rows_written",
        "rows/s",
        |c| c.rows_written_per_s,
        Some(target::TABLE_WRITES_PER_S / whole),
    ));
    records.extend(metric(
        "rows_read",
        "rows/s",
        |c| c.rows_read_per_s,
        Some(target::TABLE_READS_PER_S / whole),
    ));
    Ok(records)
}

async fn measure_size(
    workers: u32,
    options: &BenchOptions,
) -> eyre::Result<Cost> {
    let platform = start_platform(workers)?;
    let daemon = start_daemon("bench-1", platform.address(), options).await?;
    let client = daemon.client();
    wait_until_open(&client).await?;
    let part = f64::from(workers) / target::WORKERS;
    fill(&client, (target::RUNNING_TASKS * part) as u32).await?;
    actix_rt::time::sleep(Duration::from_millis(REST_MS)).await;
    let before = Sample::take(&daemon, &platform).await?;
    let rate = target::STARTS_PER_S * part;
    let load = LoadOptions::new(rate, options.duration_ms);
    let client = Rc::new(client);
    let outcome = load::run(load, |_| {
        let client = Rc::clone(&client);
        async move {
            match client.submit(&job_file(1, SHORT_RUN_MS)).await {
                Ok(_) => Reply::Answered,
                Err(_) => Reply::Failed,
            }
        }
    })
    .await;
    let after = Sample::take(&daemon, &platform).await?;
    if outcome.failed > 0 {
        bail!("{} submissions failed: {}", outcome.failed, daemon.log());
    }
    Ok(after.since(&before))
}

/// Starts a platform of one data centre.
pub(super) fn start_platform(workers: u32) -> eyre::Result<PlatformServer> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let prefix = PlatformServer::worker_address(listener.local_addr()?);
    let shape = EmbeddedOptions::new()
        .workers(workers)
        .data_centres(vec!["athens".parse()?])
        .worker_address(&prefix);
    let platform = embedded::platform(&shape, Clock::monotonic());
    PlatformServer::start_on(platform, listener)
}

/// Starts an instance with the settings that it ships with.
pub(super) async fn start_daemon(
    instance: &str,
    platform: SocketAddr,
    options: &BenchOptions,
) -> eyre::Result<Daemon> {
    let settings =
        DaemonSettings::new(instance, "athens", LoopbackHost::next())
            .platform(platform);
    let binary = options.binaries.join("limpetd");
    Daemon::start(&binary, &settings).await
}

/// Waits until a job is accepted.
pub(super) async fn wait_until_open(client: &Client) -> eyre::Result<()> {
    for _ in 0..START_LIMIT_MS / POLL_MS {
        if client.submit(&job_file(1, 1)).await.is_ok() {
            return Ok(());
        }
        actix_rt::time::sleep(Duration::from_millis(POLL_MS)).await;
    }
    bail!("no job is accepted")
}

async fn fill(client: &Client, mut tasks: u32) -> eyre::Result<()> {
    while tasks > 0 {
        let count = tasks.min(FILL_TASKS);
        client.submit(&job_file(count, LONG_RUN_MS)).await?;
        tasks -= count;
    }
    Ok(())
}

fn job_file(tasks: u32, run_time_ms: u64) -> String {
    format!(
        "name = \"bench\"\nteam = \"rosters\"\nqueue = \"batch\"\n[[tasks]]\n\
         name = \"part\"\ncount = {tasks}\ncores = 1\nmemory_mb = \
         64\nrun_time_ms = {run_time_ms}\nidempotent = true\n"
    )
}
