//! The work of scheduling passes, counted independently of the machine.

use super::Engine;

impl Engine {
    /// Returns the number of workers, claims and waiting steps that scheduling
    /// passes have examined so far, each as often as it was examined.
    pub fn examined(&self) -> u64 {
        self.examined.get()
    }

    /// Counts workers, claims or steps that a scheduling pass examines.
    pub(super) fn count_examined(&self, count: usize) {
        self.examined.set(self.examined.get() + count as u64);
    }
}
