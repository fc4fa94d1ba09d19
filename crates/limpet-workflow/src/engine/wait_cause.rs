use std::{collections::BTreeMap, fmt};

/// Why tasks of a step wait for a place.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum WaitCause {
    /// Its team has all running that it may have.
    Quota,
    /// What is free is kept for the most urgent queue.
    Headroom,
    /// A call for advice is under way or waits for a lane.
    Advice,
    /// No worker that it may run on has room.
    Room,
    /// Room for all members of its gang is being gathered.
    Gathering,
    /// An earlier run of its gang has yet to end.
    Breaking,
}

impl fmt::Display for WaitCause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            WaitCause::Quota => "quota",
            WaitCause::Headroom => "headroom",
            WaitCause::Advice => "advice",
            WaitCause::Room => "room",
            WaitCause::Gathering => "gathering",
            WaitCause::Breaking => "breaking",
        })
    }
}

/// Counts of waiting steps by the priority of their queue and the cause.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct WaitCounts(BTreeMap<(u32, WaitCause), usize>);

impl WaitCounts {
    /// Adds a step.
    pub(super) fn add(&mut self, priority: u32, cause: WaitCause) {
        *self.0.entry((priority, cause)).or_default() += 1;
    }

    /// Says whether no step waits.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns the steps of a priority that wait for a cause.
    pub fn get(&self, priority: u32, cause: WaitCause) -> usize {
        self.0.get(&(priority, cause)).copied().unwrap_or(0)
    }
}

impl fmt::Display for WaitCounts {
    /// Writes each count as `PRIORITY CAUSE COUNT`, the most urgent first.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (number, ((priority, cause), count)) in self.0.iter().enumerate() {
            let separator = if number == 0 { "" } else { ", " };
            write!(f, "{separator}{priority} {cause} {count}")?;
        }
        Ok(())
    }
}
