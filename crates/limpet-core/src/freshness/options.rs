/// The times of the freshness rule.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct FreshnessOptions {
    /// How long a confirmation by the table holds from when the read left.
    pub table_valid_ms: u64,
    /// How long a grant holds from when the request left.
    pub grant_ms: u64,
    /// What a granter waits beyond its grants, for clocks that run
    /// unevenly.
    pub margin_ms: u64,
    /// How long after the last confirmation by the table grants may stand
    /// in for it.
    pub grants_only_ms: u64,
}

impl FreshnessOptions {
    /// Returns 2 s for the table and for grants, a quarter of a second of
    /// margin, and a quarter of an hour on grants alone.
    pub const fn new() -> FreshnessOptions {
        FreshnessOptions {
            table_valid_ms: 2_000,
            grant_ms: 2_000,
            margin_ms: 250,
            grants_only_ms: 900_000,
        }
    }

    /// Returns how long after its commit a change is certainly in force
    /// everywhere: whoever has not got it by then refuses.
    pub const fn in_force_ms(&self) -> u64 {
        let bound_ms = if self.table_valid_ms > self.grant_ms {
            self.table_valid_ms
        } else {
            self.grant_ms
        };
        bound_ms + self.margin_ms
    }
}

impl Default for FreshnessOptions {
    fn default() -> FreshnessOptions {
        FreshnessOptions::new()
    }
}
