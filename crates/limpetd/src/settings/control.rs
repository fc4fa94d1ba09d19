use super::reader::{Faults, Section};

/// Leases and intervals of the control thread.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(serde::Serialize)]
pub struct ControlSettings {
    /// How long an ownership of a shard lasts after its last renewal, in
    /// milliseconds.
    pub lease_ms: u64,
    /// How often an ownership is renewed, in milliseconds.
    pub renew_ms: u64,
    /// What two clocks may drift apart during a lease, in milliseconds.
    pub drift_ms: u64,
    /// How long a worker runs tasks without hearing of the owner, in
    /// milliseconds.
    pub worker_lease_ms: u64,
    /// How long an owner that can't reach the table goes on renewing what
    /// already runs, in milliseconds. A new owner waits as long for workers
    /// that it can't reach.
    pub detached_ms: u64,
    /// The least time between two segments of a shard, in milliseconds.
    pub commit_ms: u64,
    /// How often each worker is heard, in milliseconds.
    pub exchange_ms: u64,
    /// How often the configuration's revision is read, in milliseconds.
    pub config_poll_ms: u64,
    /// How often the platform's list is read, in milliseconds.
    pub directory_poll_ms: u64,
    /// The most records that wait for the table before work is refused.
    pub journal_limit: u64,
}

impl ControlSettings {
    pub(super) fn read(
        section: &mut Section,
        faults: &mut Faults,
    ) -> ControlSettings {
        let mut ms = |name: &str, default, least, most| {
            section.number(name, default, least..=most, faults)
        };
        let settings = ControlSettings {
            lease_ms: ms("lease_ms", 2_500, 200, 60_000),
            renew_ms: ms("renew_ms", 700, 20, 20_000),
            drift_ms: ms("drift_ms", 200, 10, 10_000),
            worker_lease_ms: ms("worker_lease_ms", 5_000, 200, 600_000),
            detached_ms: ms("detached_ms", 3_600_000, 0, 86_400_000),
            commit_ms: ms("commit_ms", 5, 0, 1_000),
            exchange_ms: ms("exchange_ms", 250, 10, 60_000),
            config_poll_ms: ms("config_poll_ms", 500, 20, 3_000),
            directory_poll_ms: ms("directory_poll_ms", 500, 20, 60_000),
            journal_limit: ms("journal_limit", 100_000, 1, 10_000_000),
        };
        section.finish(faults);
        settings
    }
}
