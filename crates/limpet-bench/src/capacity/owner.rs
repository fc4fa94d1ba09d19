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
/// The numbers of workers in the shard at which the cost is measured. The
/// largest is the target's.
const SIZES: [u32; 3] = [34, 68, 136];
/// The run time of the tasks that fill the cell. They stand for tasks that
/// run all day and outlast the measurement.
const LONG_RUN_MS: u64 = 3_600_000;
/// The run time of the tasks that are started at the peak's rate.
const SHORT_RUN_MS: u64 = 1_000;
/// The largest number of tasks in a job that fills the cell.
const FILL_TASKS: u32 = 100;
/// The pause between filling the cell and measuring it.
const SETTLE_MS: u64 = 1_500;
/// The pause between two submissions to a daemon that starts.
const POLL_MS: u64 = 100;
/// The time within which a daemon must accept jobs after its start.
const START_TIMEOUT_MS: u64 = 20_000;

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
    let shards = target::SHARDS;
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
    // The owners of all shards share the table's budget.
    records.extend(metric(
        "rows_written",
        "rows/s",
        |c| c.rows_written_per_s,
        Some(target::TABLE_WRITES_PER_S / shards),
    ));
    records.extend(metric(
        "rows_read",
        "rows/s",
        |c| c.rows_read_per_s,
        Some(target::TABLE_READS_PER_S / shards),
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
    wait_until_accepting(&client).await?;
    let fraction = f64::from(workers) / target::WORKERS;
    fill(&client, (target::RUNNING_TASKS * fraction) as u32).await?;
    actix_rt::time::sleep(Duration::from_millis(SETTLE_MS)).await;
    let before = Sample::take(&daemon, &platform).await?;
    let rate_per_s = target::STARTS_PER_S * fraction;
    let load = LoadOptions::new(rate_per_s, options.duration_ms);
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

/// Starts an embedded platform with one data centre and serves it over HTTP.
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

/// Starts a daemon with its default settings.
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

/// Waits until the daemon accepts a job.
pub(super) async fn wait_until_accepting(client: &Client) -> eyre::Result<()> {
    for _ in 0..START_TIMEOUT_MS / POLL_MS {
        if client.submit(&job_file(1, 1)).await.is_ok() {
            return Ok(());
        }
        actix_rt::time::sleep(Duration::from_millis(POLL_MS)).await;
    }
    bail!("daemon accepts no job")
}

/// Submits long-running jobs with this number of tasks in total.
async fn fill(client: &Client, mut tasks: u32) -> eyre::Result<()> {
    while tasks > 0 {
        let count = tasks.min(FILL_TASKS);
        client.submit(&job_file(count, LONG_RUN_MS)).await?;
        tasks -= count;
    }
    Ok(())
}

/// Returns a job file with a number of equal tasks.
fn job_file(tasks: u32, run_time_ms: u64) -> String {
    format!(
        "name = \"bench\"\nteam = \"rosters\"\nqueue = \"batch\"\n[[tasks]]\n\
         name = \"part\"\ncount = {tasks}\ncores = 1\nmemory_mb = \
         64\nrun_time_ms = {run_time_ms}\nidempotent = true\n"
    )
}
