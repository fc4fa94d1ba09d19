use std::time::{Duration, Instant};

use eyre::{Result, bail};
use limpet_core::command::TableCell;
use limpetctl::Client;

use super::{SEVEN, summarize};
use crate::{bench_cell::BenchCell, options::BenchOptions, record::Record};

pub(super) const CASE: &str = "takeover";
/// The longest that a shard of a killed owner may be without a new one, in
/// milliseconds.
const TAKEOVER_MS: f64 = 5_000.0;
/// How many owners are killed.
const KILLS: usize = 4;
/// How often a survivor is asked.
const ASK_EVERY: Duration = Duration::from_millis(10);
/// When a takeover counts as failed.
const GIVE_UP: Duration = Duration::from_secs(30);
/// The column of `show shards` that names the owner.
const OWNER: &str = "owner";

/// Kills one owner after the other and times how long its shards are
/// without a new owner that answers.
pub(super) async fn measure(options: &BenchOptions) -> Result<Vec<Record>> {
    let mut cell = BenchCell::start(options, &SEVEN).await?;
    let mut times_ms = Vec::new();
    for _ in 0..KILLS {
        let clients = cell.clients();
        // The last instance is never killed, so that it can be asked.
        let asked = &clients[clients.len() - 1];
        let owners = owners(asked).await.unwrap_or_default();
        let last = cell.daemons.len() - 1;
        let victim = cell.daemons[..last]
            .iter()
            .position(|daemon| owners.iter().any(|o| o == daemon.name()));
        let Some(victim) = victim else { break };
        let mut daemon = cell.daemons.remove(victim);
        daemon.kill()?;
        times_ms.push(wait_for_successor(asked, daemon.name()).await?);
    }
    if times_ms.is_empty() {
        bail!("no owner could be killed");
    }
    Ok(summarize(CASE, times_ms, TAKEOVER_MS))
}

async fn wait_for_successor(asked: &Client, killed: &str) -> Result<f64> {
    let start = Instant::now();
    while start.elapsed() < GIVE_UP {
        let whole = owners(asked)
            .await
            .is_some_and(|owners| !owners.iter().any(|owner| owner == killed));
        if whole {
            return Ok(start.elapsed().as_secs_f64() * 1_000.0);
        }
        actix_rt::time::sleep(ASK_EVERY).await;
    }
    bail!("no new owner after {} s", GIVE_UP.as_secs())
}

/// Returns the owner of every shard, or `None` where some shard has none
/// that answers.
async fn owners(asked: &Client) -> Option<Vec<String>> {
    let answer = asked.command("show shards").await.ok()?;
    if !answer.missing.is_empty() {
        return None;
    }
    let column = answer.columns.iter().position(|name| name == OWNER)?;
    let names = answer.rows.iter().filter_map(|row| match &row[column] {
        TableCell::Text(name) => Some(name.clone()),
        _ => None,
    });
    let names: Vec<String> = names.collect();
    (names.len() == crate::bench_cell::DATA_CENTRES.len()).then_some(names)
}
