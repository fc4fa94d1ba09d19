//! Start and stop orders, and their outcomes.
//!
//! A start order is sent only once its claim is durable: an owner that takes
//! over then knows of every run that may be in progress.

use super::{
    Engine, Moment,
    job::{ClaimPhase, Task},
};
use crate::{
    effect::{Effect, StartOrder, StopReason},
    key::TaskKey,
    progress::JobPhase,
    worker::WorkerSlot,
};

/// The number of unanswered start orders after which the run is stopped
/// instead of started again.
const MAX_UNANSWERED_STARTS: u32 = 3;

/// The outcome of a start order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StartOutcome {
    /// The run is in progress.
    Running,
    /// The worker has seen this run or a later one of the task.
    Superseded,
    /// The lease had already expired on the worker's clock.
    Late,
    /// The worker has too few free resources.
    NoRoom,
    /// The ticket is not valid.
    BadTicket,
    /// The worker cannot run the task or considers the order invalid, or the
    /// order could not be sent.
    Refused,
    /// The reply is of another incarnation of the worker than the order was
    /// sent to.
    OtherLife,
    /// The worker has seen an owner with a higher fencing token.
    Fenced,
    /// There was no reply: the order may have been carried out, or may be
    /// later.
    Unknown,
}

impl Engine {
    /// Sends the start order of a claim if its version is durable, or releases
    /// the claim if the order is outdated. Returns false if the claim has to
    /// wait for a later commit.
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
        let same_incarnation = worker.listing.incarnation == claim.incarnation;
        let expired = claim
            .ticket
            .as_ref()
            .is_some_and(|ticket| !ticket.is_valid(now.steady));
        if !worker.is_alive_for_start()
            || worker.evacuated
            || worker.is_overcommitted()
            || now.steady < worker.doubted_until
            || !same_incarnation
            || expired
        {
            self.requeue_task(key, now);
            return true;
        }
        self.send_start(key, now);
        true
    }

    /// Returns whether the claims and stray runs of a worker exceed its
    /// capacity. A start order to it must not be sent.
    pub fn is_overcommitted(&self, slot: WorkerSlot) -> bool {
        self.workers[slot as usize].is_overcommitted()
    }

    /// Sends the start order of a claim.
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
            ticket: claim.ticket.as_ref().map(|ticket| ticket.ticket.clone()),
        }));
    }

    /// Marks a queued job as running.
    pub(super) fn mark_job_running(&mut self, key: TaskKey) {
        if let Some(job) = self.jobs.get_mut(&key.step.job)
            && job.phase == JobPhase::Queued
        {
            job.phase = JobPhase::Running;
        }
    }

    /// Applies the outcome of a start order.
    ///
    /// An unanswered order is sent again up to a limit: a worker carries out
    /// the same order only once. After an unanswered order, any outcome other
    /// than `Running` leads to a stop order, since the earlier one may still
    /// be carried out.
    pub fn report_start(
        &mut self,
        slot: WorkerSlot,
        key: TaskKey,
        run: u32,
        outcome: StartOutcome,
        now: Moment,
    ) {
        self.apply_start(slot, key, run, outcome, now);
        self.advance_timeline(key.step.job, now.steady);
    }

    fn apply_start(
        &mut self,
        slot: WorkerSlot,
        key: TaskKey,
        run: u32,
        outcome: StartOutcome,
        now: Moment,
    ) {
        let is_answered = outcome != StartOutcome::Unknown;
        self.workers[slot as usize].record_order(is_answered, now.steady);
        if !is_answered {
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
                self.changed_claims.insert(slot);
                self.mark_job_running(key);
            }
            StartOutcome::Unknown => {
                claim.unanswered += 1;
                let is_last = claim.unanswered >= MAX_UNANSWERED_STARTS;
                let worker = &self.workers[slot as usize];
                if is_last || worker.evacuated || worker.is_overcommitted() {
                    self.stop_task(key, StopReason::Unanswered, now);
                } else {
                    self.send_start(key, now);
                }
            }
            StartOutcome::Fenced => {}
            // An earlier order for the same run may still be carried out.
            _ if claim.unanswered > 0 => {
                self.stop_task(key, StopReason::Unanswered, now)
            }
            StartOutcome::BadTicket => {
                self.discard_ticket(slot, key);
                self.requeue_task(key, now);
            }
            StartOutcome::NoRoom | StartOutcome::Refused => {
                let worker = &mut self.workers[slot as usize];
                worker.quarantined_until =
                    now.steady.plus_ms(super::schedule::REFUSED_QUARANTINE_MS);
                self.requeue_task(key, now);
            }
            StartOutcome::Superseded
            | StartOutcome::Late
            | StartOutcome::OtherLife => self.requeue_task(key, now),
        }
    }

    /// Returns the claim of a run whose start order was sent.
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

    /// Records that a worker has confirmed a stop order.
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

    /// Returns whether a stop order to a worker still has to be sent. A run
    /// may be in progress while the worker is listed or its lease has not
    /// expired.
    pub fn needs_stop(&self, slot: WorkerSlot, now: Moment) -> bool {
        let worker = &self.workers[slot as usize];
        worker.listed || now.steady < worker.lease_expires_at
    }

    /// Removes the ticket for a worker that rejected it.
    fn discard_ticket(&mut self, slot: WorkerSlot, key: TaskKey) {
        if let Some(job) = self.jobs.get_mut(&key.step.job) {
            let step = job.step_mut(key.step.occurrence, key.step.step);
            step.tickets.remove(&slot);
        }
    }
}
