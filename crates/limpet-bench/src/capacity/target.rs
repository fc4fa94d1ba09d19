//! The size that letter 1 asks for, and its budgets.

/// The workers of the cell.
pub(super) const WORKERS: f64 = 680.0;
/// The data centres, each with a shard of its own.
pub(super) const SHARDS: f64 = 5.0;
/// The tasks that run.
pub(super) const RUNNING_TASKS: f64 = 5_200.0;
/// The task starts a second at the peak.
pub(super) const STARTS_PER_S: f64 = 660.0;
/// The instances of the system.
pub(super) const INSTANCES: f64 = 7.0;

/// The processor time of a node for control, in hundredths of a core.
pub(super) const CPU_PERCENT: f64 = 3.1;
/// The memory of a node for control, in megabytes.
pub(super) const MEMORY_MB: f64 = 128.0;
/// The traffic of a node for control, in kilobytes a second.
pub(super) const TRAFFIC_KB_PER_S: f64 = 11.0;
/// The writes a second that the table takes: "several hundred".
pub(super) const TABLE_WRITES_PER_S: f64 = 300.0;
/// The reads a second that the table takes.
pub(super) const TABLE_READS_PER_S: f64 = 2_000.0;
