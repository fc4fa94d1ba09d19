use std::time::Instant;

use eyre::{OptionExt, eyre};
use limpet_core::command::TableCell;
use limpet_standin::cell::Daemon;
use limpetctl::Client;

use super::BENCH;
use crate::{
    bench_cell::{BenchCell, DATA_CENTRES},
    options::BenchOptions,
    record::Record,
};

pub(super) const CASE: &str = "ask after a kill";
/// The longest that an answer may take while an instance is gone.
const ANSWER_MS: f64 = 1_000.0;
/// How long the answers are watched after the kill, in milliseconds.
const WATCH_MS: u128 = 10_000;

/// Kills one of three daemons, asks another for every shard until all have
/// an owner again, and measures the longest answer.
pub(super) async fn measure(
    options: &BenchOptions,
) -> eyre::Result<Vec<Record>> {
    let mut cell = BenchCell::start(options, &DATA_CENTRES).await?;
    let clients = cell.clients();
    let daemons = &mut cell.daemons;
    let victim = find_owner(&clients[0], daemons).await?;
    let client = &clients[(victim + 1) % clients.len()];
    daemons[victim].kill()?;
    let killed_at = Instant::now();
    let mut longest_ms = 0.0_f64;
    let mut silent = 0;
    let mut partial = 0;
    loop {
        let start = Instant::now();
        let answer = client.command("show shards").await;
        let answer = answer.map_err(|failure| eyre!("{failure}"))?;
        longest_ms = longest_ms.max(start.elapsed().as_secs_f64() * 1_000.0);
        let complete = answer.rows.len() == DATA_CENTRES.len();
        partial += u32::from(!complete && !answer.missing.is_empty());
        silent += u32::from(!complete && answer.missing.is_empty());
        let owned = complete && !names(&answer.rows, daemons[victim].name());
        if owned || killed_at.elapsed().as_millis() > WATCH_MS {
            break;
        }
    }
    let whole_ms = killed_at.elapsed().as_secs_f64() * 1_000.0;
    let record =
        |metric, value, unit| Record::new(BENCH, CASE, metric, value, unit);
    Ok(vec![
        record("longest_answer", longest_ms, "ms").at_most(ANSWER_MS),
        record("partial_answers", partial.into(), "answers"),
        record("silently_partial", silent.into(), "answers").at_most(0.0),
        record("whole_again", whole_ms, "ms"),
    ])
}

/// Returns the position of a daemon that owns a shard, the last of those
/// that do.
async fn find_owner(
    client: &Client,
    daemons: &[Daemon],
) -> eyre::Result<usize> {
    let answer = client.command("show shards").await;
    let answer = answer.map_err(|failure| eyre!("{failure}"))?;
    daemons
        .iter()
        .rposition(|daemon| names(&answer.rows, daemon.name()))
        .ok_or_eyre("no daemon owns a shard")
}

fn names(rows: &[Vec<TableCell>], instance: &str) -> bool {
    let name = TableCell::Text(instance.to_owned());
    rows.iter().flatten().any(|cell| *cell == name)
}
