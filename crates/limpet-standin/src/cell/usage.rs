use std::fs;

use eyre::{OptionExt, WrapErr};

/// The clock ticks a second in which the kernel counts processor time.
const TICKS_PER_S: u64 = 100;
/// The bytes of a page of memory.
const PAGE_BYTES: u64 = 4_096;

/// What a process has used so far.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Usage {
    /// The processor time of all its threads, in milliseconds.
    pub cpu_ms: u64,
    /// The memory that it holds at the moment, in bytes.
    pub resident_bytes: u64,
}

impl Usage {
    /// Reads the use of a process.
    ///
    /// # Errors
    ///
    /// There is no such process.
    pub fn of(process: u32) -> eyre::Result<Usage> {
        let read = |name: &str| {
            let path = format!("/proc/{process}/{name}");
            fs::read_to_string(&path).wrap_err(path)
        };
        let odd = "an odd line of /proc";
        let stat = read("stat")?;
        // The name before the last parenthesis may contain anything.
        let (_, fields) = stat.rsplit_once(')').ok_or_eyre(odd)?;
        let fields: Vec<&str> = fields.split_whitespace().collect();
        let ticks = |index: usize| -> eyre::Result<u64> {
            Ok(fields.get(index).ok_or_eyre(odd)?.parse()?)
        };
        let statm = read("statm")?;
        let pages = statm.split_whitespace().nth(1).ok_or_eyre(odd)?;
        Ok(Usage {
            cpu_ms: (ticks(11)? + ticks(12)?) * 1_000 / TICKS_PER_S,
            resident_bytes: pages.parse::<u64>()? * PAGE_BYTES,
        })
    }
}
