use std::fs;

use eyre::{OptionExt, WrapErr};

/// Measures the processor time of this thread, which the other processes of
/// a shared machine don't add to.
pub(super) struct Meter {
    from_ns: u64,
}

/// What some starts took.
pub(super) struct Spent {
    pub(super) starts: usize,
    processor_ns: u64,
}

impl Meter {
    pub(super) fn start() -> eyre::Result<Meter> {
        Ok(Meter { from_ns: processor_ns()? })
    }

    pub(super) fn stop(self, starts: usize) -> eyre::Result<Spent> {
        Ok(Spent { starts, processor_ns: processor_ns()? - self.from_ns })
    }
}

impl Spent {
    pub(super) fn start_us(&self) -> f64 {
        self.processor_ns as f64 / 1000.0 / self.starts.max(1) as f64
    }

    pub(super) fn starts_per_s(&self) -> f64 {
        1_000_000.0 / self.start_us()
    }
}

fn processor_ns() -> eyre::Result<u64> {
    let path = "/proc/thread-self/schedstat";
    let text = fs::read_to_string(path).wrap_err(path)?;
    let first = text.split_whitespace().next().ok_or_eyre("no figure")?;
    first.parse().wrap_err(path)
}

/// Returns the resident memory of the whole process, the bench included.
pub(super) fn memory_mb() -> eyre::Result<f64> {
    let path = "/proc/self/status";
    let text = fs::read_to_string(path).wrap_err(path)?;
    let line = text
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))
        .ok_or_eyre("no line VmRSS")?;
    let kb = line.trim().trim_end_matches(" kB").parse::<f64>()?;
    Ok(kb / 1024.0)
}
