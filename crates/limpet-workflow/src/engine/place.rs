//! Places for the tasks of a step: which workers, and the claims on them.

use limpet_core::{Resources, TimeMs};

use super::{
    Engine, Moment,
    job::{Claim, ClaimPhase, RunProgress},
    schedule::StepFacts,
};
use crate::{
    key::{StepKey, TaskKey},
    worker::WorkerSlot,
};

/// A worker with room for tasks of a step.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    worker: WorkerSlot,
    fits: u32,
    room: Resources,
    far: bool,
    /// Whether room is kept there for another step.
    kept: bool,
}

impl Engine {
    /// Claims workers for as many of the tasks as fit, for a gang for all
    /// or none. Returns how many are left.
    pub(super) fn place_tasks(
        &mut self,
        facts: &StepFacts,
        idle: &[u32],
        now: Moment,
    ) -> u32 {
        let mut candidates = self.candidates(facts, now.steady);
        if facts.spec.gang {
            let total: u32 = candidates.iter().map(|one| one.fits).sum();
            if total < idle.len() as u32 {
                return idle.len() as u32;
            }
        }
        let gang_run = facts.spec.gang.then(|| self.next_gang_run(facts.key));
        let mut left = 0;
        for index in idle {
            match self.choose(facts, *index, &candidates) {
                Some(position) => {
                    let one = &mut candidates[position];
                    one.fits -= 1;
                    one.room = one.room.minus(&facts.counted);
                    let worker = one.worker;
                    self.claim(facts, *index, worker, gang_run, now);
                }
                None => left += 1,
            }
        }
        left
    }

    fn next_gang_run(&self, key: StepKey) -> u32 {
        let step = self.jobs[&key.job].step(key.occurrence, key.step);
        step.tasks.iter().map(|task| task.run).max().unwrap_or(0) + 1
    }

    /// Returns the workers that a step may run on now.
    fn candidates(&self, facts: &StepFacts, now: TimeMs) -> Vec<Candidate> {
        let step = self.jobs[&facts.key.job]
            .step(facts.key.occurrence, facts.key.step);
        let mut found = Vec::new();
        for (slot, worker) in self.workers.iter().enumerate() {
            let slot = slot as WorkerSlot;
            if !self.may_host(facts, worker, now) {
                continue;
            }
            if facts.policy.is_some() && !step.has_ticket(slot, now) {
                continue;
            }
            let room = worker.room_for(facts.key, facts.priority);
            let fits = self.fits_on(facts, slot, &room);
            if fits > 0 {
                let far = facts
                    .spec
                    .data_rack
                    .as_ref()
                    .is_some_and(|rack| !worker.has_label(rack));
                let kept = worker.is_kept_from(facts.key);
                found.push(Candidate { worker: slot, fits, room, far, kept });
            }
        }
        found
    }

    /// Returns the tightest candidate that the task hasn't failed on.
    fn choose(
        &self,
        facts: &StepFacts,
        index: u32,
        candidates: &[Candidate],
    ) -> Option<usize> {
        let step = self.jobs[&facts.key.job]
            .step(facts.key.occurrence, facts.key.step);
        let failed_on = &step.tasks[index as usize].failed_on;
        candidates
            .iter()
            .enumerate()
            .filter(|(_, one)| one.fits > 0)
            .min_by_key(|(_, one)| {
                (
                    failed_on.contains(&one.worker),
                    one.far,
                    one.kept,
                    one.room.cores_milli,
                    one.worker,
                )
            })
            .map(|(position, _)| position)
    }

    fn claim(
        &mut self,
        facts: &StepFacts,
        index: u32,
        slot: WorkerSlot,
        gang_run: Option<u32>,
        now: Moment,
    ) {
        let key = facts.key.task(index);
        let incarnation = self.workers[slot as usize].listing.incarnation;
        let Some(job) = self.jobs.get_mut(&key.step.job) else { return };
        let version = job.version + 1;
        let step = job.step_mut(key.step.occurrence, key.step.step);
        step.gathering_since = None;
        let ticket = step.tickets.get(&slot).cloned();
        if facts.spec.gang {
            share_checkpoint(step);
        }
        let task = &mut step.tasks[index as usize];
        task.run = gang_run.unwrap_or(task.run + 1);
        let run = task.run;
        task.claim = Some(Claim {
            worker: slot,
            incarnation,
            run,
            phase: ClaimPhase::Committing,
            version,
            ticket,
            since: now.steady,
            unanswered: 0,
            progress: RunProgress::default(),
        });
        job.awaiting.push(key);
        self.add_claim(facts, key, slot, run);
        self.mark_dirty(key.step.job);
    }

    fn add_claim(
        &mut self,
        facts: &StepFacts,
        key: TaskKey,
        slot: WorkerSlot,
        run: u32,
    ) {
        self.spare_cores_milli -= facts.counted.cores_milli as i64;
        self.free_cores_milli -= facts.counted.cores_milli as i64;
        self.open_cores_milli -= facts.counted.cores_milli as i64;
        let worker = &mut self.workers[slot as usize];
        worker.used = worker.used.plus(&facts.counted);
        if facts.is_fixed() {
            worker.fixed = worker.fixed.plus(&facts.counted);
        }
        worker.claims.insert(key, run);
        for reservation in &mut worker.reservations {
            if reservation.step == facts.key {
                reservation.room = reservation.room.minus(&facts.counted);
            }
        }
        let team = self.teams.entry(facts.team.clone()).or_default();
        team.running = team.running.plus(&facts.spec.task);
    }
}

/// Gives each member of a gang the same checkpoint: any member's is valid.
fn share_checkpoint(step: &mut super::job::Step) {
    let Some(checkpoint) = step
        .tasks
        .iter()
        .map(|task| &task.checkpoint)
        .find(|checkpoint| !checkpoint.is_empty())
        .cloned()
    else {
        return;
    };
    for task in &mut step.tasks {
        task.checkpoint.clone_from(&checkpoint);
    }
}
