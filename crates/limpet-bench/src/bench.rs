use super::{options::BenchOptions, record::Record};

/// A bench: its subcommand and what it runs.
pub struct Bench {
    /// The name of the subcommand.
    pub name: &'static str,
    /// What it measures, in a line of the help.
    pub about: &'static str,
    /// Measures and returns the records, or the fault that kept it from
    /// measuring.
    pub run: fn(&BenchOptions) -> eyre::Result<Vec<Record>>,
}

/// Every bench, one row each.
pub const BENCHES: &[Bench] = &[
    Bench {
        name: "path",
        about: "Jobs and requests through one daemon on loopback",
        run: crate::path::run,
    },
    Bench {
        name: "timer",
        about: "How exactly the load client keeps its schedule on this machine",
        run: crate::load::measure_schedule,
    },
    Bench {
        name: "decisions",
        about: "How fast the scheduler decides at the sizes of the target",
        run: crate::decisions::run,
    },
    Bench {
        name: "policy",
        about: "What the placement policy is worth beside first-fit",
        run: crate::policy::run,
    },
];
