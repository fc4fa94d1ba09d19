//! Settings of the control thread.

use super::reader::{Faults, Section};

/// The section `control`: leases and intervals of the control thread.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(serde::Serialize)]
pub struct ControlSettings {
    /// How long an ownership of a shard lasts after its last renewal, in
    /// milliseconds.
    pub lease_ms: u64,
    /// How often an ownership is renewed, in milliseconds.
    pub renew_ms: u64,
    /// How far two clocks may drift apart during a lease, in milliseconds.
    pub drift_ms: u64,
    /// How long a worker goes on running tasks after the owner's last renewal,
    /// in milliseconds.
    pub worker_lease_ms: u64,
    /// How long an owner that can't reach the table goes on renewing the
    /// leases of running tasks, in milliseconds. A new owner waits at least as
    /// long for workers that it can't reach.
    pub detached_ms: u64,
    /// The shortest time between two segments of a shard's journal, in
    /// milliseconds.
    pub commit_ms: u64,
    /// How often messages are exchanged with each worker, in milliseconds.
    pub exchange_ms: u64,
    /// How often the configuration's revision is read, in milliseconds.
    pub config_poll_ms: u64,
    /// How often the platform's list is read, in milliseconds.
    pub directory_poll_ms: u64,
    /// The most records of a shard that may wait to be written to the table
    /// before new work is refused.
    pub journal_limit: u64,
}

impl ControlSettings {
    pub(super) fn read(
        section: &mut Section,
        faults: &mut Faults,
    ) -> ControlSettings {
        let mut number = |name: &str, default, min, max| {
            section.number(name, default, min..=max, faults)
        };
        let settings = ControlSettings {
            lease_ms: number("lease_ms", 2_500, 200, 60_000),
            renew_ms: number("renew_ms", 700, 20, 20_000),
            drift_ms: number("drift_ms", 200, 10, 10_000),
            worker_lease_ms: number("worker_lease_ms", 5_000, 200, 600_000),
            detached_ms: number("detached_ms", 3_600_000, 0, 86_400_000),
            commit_ms: number("commit_ms", 5, 0, 1_000),
            exchange_ms: number("exchange_ms", 250, 10, 60_000),
            config_poll_ms: number("config_poll_ms", 500, 20, 3_000),
            directory_poll_ms: number("directory_poll_ms", 500, 20, 60_000),
            journal_limit: number("journal_limit", 100_000, 1, 10_000_000),
        };
        section.finish(faults);
        settings
    }
}
