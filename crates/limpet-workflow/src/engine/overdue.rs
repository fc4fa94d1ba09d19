//! Gangs that miss their objective don't starve.
//!
//! In a cell that is full for long, gangs that are on time take all the room
//! that there is, and large gangs, which are broken more often and need more
//! room at once, are late more often. From time to time the largest late gang
//! is placed as if it were on time.

use limpet_core::TimeMs;

use super::{
    Engine,
    schedule::{Lateness, Rank},
};
use crate::key::StepKey;

/// The time between two promotions. Room that a late gang takes makes others
/// late, so this bounds it to a small share of the cell.
const PERIOD_MS: u64 = 4_000;

/// The late gang that is placed as if it were on time.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Overdue {
    step: Option<StepKey>,
    promoted_at: TimeMs,
}

impl Engine {
    /// Ranks the promoted gang as on time, and promotes another one if it has
    /// started or ended. `order` stays sorted.
    pub(super) fn promote_overdue(
        &mut self,
        order: &mut [(Rank, StepKey)],
        now: TimeMs,
    ) {
        let is_late = |(rank, key): &&(Rank, StepKey)| {
            rank.lateness == Lateness::Late
                && rank.less_urgent
                && self.gang_cores_milli(*key).is_some()
        };
        let promoted = self.overdue.step;
        let is_waiting = promoted.is_some_and(|step| {
            order.iter().filter(is_late).any(|(_, key)| *key == step)
        });
        if !is_waiting {
            let is_due = promoted.is_none()
                || now.ms_since(self.overdue.promoted_at) >= PERIOD_MS;
            if !is_due {
                return;
            }
            let largest = order
                .iter()
                .filter(is_late)
                .max_by_key(|(_, key)| self.gang_cores_milli(*key));
            let Some((_, step)) = largest else { return };
            self.overdue = Overdue { step: Some(*step), promoted_at: now };
        }
        let step = self.overdue.step;
        for (rank, key) in order.iter_mut() {
            if Some(*key) == step {
                rank.lateness = Lateness::OnTime;
            }
        }
        order.sort();
    }

    /// Returns the cores of the members of a gang that are not done, in
    /// thousandths; `None` for a step that is no gang.
    fn gang_cores_milli(&self, key: StepKey) -> Option<u64> {
        let job = self.jobs.get(&key.job)?;
        let spec = job.step_spec(key.step);
        let step = job.step(key.occurrence, key.step);
        let remaining = u64::from(step.remaining);
        spec.gang.then_some(remaining * spec.task.cores_milli)
    }
}
