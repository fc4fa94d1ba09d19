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
        name: "capacity",
        about: "What each role costs, by size and at the target's size",
        run: crate::capacity::run,
    },
    Bench {
        name: "timer",
        about: "How exactly the load client keeps its schedule on this machine",
        run: crate::load::measure_schedule,
    },
    Bench {
        name: "queries",
        about: "What operators' questions cost, and what they cost others",
        run: crate::queries::run,
    },
    Bench {
        name: "decisions",
        about: "How fast the scheduler decides at the sizes of the target",
        run: crate::decisions::run,
    },
    Bench {
        name: "route",
        about: "What routing adds to a request, and how slots are shared",
        run: crate::route::run,
    },
    Bench {
        name: "overload",
        about: "Goodput, shares and retries at 1 to 5 times capacity",
        run: crate::overload::run,
    },
    Bench {
        name: "recovery",
        about: "Takeover, changes in force, and upkeep of seven instances",
        run: crate::recovery::run,
    },
    Bench {
        name: "policy",
        about: "What the placement policy is worth beside first-fit",
        run: crate::policy::run,
    },
];
