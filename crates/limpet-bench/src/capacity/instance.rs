use std::time::Duration;

use super::{
    metric_records,
    owner::{start_daemon, start_platform, wait_until_accepting},
    sample::{Cost, Sample},
    target,
};
use crate::{options::BenchOptions, record::Record};

/// The name of the case.
pub(super) const CASE: &str = "entry instance";
/// The numbers of instances in the cell at which the cost is measured.
const SIZES: [u32; 3] = [2, 4, 7];
/// The number of workers in the cell.
const WORKERS: u32 = 8;

/// Measures an instance that owns no shard, by the number of instances.
pub(super) async fn measure(
    options: &BenchOptions,
) -> eyre::Result<Vec<Record>> {
    let mut costs = Vec::new();
    for instances in SIZES {
        let cost = measure_size(instances, options).await?;
        costs.push((f64::from(instances), cost));
    }
    let points = |of: fn(&Cost) -> f64| -> Vec<(f64, f64)> {
        costs.iter().map(|(x, cost)| (*x, of(cost))).collect()
    };
    let metric = |name, unit, of, budget| {
        let target = (target::INSTANCES, budget);
        metric_records(CASE, name, unit, "instances", &points(of), target)
    };
    let mut records = metric(
        "cpu",
        "% of a core",
        |c| c.cpu_percent,
        Some(target::CPU_PERCENT),
    );
    records.extend(metric(
        "memory",
        "MB",
        |c| c.memory_mb,
        Some(target::MEMORY_MB),
    ));
    records.extend(metric(
        "link",
        "KB/s",
        |c| c.link_kb_per_s,
        Some(target::TRAFFIC_KB_PER_S),
    ));
    records.extend(metric(
        "rows_read",
        "rows/s",
        |c| c.rows_read_per_s,
        Some(target::TABLE_READS_PER_S / target::INSTANCES),
    ));
    Ok(records)
}

async fn measure_size(
    instances: u32,
    options: &BenchOptions,
) -> eyre::Result<Cost> {
    let platform = start_platform(WORKERS)?;
    let mut daemons = Vec::new();
    for number in 1..=instances {
        let name = format!("bench-{number}");
        let address = platform.address();
        daemons.push(start_daemon(&name, address, options).await?);
        if number == 1 {
            // The first instance owns the only shard before the others start.
            wait_until_accepting(&daemons[0].client()).await?;
        }
    }
    let measured = &daemons[daemons.len() - 1];
    wait_until_accepting(&measured.client()).await?;
    let before = Sample::take(measured, &platform).await?;
    let duration = Duration::from_millis(options.duration_ms);
    actix_rt::time::sleep(duration).await;
    let after = Sample::take(measured, &platform).await?;
    Ok(after.since(&before))
}
