//! The target size of a cell, and the budgets of an instance at that size.

/// The number of workers.
pub(super) const WORKERS: f64 = 680.0;
/// The number of shards, one for each data centre.
pub(super) const SHARDS: f64 = 5.0;
/// The number of running tasks.
pub(super) const RUNNING_TASKS: f64 = 5_200.0;
/// The number of task starts a second at the peak.
pub(super) const STARTS_PER_S: f64 = 660.0;
/// The number of instances.
pub(super) const INSTANCES: f64 = 7.0;

/// The processor time that a node may spend on control, in percent of a core.
pub(super) const CPU_PERCENT: f64 = 3.1;
/// The memory that a node may use for control, in megabytes.
pub(super) const MEMORY_MB: f64 = 128.0;
/// The network traffic that a node may cause by control, in kilobytes a
/// second.
pub(super) const TRAFFIC_KB_PER_S: f64 = 11.0;
/// The number of rows that all instances together may write to the table a
/// second. The target says "several hundred".
pub(super) const TABLE_WRITES_PER_S: f64 = 300.0;
/// The number of rows that all instances together may read from the table a
/// second.
pub(super) const TABLE_READS_PER_S: f64 = 2_000.0;
