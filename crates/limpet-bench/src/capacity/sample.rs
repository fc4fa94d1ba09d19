use std::time::Instant;

use eyre::OptionExt;
use limpet_standin::{
    cell::{Daemon, Usage},
    platform::{PlatformServer, Port},
};

/// The counters of a daemon and its platform at one point in time.
pub(super) struct Sample {
    taken_at: Instant,
    usage: Usage,
    rows_written: f64,
    rows_read: f64,
    /// Bytes sent and received on links to other instances.
    link_bytes: f64,
    /// Bytes between the platform's workers and all daemons.
    worker_bytes: f64,
    /// Bytes between the platform's table and all daemons.
    table_bytes: f64,
}

/// The resources that a daemon used between two samples.
#[derive(Clone, Copy, Debug)]
pub(super) struct Cost {
    pub(super) cpu_percent: f64,
    pub(super) memory_mb: f64,
    pub(super) link_kb_per_s: f64,
    pub(super) worker_kb_per_s: f64,
    pub(super) table_kb_per_s: f64,
    pub(super) rows_written_per_s: f64,
    pub(super) rows_read_per_s: f64,
}

impl Sample {
    /// Reads all counters now.
    pub(super) async fn take(
        daemon: &Daemon,
        platform: &PlatformServer,
    ) -> eyre::Result<Sample> {
        let counters = daemon.client().metrics().await?;
        let counter = |name: &str| {
            counters[name]
                .as_f64()
                .ok_or_eyre("daemon lacks a counter that the benchmark reads")
        };
        let bytes = |port| platform.fault_injector().byte_count(port) as f64;
        Ok(Sample {
            taken_at: Instant::now(),
            usage: daemon.usage()?,
            rows_written: counter("table.rows_written")?,
            rows_read: counter("table.rows_read")?,
            link_bytes: counter("link.bytes_sent")?
                + counter("link.bytes_received")?,
            worker_bytes: bytes(Port::Workers),
            table_bytes: bytes(Port::Table),
        })
    }

    /// Returns the resources used since an earlier sample. Memory is the
    /// resident memory at this sample.
    pub(super) fn since(&self, earlier: &Sample) -> Cost {
        let elapsed = self.taken_at - earlier.taken_at;
        let elapsed_s = elapsed.as_secs_f64();
        let rate = |now: f64, then: f64| (now - then) / elapsed_s;
        let cpu_ms = (self.usage.cpu_ms - earlier.usage.cpu_ms) as f64;
        Cost {
            cpu_percent: cpu_ms / 10.0 / elapsed_s,
            memory_mb: self.usage.resident_bytes as f64 / 1.0e6,
            link_kb_per_s: rate(self.link_bytes, earlier.link_bytes) / 1.0e3,
            worker_kb_per_s: rate(self.worker_bytes, earlier.worker_bytes)
                / 1.0e3,
            table_kb_per_s: rate(self.table_bytes, earlier.table_bytes)
                / 1.0e3,
            rows_written_per_s: rate(self.rows_written, earlier.rows_written),
            rows_read_per_s: rate(self.rows_read, earlier.rows_read),
        }
    }
}
