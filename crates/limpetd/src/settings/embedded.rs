//! Settings of the embedded platform.

use super::reader::{Faults, Section};

/// The section `embedded`: the platform in memory, for trials and small sites.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(serde::Serialize)]
pub struct EmbeddedSettings {
    /// The number of workers in each data centre.
    pub workers: u64,
    /// The number of workers in each rack.
    pub workers_per_rack: u64,
    /// The number of cores of each worker.
    pub cores: u64,
    /// The memory of each worker, in mebibytes.
    pub memory_mb: u64,
    /// The number of accelerators of each worker.
    pub accelerators: u64,
    /// The actual run time of a task divided by its declared one.
    pub run_time_scale: f64,
    /// The number of runners of each service of the first configuration.
    pub runners: u64,
}

impl EmbeddedSettings {
    pub(super) fn read(
        section: &mut Section,
        faults: &mut Faults,
    ) -> EmbeddedSettings {
        let settings = EmbeddedSettings {
            workers: section.number("workers", 4, 0..=10_000, faults),
            workers_per_rack: section.number(
                "workers_per_rack",
                8,
                1..=1_000,
                faults,
            ),
            cores: section.number("cores", 16, 1..=1_024, faults),
            memory_mb: section.number(
                "memory_mb",
                65_536,
                1..=16_777_216,
                faults,
            ),
            accelerators: section.number("accelerators", 0, 0..=64, faults),
            run_time_scale: section.decimal(
                "run_time_scale",
                1.0,
                0.000_1..=100.0,
                faults,
            ),
            runners: section.number("runners", 2, 0..=64, faults),
        };
        section.finish(faults);
        settings
    }
}
