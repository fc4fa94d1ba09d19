use super::FleetFault;

/// The slots of a runner.
pub const SLOTS: u32 = 8;
/// How many times as long a slow runner takes.
const SLOW_FACTOR: u64 = 10;

/// A fake runner.
pub(super) struct Runner {
    pub(super) fault: FleetFault,
    pub(super) busy: u32,
    pub(super) busy_us: u64,
}

/// What a runner does with a request.
pub(super) enum Taken {
    /// It runs so long.
    Runs(u64),
    /// It is refused; a collision where all slots were in use.
    Refused { collision: bool },
    /// It fails at once.
    Fails,
    /// It holds a slot and never ends.
    Hangs,
}

impl Runner {
    pub(super) fn new(fault: FleetFault) -> Runner {
        Runner { fault, busy: 0, busy_us: 0 }
    }

    pub(super) fn take(&mut self, run_us: u64) -> Taken {
        if self.fault == FleetFault::Refuse {
            return Taken::Refused { collision: false };
        }
        if self.busy >= SLOTS {
            return Taken::Refused { collision: true };
        }
        if self.fault == FleetFault::Fail {
            return Taken::Fails;
        }
        self.busy += 1;
        if self.fault == FleetFault::Hang {
            return Taken::Hangs;
        }
        let slow = self.fault == FleetFault::Slow;
        let run_us = if slow { run_us * SLOW_FACTOR } else { run_us };
        self.busy_us += run_us;
        Taken::Runs(run_us)
    }

    pub(super) fn end(&mut self) {
        self.busy -= 1;
    }
}
