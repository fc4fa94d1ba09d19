use std::time::{Duration, Instant};

use eyre::{Result, bail};
use limpet_core::command::TableCell;
use limpetctl::Client;

use super::{INSTANCE_DATA_CENTRES, summarize};
use crate::{bench_cell::BenchCell, options::BenchOptions, record::Record};

/// The name of the case.
pub(super) const CASE: &str = "takeover";
/// The longest allowed time until the shards of a killed owner have new
/// owners.
const MAX_TAKEOVER_MS: f64 = 5_000.0;
/// The number of owners that are killed.
const KILLS: usize = 4;
/// The pause between two queries to a surviving instance.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// The time after which a missing takeover fails the benchmark.
const TIMEOUT: Duration = Duration::from_secs(30);
/// The column of `show shards` that names the owner.
const OWNER_COLUMN: &str = "owner";

/// Kills one owner after the other, and measures the time until another
/// instance owns each of its shards and answers queries about it.
pub(super) async fn measure(options: &BenchOptions) -> Result<Vec<Record>> {
    let mut cell = BenchCell::start(options, &INSTANCE_DATA_CENTRES).await?;
    let mut times_ms = Vec::new();
    for _ in 0..KILLS {
        let clients = cell.clients();
        // The last instance is never killed, so that it can be queried.
        let survivor = &clients[clients.len() - 1];
        let owners = owners(survivor).await.unwrap_or_default();
        let last = cell.daemons.len() - 1;
        let victim = cell.daemons[..last]
            .iter()
            .position(|daemon| owners.iter().any(|o| o == daemon.name()));
        let Some(victim) = victim else { break };
        let mut daemon = cell.daemons.remove(victim);
        daemon.kill()?;
        times_ms.push(wait_for_successor(survivor, daemon.name()).await?);
    }
    if times_ms.is_empty() {
        bail!("found no shard owner to kill");
    }
    Ok(summarize(CASE, times_ms, MAX_TAKEOVER_MS))
}

/// Waits until every shard has an owner other than the killed one, and returns
/// the time that it took, in milliseconds.
async fn wait_for_successor(survivor: &Client, killed: &str) -> Result<f64> {
    let start = Instant::now();
    while start.elapsed() < TIMEOUT {
        let taken_over = owners(survivor)
            .await
            .is_some_and(|owners| !owners.iter().any(|owner| owner == killed));
        if taken_over {
            return Ok(start.elapsed().as_secs_f64() * 1_000.0);
        }
        actix_rt::time::sleep(POLL_INTERVAL).await;
    }
    bail!(
        "shards of the killed owner not taken over within {} s",
        TIMEOUT.as_secs()
    )
}

/// Returns the owner of every shard, or `None` if some shard has no owner that
/// answers.
async fn owners(survivor: &Client) -> Option<Vec<String>> {
    let answer = survivor.command("show shards").await.ok()?;
    if !answer.missing.is_empty() {
        return None;
    }
    let column =
        answer.columns.iter().position(|name| name == OWNER_COLUMN)?;
    let names = answer.rows.iter().filter_map(|row| match &row[column] {
        TableCell::Text(name) => Some(name.clone()),
        _ => None,
    });
    let names: Vec<String> = names.collect();
    (names.len() == crate::bench_cell::DATA_CENTRES.len()).then_some(names)
}
