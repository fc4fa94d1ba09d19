//! Orders: sent once their claims are durable, answered or not.

use super::{
    Engine, Moment,
    job::{ClaimPhase, Task},
};
use crate::{
    effect::{Effect, StartOrder},
    key::TaskKey,
    progress::JobPhase,
    worker::WorkerSlot,
};

/// Starts without an answer after which the run is stopped instead.
const MAX_UNANSWERED_STARTS: u32 = 3;

/// What became of an order to start a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StartOutcome {
    /// It runs.
    Running,
    /// The worker has seen a run of the task that is as high.
    Superseded,
    /// The hold had lapsed on the worker's clock.
    Late,
    /// The worker has no room.
    NoRoom,
    /// The ticket isn't valid.
    BadTicket,
    /// The worker can't, or takes the order for a bad one.
    Refused,
    /// A life of the worker that it wasn't meant for answered.
    OtherLife,
    /// An owner with a higher fencing token was there.
    Fenced,
    /// No answer; it may have been carried out, or may be later.
    Unknown,
}

impl Engine {
    /// Sends the start of a claim if its version is durable; false where it
    /// has to wait on.
    pub(super) fn send_if_committed(
        &mut self,
        key: TaskKey,
        committed: u64,
        now: Moment,
    ) -> bool {
        let Some(claim) = self
            .jobs
            .get(&key.step.job)
            .and_then(|job| job.get_task(key))
            .and_then(|task| task.claim.as_ref())
        else {
            return true;
        };
        if claim.phase != ClaimPhase::Committing {
            return true;
        }
        if claim.version > committed {
            return false;
        }
        let worker = &self.workers[claim.worker as usize];
        let same_life = worker.listing.incarnation == claim.incarnation;
        let expired = claim
            .ticket
            .as_ref()
            .is_some_and(|ticket| !ticket.is_valid(now.steady));
        if !worker.is_alive_for_start() || !same_life || expired {
            self.lose_claim(key, now);
            return true;
        }
        self.send_start(key, now);
        true
    }

    fn send_start(&mut self, key: TaskKey, now: Moment) {
        let Some(job) = self.jobs.get_mut(&key.step.job) else { return };
        let payload = job.record.spec.payload.clone();
        let Some(task) = job.get_task_mut(key) else { return };
        let checkpoint = task.checkpoint.clone();
        let Some(claim) = &mut task.claim else { return };
        claim.phase = ClaimPhase::Starting;
        claim.since = now.steady;
        self.effects.push(Effect::Start(StartOrder {
            worker: claim.worker,
            task: key,
            run: claim.run,
            payload,
            checkpoint,
            ticket: claim.ticket.as_ref().map(|one| one.ticket.clone()),
        }));
    }

    /// Records that a task of a job has begun.
    pub(super) fn note_begun(&mut self, key: TaskKey) {
        if let Some(job) = self.jobs.get_mut(&key.step.job)
            && job.phase == JobPhase::Queued
        {
            job.phase = JobPhase::Running;
        }
    }

    /// Takes in what became of an order to start a run.
    pub fn report_start(
        &mut self,
        slot: WorkerSlot,
        key: TaskKey,
        run: u32,
        outcome: StartOutcome,
        now: Moment,
    ) {
        if outcome == StartOutcome::Unknown {
            self.workers[slot as usize]
                .unanswered
                .push((key, run, now.steady));
        }
        let Some(claim) = self.starting_claim(slot, key, run) else { return };
        match outcome {
            StartOutcome::Running => {
                claim.phase = ClaimPhase::Running;
                claim.since = now.steady;
                claim.progress.started_at = now.steady;
                self.note_begun(key);
            }
            StartOutcome::Unknown => {
                claim.unanswered += 1;
                if claim.unanswered >= MAX_UNANSWERED_STARTS {
                    self.stop_task(key, now);
                } else {
                    self.send_start(key, now);
                }
            }
            StartOutcome::Fenced => {}
            // An earlier try of the same start may still be carried out.
            _ if claim.unanswered > 0 => self.stop_task(key, now),
            StartOutcome::BadTicket => {
                self.forget_ticket(slot, key);
                self.lose_claim(key, now);
            }
            StartOutcome::NoRoom | StartOutcome::Refused => {
                let worker = &mut self.workers[slot as usize];
                worker.quarantined_until =
                    now.steady.plus_ms(super::schedule::REFUSED_PAUSE_MS);
                self.lose_claim(key, now);
            }
            StartOutcome::Superseded
            | StartOutcome::Late
            | StartOutcome::OtherLife => self.lose_claim(key, now),
        }
    }

    fn starting_claim(
        &mut self,
        slot: WorkerSlot,
        key: TaskKey,
        run: u32,
    ) -> Option<&mut super::job::Claim> {
        let job = self.jobs.get_mut(&key.step.job)?;
        let task: &mut Task = job.get_task_mut(key)?;
        task.claim.as_mut().filter(|claim| {
            claim.worker == slot
                && claim.run == run
                && claim.phase == ClaimPhase::Starting
        })
    }

    /// Takes in that a worker has confirmed a stop.
    pub fn report_stopped(
        &mut self,
        slot: WorkerSlot,
        key: TaskKey,
        run: u32,
        now: Moment,
    ) {
        let Some(claim) = self.claim_mut(key) else { return };
        if claim.worker == slot
            && claim.run == run
            && claim.phase == ClaimPhase::Stopping
        {
            claim.phase = ClaimPhase::Stopped;
            claim.since = now.steady;
        }
    }

    /// Says whether a stop still matters: the run may be on the worker.
    pub fn needs_stop(&self, slot: WorkerSlot, now: Moment) -> bool {
        let worker = &self.workers[slot as usize];
        worker.listed || now.steady < worker.lapse_at
    }

    fn forget_ticket(&mut self, slot: WorkerSlot, key: TaskKey) {
        if let Some(job) = self.jobs.get_mut(&key.step.job) {
            let step = job.step_mut(key.step.occurrence, key.step.step);
            step.tickets.remove(&slot);
        }
    }
}
