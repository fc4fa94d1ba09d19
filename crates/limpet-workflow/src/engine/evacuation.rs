//! Evacuation of data centres: nothing new starts there, and tasks that last
//! are moved away. `docs/design/evacuation.md` has the reasons.
//!
//! [`Worker::evacuated`] decides in [`Worker::is_usable`], and once more before
//! each start order.

use std::{collections::BTreeSet, fmt};

use limpet_core::TimeMs;

use super::{
    Engine, Moment,
    evacuation_moves::{Moves, Stay},
    job::{ClaimPhase, Job},
};
use crate::{
    effect::{Effect, StopReason},
    worker::{Worker, WorkerSlot},
};

/// The runs in evacuated data centres, for the log and the metrics.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct EvacuationState {
    /// The number of evacuated data centres, also those without workers.
    pub data_centres: usize,
    /// Their workers.
    pub workers: usize,
    /// The claims on these: runs that may be in progress.
    pub runs: usize,
    /// The tasks that this engine has moved away.
    pub moves: u64,
    /// Why the runs are still there.
    pub stays: EvacuationStays,
}

/// The number of runs in evacuated data centres, by why they are there.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct EvacuationStays {
    /// They end by themselves.
    pub ending: usize,
    /// They have been ordered to stop.
    pub stopping: usize,
    /// They last, and other workers have no room for one of them, or the team
    /// is over its limit.
    pub room: usize,
    /// They last, and advice about other workers is needed first.
    pub advice: usize,
    /// They last, and another task of their step has to run again first.
    pub turn: usize,
    /// They are a gang that lasts and is larger than its `max_away`.
    pub max_away: usize,
}

impl fmt::Display for EvacuationStays {
    /// Formats each count that is not 0 as `CAUSE COUNT`, separated by commas.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let counts = [
            ("ending", self.ending),
            ("stopping", self.stopping),
            ("room", self.room),
            ("advice", self.advice),
            ("turn", self.turn),
            ("max_away", self.max_away),
        ];
        let mut separator = "";
        for (cause, count) in counts.iter().filter(|(_, count)| *count > 0) {
            write!(f, "{separator}{cause} {count}")?;
            separator = ", ";
        }
        Ok(())
    }
}

/// The evacuated data centres, and what is done about them.
#[derive(Debug, Default)]
pub(super) struct Evacuation {
    /// The names of the data centres.
    pub(super) data_centres: BTreeSet<String>,
    /// The workers there that may have claims without a start order.
    unsent: Vec<WorkerSlot>,
    pub(super) moves: Moves,
}

impl Engine {
    /// Sets the evacuated data centres. Workers there get nothing new from
    /// now on: reservations there are cancelled, and the next scheduling pass
    /// places tasks elsewhere whose start order was not sent. Runs there go
    /// on.
    pub fn set_evacuations(
        &mut self,
        data_centres: BTreeSet<String>,
        now: Moment,
    ) {
        self.evacuation.data_centres = data_centres;
        for slot in self.worker_slots() {
            self.update_evacuated(slot, now);
        }
    }

    /// Returns the evacuated data centres.
    pub fn evacuations(&self) -> &BTreeSet<String> {
        &self.evacuation.data_centres
    }

    /// Returns whether a worker is in an evacuated data centre. A start order
    /// to it must not be sent.
    pub fn is_evacuated(&self, slot: WorkerSlot) -> bool {
        self.workers[slot as usize].evacuated
    }

    /// Determines whether a worker is in an evacuated data centre. Takes back
    /// what is not sent to it yet if it is one from now on.
    pub(super) fn update_evacuated(&mut self, slot: WorkerSlot, now: Moment) {
        let worker = &mut self.workers[slot as usize];
        let is_evacuated =
            self.evacuation.data_centres.contains(&worker.listing.data_centre);
        if worker.evacuated == is_evacuated {
            return;
        }
        worker.evacuated = is_evacuated;
        self.largest_capacities.clear();
        if is_evacuated {
            self.cancel_reservations_on(slot);
            self.withdraw_starts(slot, now);
            self.evacuation.unsent.push(slot);
        }
    }

    /// Releases the claims in evacuated data centres for which no start order
    /// was sent, so that this scheduling pass places their tasks elsewhere.
    pub(super) fn release_evacuated(&mut self, now: Moment) {
        for slot in std::mem::take(&mut self.evacuation.unsent) {
            if self.is_evacuated(slot) {
                self.release_unsent(slot, now);
            }
        }
    }

    /// Removes the start orders to a worker from the effects that were not
    /// taken. The run of an order that is sent for the first time is placed
    /// elsewhere; that of a repeated one is stopped.
    fn withdraw_starts(&mut self, slot: WorkerSlot, now: Moment) {
        let is_withdrawn = |effect: &mut Effect| matches!(effect, Effect::Start(order) if order.worker == slot);
        let withdrawn: Vec<Effect> =
            self.effects.extract_if(.., is_withdrawn).collect();
        for effect in withdrawn {
            let Effect::Start(order) = effect else { continue };
            let Some(claim) = self.claim_mut(order.task) else { continue };
            if claim.run != order.run || claim.phase != ClaimPhase::Starting {
                continue;
            }
            if claim.unanswered == 0 {
                claim.phase = ClaimPhase::Committing;
            }
            self.stop_task(order.task, StopReason::Unanswered, now);
        }
    }

    /// Returns the state of the evacuations.
    pub fn evacuation_state(&self) -> EvacuationState {
        let mut state = EvacuationState {
            data_centres: self.evacuation.data_centres.len(),
            moves: self.evacuation.moves.total,
            ..EvacuationState::default()
        };
        for worker in self.workers.iter().filter(|worker| worker.evacuated) {
            state.workers += usize::from(worker.listed);
            for task in worker.claims.keys() {
                state.runs += 1;
                let stays = &mut state.stays;
                let is_stopping = matches!(
                    self.claim_phase(*task),
                    Some(ClaimPhase::Stopping | ClaimPhase::Stopped)
                );
                let lasts =
                    |job: &Job| job.step_spec(task.step.step).long_running;
                let count = if is_stopping {
                    &mut stays.stopping
                } else if !self.jobs.get(&task.step.job).is_some_and(lasts) {
                    &mut stays.ending
                } else {
                    match self.evacuation.moves.stays.get(&task.step) {
                        Some(Stay::Room) => &mut stays.room,
                        Some(Stay::Advice) => &mut stays.advice,
                        Some(Stay::MaxAway) => &mut stays.max_away,
                        Some(Stay::Turn) | None => &mut stays.turn,
                    }
                };
                *count += 1;
            }
        }
        state
    }

    /// Returns whether workers are listed and all of them are in evacuated
    /// data centres, so that nothing can start.
    pub fn is_all_evacuated(&self) -> bool {
        let mut listed = self.workers.iter().filter(|worker| worker.listed);
        !self.evacuation.data_centres.is_empty()
            && self.workers.iter().any(|worker| worker.listed)
            && listed.all(|worker| worker.evacuated)
    }
}

impl Worker {
    /// Records from its registration how long it stays slow.
    pub(super) fn record_cold(&mut self, now: TimeMs) {
        self.cold_until = match self.listing.cold_left_ms {
            0 => TimeMs::ZERO,
            left_ms => now.plus_ms(left_ms),
        };
        self.update_cold(now);
    }

    /// Determines whether it is still slow.
    pub(super) fn update_cold(&mut self, now: TimeMs) {
        self.is_cold = now < self.cold_until;
    }
}
