use std::fs;

use eyre::{OptionExt, WrapErr};

/// A timer of this thread's processor time. Unlike elapsed time, it doesn't
/// grow while other processes of a shared machine have the processor.
pub(super) struct CpuTimer {
    started_ns: u64,
}

/// The processor time that a number of task starts took.
pub(super) struct StartCost {
    pub(super) starts: usize,
    processor_ns: u64,
}

impl CpuTimer {
    pub(super) fn start() -> eyre::Result<CpuTimer> {
        Ok(CpuTimer { started_ns: processor_ns()? })
    }

    pub(super) fn stop(self, starts: usize) -> eyre::Result<StartCost> {
        Ok(StartCost {
            starts,
            processor_ns: processor_ns()? - self.started_ns,
        })
    }
}

impl StartCost {
    /// Returns the processor time per start, in microseconds.
    pub(super) fn start_us(&self) -> f64 {
        self.processor_ns as f64 / 1000.0 / self.starts.max(1) as f64
    }

    /// Returns the number of starts per second of processor time.
    pub(super) fn starts_per_s(&self) -> f64 {
        1_000_000.0 / self.start_us()
    }
}

/// Returns the processor time that this thread has used so far.
fn processor_ns() -> eyre::Result<u64> {
    let path = "/proc/thread-self/schedstat";
    let text = fs::read_to_string(path).wrap_err(path)?;
    let first = text
        .split_whitespace()
        .next()
        .ok_or_eyre("no run time in schedstat")?;
    first.parse().wrap_err(path)
}

/// Returns the resident memory of the process, including the benchmark itself,
/// in units of 1024 kB.
pub(super) fn memory_mb() -> eyre::Result<f64> {
    let path = "/proc/self/status";
    let text = fs::read_to_string(path).wrap_err(path)?;
    let line = text
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))
        .ok_or_eyre("no line VmRSS in /proc/self/status")?;
    let kb = line.trim().trim_end_matches(" kB").parse::<f64>()?;
    Ok(kb / 1024.0)
}
