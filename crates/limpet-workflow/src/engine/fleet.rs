//! Workers: listed, looked at, lost.

use limpet_core::{Resources, TimeMs};

use super::{Engine, Moment, job::ClaimPhase};
use crate::{
    effect::{Effect, StopOrder, Suspicion},
    key::TaskKey,
    worker::{EndKind, HoldReport, Pace, Worker, WorkerListing, WorkerSlot},
};

/// How much slower than ours a worker's clock may run.
const CLOCK_DRIFT: f64 = 0.02;
/// Added to each lapse for the granularity of timers.
const LAPSE_MARGIN_MS: u64 = 100;
/// How long after an order without an answer it may still be carried out;
/// the platform's pages name 12 s.
const LATE_ORDER_MS: u64 = 13_000;

/// Returns how long a time on a worker's clock may take on ours.
pub(super) fn stretched(ms: u64) -> u64 {
    (ms as f64 / (1.0 - CLOCK_DRIFT)).ceil() as u64 + LAPSE_MARGIN_MS
}

impl Engine {
    /// Takes in what the platform's list says of a worker, and returns its
    /// slot.
    pub fn set_listing(
        &mut self,
        listing: WorkerListing,
        now: Moment,
    ) -> WorkerSlot {
        let Some(slot) = self.slots.get(&listing.id).copied() else {
            let lapse_at = self.inherited_lapse(now.steady);
            return self.push_worker(Worker::new(listing, lapse_at));
        };
        let known = &self.workers[slot as usize].listing;
        if known.incarnation < listing.incarnation && known.incarnation != 0 {
            self.begin_life(slot, listing.incarnation, now);
        }
        let worker = &mut self.workers[slot as usize];
        if listing.incarnation >= worker.listing.incarnation {
            worker.listing = listing;
            worker.listed = true;
        }
        slot
    }

    /// Takes in that the platform's list names a worker no more.
    pub fn remove_listing(&mut self, id: &str) {
        if let Some(slot) = self.slots.get(id) {
            self.workers[*slot as usize].listed = false;
        }
    }

    /// Returns the ids of the workers that the list names.
    pub fn listed_workers(&self) -> Vec<String> {
        self.workers
            .iter()
            .filter(|worker| worker.listed)
            .map(|worker| worker.listing.id.clone())
            .collect()
    }

    pub(super) fn push_worker(&mut self, worker: Worker) -> WorkerSlot {
        let slot = self.workers.len() as WorkerSlot;
        self.slots.insert(worker.listing.id.clone(), slot);
        self.workers.push(worker);
        slot
    }

    /// Returns what is listed of a worker.
    pub fn listing(&self, slot: WorkerSlot) -> &WorkerListing {
        &self.workers[slot as usize].listing
    }

    /// Returns all workers that ever were listed or had claims.
    pub fn worker_slots(&self) -> std::ops::Range<WorkerSlot> {
        0..self.workers.len() as WorkerSlot
    }

    /// Says whether a worker is worth looking at: it is listed, or may run
    /// something.
    pub fn needs_poll(&self, slot: WorkerSlot) -> bool {
        let worker = &self.workers[slot as usize];
        worker.listed || !worker.claims.is_empty()
    }

    /// Returns the last end of a worker whose effects are durable, and
    /// whether later ones wait for their commit.
    pub fn committed_ends(&self, slot: WorkerSlot) -> (u64, bool) {
        let worker = &self.workers[slot as usize];
        (worker.last_committed, !worker.uncommitted.is_empty())
    }

    /// Says whether the worker answered the last look.
    pub fn is_reachable(&self, slot: WorkerSlot) -> bool {
        self.workers[slot as usize].reachable
    }

    /// Returns until when, on the worker's own clock, an order that is sent
    /// now lets it hold its tasks; `None` where its clock isn't known.
    pub fn grant_hold(
        &mut self,
        slot: WorkerSlot,
        now: TimeMs,
    ) -> Option<u64> {
        let hold_ms = self.options.hold_ms;
        let worker = &mut self.workers[slot as usize];
        if !worker.reachable {
            return None;
        }
        worker.lapse_at = worker.lapse_at.max(now.plus_ms(stretched(hold_ms)));
        let passed_ms = now.ms_since(worker.clock_seen_at);
        Some(worker.clock_ms + passed_ms + hold_ms)
    }

    /// Takes in a worker's answer to a look that was sent at `sent_at`.
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
            return;
        }
        if incarnation > known {
            if known != 0 {
                self.begin_life(slot, incarnation, now);
            }
            self.workers[slot as usize].listing.incarnation = incarnation;
        }
        let worker = &mut self.workers[slot as usize];
        worker.reachable = true;
        worker.clock_ms = report.clock_ms;
        worker.clock_seen_at = now.steady;
        for end in &report.ended {
            let last = self.workers[slot as usize].last_handled;
            if end.number > last {
                self.handle_end(slot, end, now);
            }
        }
        self.release_ends(slot);
        self.compare_runs(slot, &report, sent_at, now);
    }

    /// Compares what runs with the claims: runs without a claim are
    /// stopped, claims without a run are released.
    fn compare_runs(
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
                self.note_running(slot, running, now);
            } else {
                strays =
                    strays.plus(&self.stray_resources(running.task, slot));
                self.effects.push(Effect::Stop(StopOrder {
                    worker: slot,
                    task: running.task,
                    run: running.run,
                }));
            }
        }
        self.workers[slot as usize].strays = strays;
        self.judge_pace(slot, now);
        let claims = self.claims_of(slot);
        for (task, run) in claims {
            if !seen.contains(&(task, run)) {
                self.note_absent(slot, task, sent_at, now);
            }
        }
    }

    /// Returns what a run without a claim takes; all of the worker where
    /// its job isn't known.
    fn stray_resources(&self, task: TaskKey, slot: WorkerSlot) -> Resources {
        self.jobs
            .get(&task.step.job)
            .and_then(|job| job.record.spec.steps.get(task.step.step as usize))
            .map_or(self.workers[slot as usize].listing.capacity, |spec| {
                spec.task
            })
    }

    fn note_running(
        &mut self,
        slot: WorkerSlot,
        running: &crate::worker::RunningTask,
        now: Moment,
    ) {
        let Some(job) = self.jobs.get_mut(&running.task.step.job) else {
            return;
        };
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
        }
        claim.progress.note(running.percent, now.steady);
        self.note_begun(running.task);
    }

    /// Decides on a claim whose run a report neither lists nor ends.
    fn note_absent(
        &mut self,
        slot: WorkerSlot,
        task: TaskKey,
        sent_at: TimeMs,
        now: Moment,
    ) {
        let Some(claim) = self
            .jobs
            .get(&task.step.job)
            .and_then(|job| job.get_task(task))
            .and_then(|task| task.claim.as_ref())
        else {
            return;
        };
        if claim.worker != slot {
            return;
        }
        match claim.phase {
            ClaimPhase::Committing
            | ClaimPhase::Starting
            | ClaimPhase::Stopping => {}
            ClaimPhase::Inherited => self.stop_task(task, now),
            ClaimPhase::Running | ClaimPhase::Stopped => {
                if claim.since < sent_at {
                    self.lose_claim(task, now);
                }
            }
        }
    }

    /// Takes in that a look got no answer.
    pub fn report_missed_hold(&mut self, slot: WorkerSlot, now: Moment) {
        let worker = &mut self.workers[slot as usize];
        if !worker.reachable {
            return;
        }
        worker.reachable = false;
        self.release_unsent(slot, now);
    }

    /// Releases the claims of which nothing was sent.
    fn release_unsent(&mut self, slot: WorkerSlot, now: Moment) {
        for (task, _) in self.claims_of(slot) {
            let phase = self.claim_phase(task);
            if phase == Some(ClaimPhase::Committing) {
                self.lose_claim(task, now);
            }
        }
    }

    pub(super) fn claim_phase(&self, task: TaskKey) -> Option<ClaimPhase> {
        let job = self.jobs.get(&task.step.job)?;
        Some(job.get_task(task)?.claim.as_ref()?.phase)
    }

    /// Takes in that a worker started anew under its id: what it held is
    /// gone, but orders that got no answer may still reach the new life.
    fn begin_life(&mut self, slot: WorkerSlot, incarnation: u64, now: Moment) {
        let worker = &mut self.workers[slot as usize];
        worker.listing.incarnation = incarnation;
        worker.last_handled = 0;
        worker.last_committed = 0;
        worker.uncommitted.clear();
        worker.failed_in_row = 0;
        worker.pace = Pace::default();
        worker.reachable = false;
        let late = std::mem::take(&mut worker.unanswered);
        for (task, run, at) in &late {
            if now.steady.ms_since(*at) < LATE_ORDER_MS {
                self.effects.push(Effect::Stop(StopOrder {
                    worker: slot,
                    task: *task,
                    run: *run,
                }));
            }
        }
        for (task, _) in self.claims_of(slot) {
            match self.claim_phase(task) {
                Some(ClaimPhase::Starting | ClaimPhase::Inherited) => {
                    self.stop_task(task, now);
                }
                Some(_) => self.lose_claim(task, now),
                None => {}
            }
        }
    }

    /// Releases what has certainly lapsed, and ends reservations.
    pub(super) fn tick_workers(&mut self, now: Moment) {
        for slot in 0..self.workers.len() {
            let worker = &mut self.workers[slot];
            worker.reservations.retain(|one| one.until > now.steady);
            worker
                .unanswered
                .retain(|(_, _, at)| now.steady.ms_since(*at) < LATE_ORDER_MS);
            if !worker.reachable
                && !worker.claims.is_empty()
                && now.steady >= worker.lapse_at
            {
                for (task, _) in self.claims_of(slot as WorkerSlot) {
                    self.lose_claim(task, now);
                }
            }
        }
    }

    pub(super) fn note_result(
        &mut self,
        slot: WorkerSlot,
        task: TaskKey,
        kind: EndKind,
        now: Moment,
    ) {
        let worker = &mut self.workers[slot as usize];
        match kind {
            EndKind::Done => worker.failed_in_row = 0,
            EndKind::Failed => {
                let Some(job) = self.jobs.get_mut(&task.step.job) else {
                    return;
                };
                // A job that fails everywhere is counted once, so that it
                // can't take good workers away.
                if !job.blamed {
                    job.blamed = true;
                    worker.failed_in_row += 1;
                }
                if worker.failed_in_row >= super::schedule::SUSPECT_FAILURES {
                    worker.quarantined_until =
                        now.steady.plus_ms(super::schedule::QUARANTINE_MS);
                    let reason = Suspicion::Failures(worker.failed_in_row);
                    let suspect = Effect::Suspect { worker: slot, reason };
                    self.effects.push(suspect);
                }
            }
            _ => {}
        }
    }
}
