use std::time::{Duration, Instant};

use eyre::{Result, eyre};
use limpet_standin::cell::Daemon;

use super::{BENCH, INSTANCE_DATA_CENTRES};
use crate::{bench_cell::BenchCell, options::BenchOptions, record::Record};

/// The name of the case.
pub(super) const CASE: &str = "upkeep of an idle cell";
/// The most rows that all instances together may write to the table a second.
const MAX_ROWS_WRITTEN_PER_S: f64 = 100.0;
/// The most rows that all instances together may read from the table a second.
const MAX_ROWS_READ_PER_S: f64 = 300.0;
/// The most bytes that an instance may exchange with its peers over the link
/// a second.
const MAX_LINK_BYTES_PER_S: f64 = 11_000.0;

/// Counters summed over all instances.
#[derive(Clone, Copy, Default)]
struct Counters {
    rows_written: f64,
    rows_read: f64,
    /// Bytes sent and received on links between instances.
    link_bytes: f64,
    /// Exchanges with workers.
    exchanges: f64,
}

/// Measures the traffic of seven instances without jobs or requests.
pub(super) async fn measure(options: &BenchOptions) -> Result<Vec<Record>> {
    let cell = BenchCell::start(options, &INSTANCE_DATA_CENTRES).await?;
    let start = Instant::now();
    let before = sum_counters(&cell.daemons).await?;
    let duration = Duration::from_millis(options.duration_ms);
    actix_rt::time::sleep(duration).await;
    let after = sum_counters(&cell.daemons).await?;
    let elapsed_s = start.elapsed().as_secs_f64();
    let rate = |after: f64, before: f64| (after - before) / elapsed_s;
    let record =
        |metric, value, unit| Record::new(BENCH, CASE, metric, value, unit);
    let link_bytes_per_s = rate(after.link_bytes, before.link_bytes)
        / INSTANCE_DATA_CENTRES.len() as f64;
    Ok(vec![
        record(
            "rows_written",
            rate(after.rows_written, before.rows_written),
            "rows/s",
        )
        .at_most(MAX_ROWS_WRITTEN_PER_S),
        record("rows_read", rate(after.rows_read, before.rows_read), "rows/s")
            .at_most(MAX_ROWS_READ_PER_S),
        record("link_bytes_a_node", link_bytes_per_s, "B/s")
            .at_most(MAX_LINK_BYTES_PER_S),
        record(
            "worker_messages",
            rate(after.exchanges, before.exchanges),
            "messages/s",
        ),
    ])
}

/// Reads the counters of all daemons and sums them.
async fn sum_counters(daemons: &[Daemon]) -> Result<Counters> {
    let mut sum = Counters::default();
    for daemon in daemons {
        let metrics = daemon.client().metrics().await;
        let metrics =
            metrics.map_err(|err| eyre!("can't read the metrics: {err:?}"))?;
        let counter = |name: &str| metrics[name].as_f64().unwrap_or_default();
        sum.rows_written += counter("table.rows_written");
        sum.rows_read += counter("table.rows_read");
        sum.link_bytes +=
            counter("link.bytes_sent") + counter("link.bytes_received");
        sum.exchanges += counter("workers.exchanges");
    }
    Ok(sum)
}
