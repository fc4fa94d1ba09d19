use std::time::{Duration, Instant};

use eyre::{Result, bail, eyre};
use futures::future::join_all;
use limpetctl::Client;

use super::{BENCH, SEVEN, summarize};
use crate::{bench_cell::BenchCell, options::BenchOptions, record::Record};

/// How often each case changes something.
const ROUNDS: u32 = 12;
/// How often an instance is asked whether the change is in force.
const ASK_EVERY: Duration = Duration::from_millis(10);
/// When a round counts as failed.
const GIVE_UP: Duration = Duration::from_secs(20);

/// A kind of change whose way to every instance is timed.
#[derive(Clone, Copy)]
pub(super) struct Case {
    pub(super) name: &'static str,
    /// The longest that it may take, in milliseconds.
    most_ms: f64,
    change: Change,
}

#[derive(Clone, Copy)]
enum Change {
    /// A service is created and has to be listed everywhere.
    Configuration,
    /// A key is withdrawn and has to be refused everywhere.
    Withdrawal,
}

pub(super) const CASES: [Case; 2] = [
    Case {
        name: "configuration in force",
        most_ms: 4_000.0,
        change: Change::Configuration,
    },
    Case {
        name: "withdrawal in force",
        most_ms: 3_000.0,
        change: Change::Withdrawal,
    },
];

/// Times a change from its acknowledgement until each of seven instances
/// acts by it.
pub(super) async fn measure(
    options: &BenchOptions,
    case: Case,
) -> Result<Vec<Record>> {
    let cell = BenchCell::start(options, &SEVEN).await?;
    let clients = cell.clients();
    let mut times_ms = Vec::new();
    for round in 0..ROUNDS {
        let instance = &clients[round as usize % clients.len()];
        let times = match case.change {
            Change::Configuration => {
                configure(instance, &clients, round).await?
            }
            Change::Withdrawal => withdraw(&cell, instance, round).await?,
        };
        times_ms.extend(times);
    }
    let mut records = summarize(case.name, times_ms, case.most_ms);
    let expected = f64::from(ROUNDS) * SEVEN.len() as f64;
    records[0] =
        Record::new(BENCH, case.name, "samples", records[0].value, "times")
            .at_least(expected);
    Ok(records)
}

async fn configure(
    instance: &Client,
    clients: &[Client],
    round: u32,
) -> Result<Vec<f64>> {
    let service = format!("trial-{round}");
    give(instance, &format!("set service {service} open true")).await?;
    let question = format!("show services where service = \"{service}\"");
    let start = Instant::now();
    let waits = clients.iter().map(|client| {
        let question = &question;
        wait_for(start, async move || {
            let answer = client.command(question).await;
            answer.is_ok_and(|answer| answer.rows.len() == 1)
        })
    });
    join_all(waits).await.into_iter().collect()
}

async fn withdraw(
    cell: &BenchCell,
    instance: &Client,
    round: u32,
) -> Result<Vec<f64>> {
    let name = format!("trial-{round}");
    let granted =
        give(instance, &format!("grant key {name} to team rosters")).await?;
    let prefix = format!("{name}:");
    let Some(key) =
        granted.split_whitespace().find(|word| word.starts_with(&prefix))
    else {
        bail!("no key in the answer to a grant");
    };
    let holders = cell.clients_with(key);
    let start = Instant::now();
    let accepted = holders.iter().map(|holder| {
        wait_for(start, async || holder.command("show queues").await.is_ok())
    });
    for time in join_all(accepted).await {
        time?;
    }
    give(instance, &format!("withdraw key {name}")).await?;
    let start = Instant::now();
    let refused = holders.iter().map(|holder| {
        wait_for(start, async || holder.command("show queues").await.is_err())
    });
    join_all(refused).await.into_iter().collect()
}

async fn give(instance: &Client, command: &str) -> Result<String> {
    let answer = instance.command(command).await;
    let answer = answer.map_err(|failure| eyre!("{command}: {failure}"))?;
    Ok(answer.lines.join("\n"))
}

/// Returns the milliseconds since `start` until a condition holds.
async fn wait_for(
    start: Instant,
    condition: impl AsyncFn() -> bool,
) -> Result<f64> {
    while start.elapsed() < GIVE_UP {
        if condition().await {
            return Ok(start.elapsed().as_secs_f64() * 1_000.0);
        }
        actix_rt::time::sleep(ASK_EVERY).await;
    }
    bail!("not in force after {} s", GIVE_UP.as_secs())
}
