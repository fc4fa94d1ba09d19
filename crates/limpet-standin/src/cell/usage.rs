use std::fs;

use eyre::{OptionExt, WrapErr};

/// The ticks in a second, in which the kernel reports processor time.
const TICKS_PER_S: u64 = 100;
/// The size of a memory page.
const PAGE_BYTES: u64 = 4_096;

/// The resources that a process uses.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Usage {
    /// The processor time of all its threads so far, in milliseconds.
    pub cpu_ms: u64,
    /// Its resident memory at the moment, in bytes.
    pub resident_bytes: u64,
}

impl Usage {
    /// Reads the resources that the process with this id uses from `/proc`.
    ///
    /// # Errors
    ///
    /// Fails if there is no such process.
    pub fn of(process: u32) -> eyre::Result<Usage> {
        let read = |name: &str| {
            let path = format!("/proc/{process}/{name}");
            fs::read_to_string(&path).wrap_err(path)
        };
        let malformed = "a file of /proc lacks a field";
        let stat = read("stat")?;
        // The fields follow the program's name, which is in parentheses and
        // may itself contain parentheses and spaces.
        let (_, fields) = stat.rsplit_once(')').ok_or_eyre(malformed)?;
        let fields: Vec<&str> = fields.split_whitespace().collect();
        let ticks = |index: usize| -> eyre::Result<u64> {
            Ok(fields.get(index).ok_or_eyre(malformed)?.parse()?)
        };
        let statm = read("statm")?;
        let pages = statm.split_whitespace().nth(1).ok_or_eyre(malformed)?;
        Ok(Usage {
            // The time in user mode and in the kernel.
            cpu_ms: (ticks(11)? + ticks(12)?) * 1_000 / TICKS_PER_S,
            resident_bytes: pages.parse::<u64>()? * PAGE_BYTES,
        })
    }
}
