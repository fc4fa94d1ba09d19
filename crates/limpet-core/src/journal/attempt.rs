use std::fmt;

use crate::Epoch;

/// One start of a task, told apart from all others of the same task.
///
/// Attempts count from 1 in each epoch, so that an owner needs nothing from
/// its predecessors to give out a new one.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Attempt {
    /// The epoch of the owner that started it.
    pub epoch: Epoch,
    /// The count of starts by that owner, from 1.
    pub number: u32,
}

impl Attempt {
    /// Returns the attempt with this number in this epoch.
    pub const fn new(epoch: Epoch, number: u32) -> Attempt {
        Attempt { epoch, number }
    }
}

impl fmt::Display for Attempt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.epoch, self.number)
    }
}
