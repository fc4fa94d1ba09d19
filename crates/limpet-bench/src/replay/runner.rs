use super::FleetFault;

/// The number of slots of a runner.
pub const SLOTS: u32 = 8;
/// The factor by which a slow runner's run times are longer.
const SLOW_FACTOR: u64 = 10;

/// A model of a runner.
pub(super) struct Runner {
    pub(super) fault: FleetFault,
    pub(super) busy_slots: u32,
    /// The sum of the run times of all requests that it has run.
    pub(super) busy_us: u64,
}

/// How a runner handles a request that reaches it.
pub(super) enum Handling {
    /// It runs for this many microseconds.
    Runs(u64),
    /// It is refused, as a collision if all slots were in use.
    Refused { collision: bool },
    /// It fails at once.
    Fails,
    /// It occupies a slot and is never answered.
    Hangs,
}

impl Runner {
    pub(super) fn new(fault: FleetFault) -> Runner {
        Runner { fault, busy_slots: 0, busy_us: 0 }
    }

    /// Handles a request that a healthy runner would work on for `run_us`.
    pub(super) fn receive(&mut self, run_us: u64) -> Handling {
        if self.fault == FleetFault::Refuse {
            return Handling::Refused { collision: false };
        }
        if self.busy_slots >= SLOTS {
            return Handling::Refused { collision: true };
        }
        if self.fault == FleetFault::Fail {
            return Handling::Fails;
        }
        self.busy_slots += 1;
        if self.fault == FleetFault::Hang {
            return Handling::Hangs;
        }
        let slow = self.fault == FleetFault::Slow;
        let run_us = if slow { run_us * SLOW_FACTOR } else { run_us };
        self.busy_us += run_us;
        Handling::Runs(run_us)
    }

    /// Frees the slot of a request that has ended.
    pub(super) fn release_slot(&mut self) {
        self.busy_slots -= 1;
    }
}
