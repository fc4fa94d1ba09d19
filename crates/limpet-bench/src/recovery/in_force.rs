use std::time::{Duration, Instant};

use eyre::{Result, bail, eyre};
use futures::future::join_all;
use limpetctl::Client;

use super::{BENCH, INSTANCE_DATA_CENTRES, summarize};
use crate::{bench_cell::BenchCell, options::BenchOptions, record::Record};

/// The number of changes in each case.
const CHANGES: u32 = 12;
/// The pause between two checks whether an instance applies the change.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// The time after which a change that isn't in force fails the benchmark.
const TIMEOUT: Duration = Duration::from_secs(20);

/// A kind of change, and the time within which it must be in force at every
/// instance.
#[derive(Clone, Copy)]
pub(super) struct Case {
    pub(super) name: &'static str,
    /// The longest allowed time.
    max_ms: f64,
    change: Change,
}

/// The change that a case makes.
#[derive(Clone, Copy)]
enum Change {
    /// A service is created, and every instance must list it.
    Configuration,
    /// An API key is withdrawn, and every instance must refuse it.
    Withdrawal,
}

/// The cases, with the targets as limits.
pub(super) const CASES: [Case; 2] = [
    Case {
        name: "configuration in force",
        max_ms: 4_000.0,
        change: Change::Configuration,
    },
    Case {
        name: "withdrawal in force",
        max_ms: 3_000.0,
        change: Change::Withdrawal,
    },
];

/// Measures the time from the acknowledgement of a change until each of the
/// seven instances applies it. The changes are made at the instances in turn.
pub(super) async fn measure(
    options: &BenchOptions,
    case: Case,
) -> Result<Vec<Record>> {
    let cell = BenchCell::start(options, &INSTANCE_DATA_CENTRES).await?;
    let clients = cell.clients();
    let mut times_ms = Vec::new();
    for round in 0..CHANGES {
        let instance = &clients[round as usize % clients.len()];
        let times = match case.change {
            Change::Configuration => {
                configure(instance, &clients, round).await?
            }
            Change::Withdrawal => withdraw(&cell, instance, round).await?,
        };
        times_ms.extend(times);
    }
    let mut records = summarize(case.name, times_ms, case.max_ms);
    let expected = f64::from(CHANGES) * INSTANCE_DATA_CENTRES.len() as f64;
    records[0] =
        Record::new(BENCH, case.name, "samples", records[0].value, "times")
            .at_least(expected);
    Ok(records)
}

/// Creates a service at `instance`, and returns the time until each of
/// `clients` lists it, in milliseconds.
async fn configure(
    instance: &Client,
    clients: &[Client],
    round: u32,
) -> Result<Vec<f64>> {
    let service = format!("trial-{round}");
    run_command(instance, &format!("set service {service} open true")).await?;
    let query = format!("show services where service = \"{service}\"");
    let start = Instant::now();
    let listed = clients.iter().map(|client| {
        let query = &query;
        wait_for(start, async move || {
            let answer = client.command(query).await;
            answer.is_ok_and(|answer| answer.rows.len() == 1)
        })
    });
    join_all(listed).await.into_iter().collect()
}

/// Grants a key, waits until every instance accepts it, withdraws it at
/// `instance`, and returns the time until each instance refuses it, in
/// milliseconds.
async fn withdraw(
    cell: &BenchCell,
    instance: &Client,
    round: u32,
) -> Result<Vec<f64>> {
    let name = format!("trial-{round}");
    let grant_answer =
        run_command(instance, &format!("grant key {name} to team rosters"))
            .await?;
    let prefix = format!("{name}:");
    let Some(key) =
        grant_answer.split_whitespace().find(|word| word.starts_with(&prefix))
    else {
        bail!("the answer to `grant key` holds no key");
    };
    let clients = cell.clients_with(key);
    let start = Instant::now();
    let accepted = clients.iter().map(|client| {
        wait_for(start, async || client.command("show queues").await.is_ok())
    });
    for time in join_all(accepted).await {
        time?;
    }
    run_command(instance, &format!("withdraw key {name}")).await?;
    let start = Instant::now();
    let refused = clients.iter().map(|client| {
        wait_for(start, async || client.command("show queues").await.is_err())
    });
    join_all(refused).await.into_iter().collect()
}

/// Runs a command and returns the lines of its answer.
async fn run_command(instance: &Client, command: &str) -> Result<String> {
    let answer = instance.command(command).await;
    let answer = answer.map_err(|failure| eyre!("{command}: {failure}"))?;
    Ok(answer.lines.join("\n"))
}

/// Waits until a condition holds, and returns the time since `start` in
/// milliseconds.
async fn wait_for(
    start: Instant,
    condition: impl AsyncFn() -> bool,
) -> Result<f64> {
    while start.elapsed() < TIMEOUT {
        if condition().await {
            return Ok(start.elapsed().as_secs_f64() * 1_000.0);
        }
        actix_rt::time::sleep(POLL_INTERVAL).await;
    }
    bail!("change not in force at an instance within {} s", TIMEOUT.as_secs())
}
