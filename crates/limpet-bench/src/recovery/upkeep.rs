use std::time::{Duration, Instant};

use eyre::{Result, eyre};
use limpet_standin::cell::Daemon;

use super::{BENCH, SEVEN};
use crate::{bench_cell::BenchCell, options::BenchOptions, record::Record};

pub(super) const CASE: &str = "upkeep of an idle cell";
/// What the instances of a cell may write to the table, in rows a second.
const ROWS_WRITTEN: f64 = 100.0;
/// What the instances of a cell may read from the table, in rows a second.
const ROWS_READ: f64 = 300.0;
/// What a node may spend on the link to its peers, in bytes a second.
const LINK_BYTES: f64 = 11_000.0;

/// The counters that upkeep moves, summed over instances.
#[derive(Clone, Copy, Default)]
struct Counters {
    written: f64,
    read: f64,
    link_bytes: f64,
    exchanges: f64,
}

/// Measures what seven instances cost while nobody asks for anything.
pub(super) async fn measure(options: &BenchOptions) -> Result<Vec<Record>> {
    let cell = BenchCell::start(options, &SEVEN).await?;
    let start = Instant::now();
    let before = read_all(&cell.daemons).await?;
    let duration = Duration::from_millis(options.duration_ms);
    actix_rt::time::sleep(duration).await;
    let after = read_all(&cell.daemons).await?;
    let seconds = start.elapsed().as_secs_f64();
    let rate = |after: f64, before: f64| (after - before) / seconds;
    let record =
        |metric, value, unit| Record::new(BENCH, CASE, metric, value, unit);
    let per_node =
        rate(after.link_bytes, before.link_bytes) / SEVEN.len() as f64;
    Ok(vec![
        record("rows_written", rate(after.written, before.written), "rows/s")
            .at_most(ROWS_WRITTEN),
        record("rows_read", rate(after.read, before.read), "rows/s")
            .at_most(ROWS_READ),
        record("link_bytes_a_node", per_node, "B/s").at_most(LINK_BYTES),
        record(
            "worker_messages",
            rate(after.exchanges, before.exchanges),
            "messages/s",
        ),
    ])
}

async fn read_all(daemons: &[Daemon]) -> Result<Counters> {
    let mut sum = Counters::default();
    for daemon in daemons {
        let metrics = daemon.client().metrics().await;
        let metrics = metrics.map_err(|err| eyre!("{err:?}"))?;
        let get = |name: &str| metrics[name].as_f64().unwrap_or_default();
        sum.written += get("table.rows_written");
        sum.read += get("table.rows_read");
        sum.link_bytes += get("link.bytes_sent") + get("link.bytes_received");
        sum.exchanges += get("workers.exchanges");
    }
    Ok(sum)
}
