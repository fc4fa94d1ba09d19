//! Passes over the waiting steps.

use limpet_core::{Resources, TimeMs};

use super::{
    Engine, Moment,
    advice::AskCandidate,
    ends::counted_resources,
    job::{Claim, ClaimPhase, RunProgress},
};
use crate::{
    key::{StepKey, TaskKey},
    spec::StepSpec,
    worker::{Worker, WorkerSlot},
};

/// Failed runs of different jobs in a row that make a worker suspect.
pub(crate) const SUSPECT_FAILURES: u32 = 2;
/// How long a suspect worker gets nothing, before one task tries it.
pub(super) const QUARANTINE_MS: u64 = 2_500;
/// A job earns something until this many times its objective.
const LATE_FACTOR: u64 = 3;
/// With less than this left, a step has less urgent tasks make way.
const FORCE_SLACK_MS: u64 = 1_500;
/// The part of the cores that less urgent queues leave free. The tasks of
/// the most urgent queue are short, and stopping others for them throws
/// work away.
const HEADROOM_SHARE: f64 = 0.05;
/// Calls for advice that may wait for a lane.
const QUEUED_ASKS: usize = 2;
/// How long a worker that refused a start gets nothing.
pub(super) const REFUSED_PAUSE_MS: u64 = 300;
/// The seconds of a team's rate that it may save up.
pub(super) const TOKEN_BURST_S: f64 = 2.0;

/// What the placement of a step has to know, taken out of its job.
#[derive(Debug)]
pub(super) struct StepFacts {
    pub(super) key: StepKey,
    pub(super) spec: StepSpec,
    pub(super) service: String,
    pub(super) priority: u32,
    pub(super) policy: Option<crate::config::AdvicePolicy>,
    pub(super) team: String,
    pub(super) counted: Resources,
}

impl StepFacts {
    /// Says whether its tasks stay for long, once they run.
    fn is_fixed(&self) -> bool {
        super::ends::is_fixed(&self.spec)
    }
}

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
    /// Places what can be placed, most urgent first.
    pub fn schedule(&mut self, now: Moment) {
        self.changed = false;
        self.tick_workers(now);
        self.release_due(now);
        let mut order: Vec<(Rank, StepKey)> = self
            .waiting
            .iter()
            .filter_map(|key| Some((self.rank(*key, now)?, *key)))
            .collect();
        order.sort();
        self.count_free(now.steady);
        for (rank, key) in order {
            self.place_step(key, rank, now);
        }
    }

    /// Counts the cores that are free, and those that neither outstanding
    /// calls for advice want nor the headroom takes.
    fn count_free(&mut self, now: TimeMs) {
        let (mut free, mut open, mut whole) = (0, 0, 0);
        for worker in self.workers.iter().filter(|one| one.is_usable(now)) {
            let taken = worker.used.plus(&worker.strays);
            let capacity = worker.listing.capacity;
            let left = capacity.minus(&taken);
            free += left.cores_milli as i64;
            let kept = worker.reserved();
            open += left.minus(&kept).cores_milli as i64;
            whole += capacity.cores_milli;
        }
        let has_urgent =
            self.config.queues.iter().any(|queue| queue.priority == 0);
        let share = if has_urgent { HEADROOM_SHARE } else { 0.0 };
        let wanted: u64 =
            self.asks.values().map(|ask| ask.wanted_cores_milli).sum();
        self.headroom_milli = (whole as f64 * share) as i64;
        self.usable_cores_milli = whole as i64;
        self.free_cores_milli = free;
        self.open_cores_milli = open;
        self.spare_cores_milli = open - self.headroom_milli - wanted as i64;
    }

    /// Says whether a call for advice would start soon. More calls than that
    /// would only grow old: what they ask about changes meanwhile.
    pub(super) fn has_free_lane(&self) -> bool {
        self.asks.len() < self.lanes + QUEUED_ASKS
    }

    fn release_due(&mut self, now: Moment) {
        while let Some((due, key)) = self.timed.first().copied() {
            if due > now.unix_ms {
                break;
            }
            self.timed.pop_first();
            self.waiting.insert(key);
        }
    }

    fn rank(&self, key: StepKey, now: Moment) -> Option<Rank> {
        let job = self.jobs.get(&key.job)?;
        let queue = job.queue.as_ref()?;
        let whole_ms = job.chains_ms.iter().max().copied().unwrap_or(0);
        let left_ms = job.chains_ms[key.step as usize];
        let objective_ms =
            (whole_ms as f64 * queue.stretch) as u64 + queue.objective_ms;
        let due_at = job.received_at.plus_ms(objective_ms);
        let last_start =
            TimeMs::from_ms(due_at.as_ms().saturating_sub(left_ms));
        let worthless_at = job
            .received_at
            .plus_ms(objective_ms * LATE_FACTOR)
            .as_ms()
            .saturating_sub(left_ms);
        let lateness = if job.excess {
            Lateness::Excess
        } else if now.steady <= last_start {
            Lateness::OnTime
        } else if now.steady.as_ms() <= worthless_at {
            Lateness::Late
        } else {
            Lateness::Worthless
        };
        Some(Rank {
            behind: queue.priority > 0,
            lateness,
            last_start,
            priority: queue.priority,
        })
    }

    pub(super) fn facts(&self, key: StepKey) -> Option<StepFacts> {
        let job = self.jobs.get(&key.job)?;
        let queue = job.queue.as_ref()?;
        let spec = job.step_spec(key.step).clone();
        Some(StepFacts {
            key,
            service: queue.service.clone(),
            priority: queue.priority,
            policy: queue.advice,
            team: job.record.team.clone(),
            counted: counted_resources(&spec),
            spec,
        })
    }

    fn place_step(&mut self, key: StepKey, rank: Rank, now: Moment) {
        let Some(facts) = self.facts(key) else { return };
        let Some(job) = self.jobs.get(&key.job) else { return };
        let step = job.step(key.occurrence, key.step);
        let mut idle: Vec<u32> = (0..step.tasks.len() as u32)
            .filter(|index| step.tasks[*index as usize].is_idle())
            .collect();
        if idle.is_empty() {
            self.waiting.remove(&key);
            return;
        }
        if facts.spec.gang && step.has_claims() {
            return;
        }
        let granted = self.quota_left(&facts).min(idle.len() as u32);
        if granted == 0 || facts.spec.gang && granted < idle.len() as u32 {
            return;
        }
        let granted = granted.min(self.past_headroom(&facts));
        if granted == 0 || facts.spec.gang && granted < idle.len() as u32 {
            return;
        }
        idle.truncate(granted as usize);
        let left = self.place_tasks(&facts, &idle, now);
        if left == 0 {
            self.unreserve(key);
            return;
        }
        if facts.spec.gang {
            self.acquire_room(&facts, left, rank.may_preempt(now.steady), now);
            return;
        }
        let by_force = rank.may_preempt(now.steady);
        let is_urgent = !rank.behind && rank.lateness < Lateness::Excess;
        let may_ask = is_urgent || self.has_free_lane();
        if may_ask && self.ask_if_useful(&facts, left, by_force, now) {
            return;
        }
        if by_force {
            self.make_room(&facts, left, now);
        }
    }

    /// Returns how many tasks of a step may start without taking the room
    /// that is kept for the most urgent queue.
    fn past_headroom(&self, facts: &StepFacts) -> u32 {
        let is_exempt = facts.priority == 0 || facts.spec.gang;
        if is_exempt || facts.counted.cores_milli == 0 {
            return u32::MAX;
        }
        let left = self.open_cores_milli - self.headroom_milli;
        (left.max(0) as u64 / facts.counted.cores_milli) as u32
    }

    /// Returns how many tasks of a step its team may start.
    fn quota_left(&self, facts: &StepFacts) -> u32 {
        let limit = self.team_limit(&facts.team);
        let running = self
            .teams
            .get(&facts.team)
            .map_or(Resources::ZERO, |team| team.running);
        count_fits(&limit.minus(&running), &facts.spec.task)
    }

    /// Claims workers for as many of the tasks as fit, for a gang for all
    /// or none. Returns how many are left.
    fn place_tasks(
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
            if facts.policy.is_some()
                && !step
                    .tickets
                    .get(&slot)
                    .is_some_and(|ticket| ticket.is_valid(now))
            {
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

    pub(super) fn may_host(
        &self,
        facts: &StepFacts,
        worker: &Worker,
        now: TimeMs,
    ) -> bool {
        worker.is_usable(now)
            && worker.listing.service == facts.service
            && facts
                .spec
                .required_label
                .as_ref()
                .is_none_or(|label| worker.has_label(label))
    }

    /// Returns how many more tasks of a step fit into `room` of a worker.
    pub(super) fn fits_on(
        &self,
        facts: &StepFacts,
        slot: WorkerSlot,
        room: &Resources,
    ) -> u32 {
        let fits = count_fits(room, &facts.counted);
        let most = facts.spec.max_per_worker;
        if most == 0 || fits == 0 {
            return fits;
        }
        let step = self.jobs[&facts.key.job]
            .step(facts.key.occurrence, facts.key.step);
        fits.min(most.saturating_sub(step.claimed_on(slot)))
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

    /// Asks for advice where it may help. Returns whether an answer is
    /// awaited.
    fn ask_if_useful(
        &mut self,
        facts: &StepFacts,
        need: u32,
        by_force: bool,
        now: Moment,
    ) -> bool {
        let Some(policy) = facts.policy else { return false };
        let step = self.jobs[&facts.key.job]
            .step(facts.key.occurrence, facts.key.step);
        if step.ask.is_some() {
            return true;
        }
        let wanted = facts.counted.cores_milli as i64;
        if now.steady < step.ask_after
            || !by_force && self.spare_cores_milli < wanted
        {
            return false;
        }
        let (mut free, mut taken, mut ticketed) = (Vec::new(), Vec::new(), 0);
        for (slot, worker) in self.workers.iter().enumerate() {
            let slot = slot as WorkerSlot;
            let verdict = step.verdicts.get(&slot).copied();
            if verdict == Some(false)
                || !self.may_host(facts, worker, now.steady)
            {
                continue;
            }
            let room = worker.room_for(facts.key, facts.priority);
            let plain = self.fits_on(facts, slot, &room);
            let fits = if by_force {
                let room = self.reachable_room(facts, slot);
                self.fits_on(facts, slot, &room)
            } else {
                plain
            };
            let has_ticket = step
                .tickets
                .get(&slot)
                .is_some_and(|ticket| ticket.is_valid(now.steady));
            if has_ticket {
                ticketed += fits;
                continue;
            }
            let allowed = verdict == Some(true);
            let kept = worker.is_kept_from(facts.key);
            if plain > 0 {
                free.push(AskCandidate {
                    worker: slot,
                    fits: plain,
                    allowed,
                    kept,
                });
            } else if fits > 0 {
                taken.push(AskCandidate { worker: slot, fits, allowed, kept });
            }
        }
        let mut candidates = free;
        if candidates.is_empty() && ticketed == 0 {
            candidates = taken;
        }
        if candidates.is_empty() {
            return false;
        }
        self.ask_for(facts.key, policy, candidates, need)
    }
}

/// How a job stands to its latency objective.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Lateness {
    /// Started now, it meets the objective.
    OnTime,
    /// Started now, it misses the objective and still earns something.
    Late,
    /// Its team had used up its rate.
    Excess,
    /// It can't earn anything any more.
    Worthless,
}

/// The order in which waiting steps are placed.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Rank {
    /// Whether more urgent queues come first.
    behind: bool,
    lateness: Lateness,
    /// The last time at which a start meets the objective.
    last_start: TimeMs,
    priority: u32,
}

impl Rank {
    /// Says whether less urgent tasks make way now: for the most urgent
    /// queue at once, for others once their time runs out.
    fn may_preempt(&self, now: TimeMs) -> bool {
        match self.lateness {
            Lateness::OnTime => {
                !self.behind || self.last_start.ms_since(now) < FORCE_SLACK_MS
            }
            Lateness::Late => !self.behind,
            Lateness::Excess | Lateness::Worthless => false,
        }
    }
}

/// Returns how many tasks fit into `room`.
fn count_fits(room: &Resources, task: &Resources) -> u32 {
    let per = |room: u64, task: u64| {
        room.checked_div(task).unwrap_or(u64::from(u32::MAX))
    };
    per(room.cores_milli, task.cores_milli)
        .min(per(room.memory_mb, task.memory_mb))
        .min(per(room.accelerators, task.accelerators))
        .min(u64::from(u32::MAX)) as u32
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
