use super::{options::BenchOptions, record::Record};

/// A benchmark and its subcommand.
pub struct Bench {
    /// The name of the subcommand.
    pub name: &'static str,
    /// A line for the help that tells what the benchmark measures.
    pub about: &'static str,
    /// Runs the benchmark and returns its records, or the error that kept it
    /// from measuring.
    pub run: fn(&BenchOptions) -> eyre::Result<Vec<Record>>,
}

/// All benchmarks.
pub const BENCHES: &[Bench] = &[
    Bench {
        name: "path",
        about: "Job submission and request routing through one daemon",
        run: crate::path::run,
    },
    Bench {
        name: "capacity",
        about: "Resources used by each role, by size and at the target size",
        run: crate::capacity::run,
    },
    Bench {
        name: "timer",
        about: "Precision of the load client's schedule on this machine",
        run: crate::load::measure_schedule,
    },
    Bench {
        name: "queries",
        about: "Latency of operators' queries and their effect on submissions",
        run: crate::queries::run,
    },
    Bench {
        name: "decisions",
        about: "Speed of scheduling decisions at and around the target size",
        run: crate::decisions::run,
    },
    Bench {
        name: "route",
        about: "Latency added by routing, and ways to share runners' slots",
        run: crate::route::run,
    },
    Bench {
        name: "overload",
        about: "Goodput, fair shares and retries at 1 to 5 times the capacity",
        run: crate::overload::run,
    },
    Bench {
        name: "recovery",
        about: "Takeover time, propagation of changes and idle traffic",
        run: crate::recovery::run,
    },
    Bench {
        name: "policy",
        about: "The placement policy compared with first-fit placement",
        run: crate::policy::run,
    },
];
