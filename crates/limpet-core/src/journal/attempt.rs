use std::fmt;

use crate::Epoch;

/// Identifies one start of a task among all starts of the same task.
///
/// Attempts are numbered from 1 in each epoch, so that an owner can assign a
/// new number without knowing those of earlier owners.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Attempt {
    /// The epoch of the owner that started it.
    pub epoch: Epoch,
    /// The number of the start among those by that owner, from 1.
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
