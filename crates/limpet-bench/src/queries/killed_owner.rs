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

/// The name of the case.
pub(super) const CASE: &str = "ask after a kill";
/// The longest allowed time of an answer while an instance is down.
const MAX_ANSWER_MS: f64 = 1_000.0;
/// How long queries are sent after the kill if some shard still has no new
/// owner.
const QUERY_DURATION_MS: u128 = 10_000;

/// Kills one of three daemons, queries another for all shards until each has
/// a new owner, and measures the longest answer. Answers that lack a shard
/// must name it as missing.
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
    let mut silently_partial = 0;
    let mut marked_partial = 0;
    loop {
        let start = Instant::now();
        let answer = client.command("show shards").await;
        let answer = answer.map_err(|failure| eyre!("{failure}"))?;
        longest_ms = longest_ms.max(start.elapsed().as_secs_f64() * 1_000.0);
        let complete = answer.rows.len() == DATA_CENTRES.len();
        marked_partial += u32::from(!complete && !answer.missing.is_empty());
        silently_partial += u32::from(!complete && answer.missing.is_empty());
        let is_taken_over =
            complete && !contains_name(&answer.rows, daemons[victim].name());
        if is_taken_over || killed_at.elapsed().as_millis() > QUERY_DURATION_MS
        {
            break;
        }
    }
    let complete_after_ms = killed_at.elapsed().as_secs_f64() * 1_000.0;
    let record =
        |metric, value, unit| Record::new(BENCH, CASE, metric, value, unit);
    Ok(vec![
        record("longest_answer", longest_ms, "ms").at_most(MAX_ANSWER_MS),
        record("partial_answers", marked_partial.into(), "answers"),
        record("silently_partial", silently_partial.into(), "answers")
            .at_most(0.0),
        record("whole_again", complete_after_ms, "ms"),
    ])
}

/// Returns the index of the last daemon that owns a shard.
async fn find_owner(
    client: &Client,
    daemons: &[Daemon],
) -> eyre::Result<usize> {
    let answer = client.command("show shards").await;
    let answer = answer.map_err(|failure| eyre!("{failure}"))?;
    daemons
        .iter()
        .rposition(|daemon| contains_name(&answer.rows, daemon.name()))
        .ok_or_eyre("no daemon owns a shard")
}

/// Returns whether a cell of the table holds the instance's name.
fn contains_name(rows: &[Vec<TableCell>], instance: &str) -> bool {
    let name = TableCell::Text(instance.to_owned());
    rows.iter().flatten().any(|cell| *cell == name)
}
