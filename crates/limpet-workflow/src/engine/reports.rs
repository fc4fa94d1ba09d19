//! Reports of workers: their replies to hold requests, and how they change
//! claims.

use limpet_core::{Resources, TimeMs};

use super::{
    Engine, Moment,
    ends::EndedSteps,
    job::{Claim, ClaimPhase},
};
use crate::{
    effect::{Effect, StopOrder, StopReason},
    key::TaskKey,
    worker::{HoldReport, RunningTask, WorkerSlot},
};

/// How long a run may go on after its worker has confirmed a stop, before the
/// order is sent again. The platform's bound on a stop is shorter.
const CONFIRMED_STOP_MS: u64 = 1_000;

/// What is known of the run of a claim that a report doesn't list.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum MissingRun {
    /// It may be listed by a later report.
    MayComeYet,
    /// The order to stop it isn't confirmed. Without it the run may start late,
    /// and the claim would stay for good.
    StopUnconfirmed,
    /// An earlier owner's order may still start it, so it is to be stopped.
    Inherited,
    /// It is certainly over.
    Over,
    /// It was lost with an earlier life of the worker.
    Lost,
}

impl Claim {
    /// Returns whether a report that was requested at `sent_at` and still
    /// lists the run means that the order to stop it has to be sent again.
    fn needs_another_stop(&self, sent_at: TimeMs) -> bool {
        match self.phase {
            ClaimPhase::Stopping => self.since < sent_at,
            ClaimPhase::Stopped => {
                self.since.plus_ms(CONFIRMED_STOP_MS) < sent_at
            }
            ClaimPhase::Committing
            | ClaimPhase::Inherited
            | ClaimPhase::Starting
            | ClaimPhase::Running => false,
        }
    }
}

impl Engine {
    /// Applies a worker's reply to a hold request that was sent at `sent_at`.
    ///
    /// Of a reply of an older incarnation only the runs that are done count,
    /// and nothing of one to a call that was sent before the fencing token for
    /// the present incarnation was raised.
    pub fn report_hold(
        &mut self,
        slot: WorkerSlot,
        report: HoldReport,
        sent_at: TimeMs,
        now: Moment,
    ) {
        let known = self.workers[slot as usize].listing.incarnation;
        let incarnation = report.incarnation.unwrap_or(known);
        if incarnation < known {
            self.apply_late_ends(slot, incarnation, &report.ended, now);
            return;
        }
        if incarnation > known {
            if known != 0 {
                self.start_incarnation(slot, incarnation, now);
            }
            self.workers[slot as usize].listing.incarnation = incarnation;
        }
        // Calls to former lives may still change what this one reports.
        if !self.workers[slot as usize].is_fenced(sent_at) {
            return;
        }
        self.confirm_fence(slot, now.steady);
        self.retract_losses(slot);
        let worker = &mut self.workers[slot as usize];
        worker.reachable = true;
        worker.refused = false;
        worker.silent_since = None;
        worker.record_poll(sent_at);
        worker.clock_ms = report.clock_ms;
        worker.clock_seen_at = now.steady;
        let mut ended = EndedSteps::default();
        for end in &report.ended {
            let last = self.workers[slot as usize].last_handled;
            if end.number > last {
                self.handle_end(slot, end, &mut ended, now);
            }
        }
        self.settle_steps(ended, now);
        // Later reports list the rest once these are acknowledged.
        if !report.more_ends {
            let worker = &mut self.workers[slot as usize];
            worker.unread_ends.clear();
            worker.released_runs.clear();
        }
        self.release_ends(slot);
        self.reconcile_runs(slot, &report, sent_at, now);
    }

    /// Reconciles the reported runs with the claims: runs without a claim are
    /// stopped, and claims without a run are released if the run is certainly
    /// over. While there may be more ends than the report lists, a run that it
    /// lacks may be among them, and its claim stays.
    fn reconcile_runs(
        &mut self,
        slot: WorkerSlot,
        report: &HoldReport,
        sent_at: TimeMs,
        now: Moment,
    ) {
        let mut strays = Resources::ZERO;
        let mut seen = rustc_hash::FxHashSet::default();
        for running in &report.running {
            seen.insert((running.task, running.run));
            let claims = &self.workers[slot as usize].claims;
            if claims.get(&running.task) == Some(&running.run) {
                self.record_running(slot, running, now);
                self.repeat_stop(slot, running.task, sent_at);
            } else {
                strays =
                    strays.plus(&self.stray_resources(running.task, slot));
                let order = StopOrder {
                    worker: slot,
                    task: running.task,
                    run: running.run,
                };
                let reason = StopReason::Unclaimed;
                self.effects.push(Effect::Stop { order, reason });
            }
        }
        self.workers[slot as usize].strays = strays;
        self.update_pace(slot, now);
        if report.more_ends {
            return;
        }
        let mut inherited = Vec::new();
        let mut over = Vec::new();
        let mut lost = Vec::new();
        for (task, run) in self.claims_of(slot) {
            if seen.contains(&(task, run)) {
                continue;
            }
            match self.missing_run(slot, task, sent_at) {
                MissingRun::MayComeYet => {}
                MissingRun::StopUnconfirmed => {
                    self.repeat_stop(slot, task, sent_at);
                }
                MissingRun::Inherited => inherited.push(task),
                MissingRun::Over => over.push(task),
                MissingRun::Lost => lost.push(task),
            }
        }
        self.stop_tasks(&inherited, StopReason::Inherited, now);
        self.requeue_tasks(&over, now);
        let end = self.workers[slot as usize].life_end;
        self.lose_runs(slot, end, lost, now);
    }

    /// Orders a run to stop again if it is listed although it was to be
    /// stopped before the report was requested. An order may have been dropped
    /// on its way: the address of the worker was unknown, or its host answered
    /// for another life.
    fn repeat_stop(
        &mut self,
        slot: WorkerSlot,
        task: TaskKey,
        sent_at: TimeMs,
    ) {
        let order = self
            .claim_mut(task)
            .filter(|claim| claim.worker == slot)
            .filter(|claim| claim.needs_another_stop(sent_at))
            .map(|claim| StopOrder { worker: slot, task, run: claim.run });
        if let Some(order) = order {
            let reason = StopReason::Repeated;
            self.effects.push(Effect::Stop { order, reason });
        }
    }

    /// Returns the resources of a run without a claim: the worker's whole
    /// capacity if its job is unknown.
    fn stray_resources(&self, task: TaskKey, slot: WorkerSlot) -> Resources {
        self.jobs
            .get(&task.step.job)
            .and_then(|job| job.record.spec.steps.get(task.step.step as usize))
            .map_or(self.workers[slot as usize].listing.capacity, |spec| {
                spec.task
            })
    }

    /// Records the reported progress of a run that has a claim.
    fn record_running(
        &mut self,
        slot: WorkerSlot,
        running: &RunningTask,
        now: Moment,
    ) {
        let Some(job) = self.jobs.get_mut(&running.task.step.job) else {
            return;
        };
        let estimate_ms = job.step_spec(running.task.step.step).estimate_ms;
        let Some(task) = job.get_task_mut(running.task) else { return };
        if !running.checkpoint.is_empty() {
            task.checkpoint.clone_from(&running.checkpoint);
        }
        let Some(claim) = &mut task.claim else { return };
        if claim.worker != slot {
            return;
        }
        if matches!(claim.phase, ClaimPhase::Inherited | ClaimPhase::Starting)
        {
            claim.phase = ClaimPhase::Running;
            claim.since = now.steady;
            claim.progress.started_at = now.steady;
            self.changed_claims.insert(slot);
        }
        let since =
            claim.progress.record(running.percent, estimate_ms, now.steady);
        let is_serving = job.step_spec(running.task.step.step).target_ms > 0;
        if is_serving {
            self.observe_latency(slot, running.task, running.load, now.steady);
        } else if let Some(since) = since {
            self.observe_pace(slot, running.task, since, now.steady);
        }
        self.clear_if_lasting(running.task, now.steady);
        self.mark_job_running(running.task);
    }

    /// Returns what a report that lists the run of a claim neither as running
    /// nor as ended tells of it. The run is certainly over if the worker
    /// confirmed its start or its stop before the report was requested.
    fn missing_run(
        &self,
        slot: WorkerSlot,
        task: TaskKey,
        sent_at: TimeMs,
    ) -> MissingRun {
        let claim = self
            .jobs
            .get(&task.step.job)
            .and_then(|job| job.get_task(task))
            .and_then(|task| task.claim.as_ref())
            .filter(|claim| claim.worker == slot);
        let Some(claim) = claim else { return MissingRun::MayComeYet };
        let incarnation = self.workers[slot as usize].listing.incarnation;
        match claim.phase {
            ClaimPhase::Committing | ClaimPhase::Starting => {
                MissingRun::MayComeYet
            }
            ClaimPhase::Stopping => MissingRun::StopUnconfirmed,
            ClaimPhase::Inherited => MissingRun::Inherited,
            ClaimPhase::Running | ClaimPhase::Stopped
                if claim.since >= sent_at =>
            {
                MissingRun::MayComeYet
            }
            ClaimPhase::Running | ClaimPhase::Stopped
                if claim.incarnation < incarnation =>
            {
                MissingRun::Lost
            }
            ClaimPhase::Running | ClaimPhase::Stopped => MissingRun::Over,
        }
    }
}
