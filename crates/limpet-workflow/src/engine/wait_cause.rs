//! Why steps wait to be placed, counted for the log and for tests.

use std::{collections::BTreeMap, fmt};

/// Why tasks of a step wait to be placed.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub enum WaitCause {
    /// No scheduling pass has come to the step: the latest was too short, or
    /// none was run.
    #[default]
    Turn,
    /// The team has reached its resource limit.
    Quota,
    /// The free cores are headroom for the most urgent queues.
    Headroom,
    /// An advice request is queued or in progress.
    Advice,
    /// No worker that the step may run on has enough free resources.
    Room,
    /// Room for all members of the gang is being reserved.
    Gathering,
    /// Runs of an earlier attempt of the gang have not ended yet.
    Breaking,
    /// Workers were lost under the task, and it waits for one to itself or for
    /// news of those.
    Suspect,
}

impl fmt::Display for WaitCause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            WaitCause::Turn => "turn",
            WaitCause::Quota => "quota",
            WaitCause::Headroom => "headroom",
            WaitCause::Advice => "advice",
            WaitCause::Room => "room",
            WaitCause::Gathering => "gathering",
            WaitCause::Breaking => "breaking",
            WaitCause::Suspect => "suspect",
        })
    }
}

/// The number of waiting steps by priority of their queue and cause.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct WaitCounts(BTreeMap<(u32, WaitCause), usize>);

impl WaitCounts {
    /// Counts a waiting step.
    pub(super) fn add(&mut self, priority: u32, cause: WaitCause) {
        *self.0.entry((priority, cause)).or_default() += 1;
    }

    /// Returns whether no step waits.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns the number of steps of a priority that wait for a cause.
    pub fn get(&self, priority: u32, cause: WaitCause) -> usize {
        self.0.get(&(priority, cause)).copied().unwrap_or(0)
    }
}

impl fmt::Display for WaitCounts {
    /// Formats each count as `PRIORITY CAUSE COUNT`, separated by commas, with
    /// the most urgent priority first.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (number, ((priority, cause), count)) in self.0.iter().enumerate() {
            let separator = if number == 0 { "" } else { ", " };
            write!(f, "{separator}{priority} {cause} {count}")?;
        }
        Ok(())
    }
}
