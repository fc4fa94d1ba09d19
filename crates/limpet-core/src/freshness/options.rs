/// The durations of the freshness rule, in milliseconds.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct FreshnessOptions {
    /// How long a confirmation by the table is valid, counted from when the
    /// read was sent.
    pub table_valid_ms: u64,
    /// How long a grant is valid, counted from when its request was sent.
    pub grant_ms: u64,
    /// How long a granter honours a grant beyond its validity, for the drift
    /// between clocks.
    pub margin_ms: u64,
    /// How long after the last confirmation by the table grants alone keep
    /// knowledge fresh.
    pub grants_only_ms: u64,
}

impl FreshnessOptions {
    /// Returns the default durations: 2 s for confirmations by the table and
    /// for grants, a margin of 250 ms, and 15 min on grants alone.
    pub const fn new() -> FreshnessOptions {
        FreshnessOptions {
            table_valid_ms: 2_000,
            grant_ms: 2_000,
            margin_ms: 250,
            grants_only_ms: 900_000,
        }
    }

    /// Returns how long after its commit a change is certainly in force on
    /// every instance. An instance that hasn't received the change by then
    /// has no fresh knowledge and refuses requests.
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
