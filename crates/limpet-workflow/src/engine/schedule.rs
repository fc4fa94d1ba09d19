//! Passes over the waiting steps.

use limpet_core::{Resources, TimeMs};

use super::{Engine, Moment, WaitCause, WaitCounts, ends::counted_resources};
use crate::{
    key::StepKey,
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
/// Advice is asked for so long before room comes free: what a call and the
/// commit of a claim take.
const ADVICE_AHEAD_MS: u64 = 150;
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
    pub(super) fn is_fixed(&self) -> bool {
        super::ends::is_fixed(&self.spec)
    }
}

impl Engine {
    /// Places what can be placed, most urgent first.
    pub fn schedule(&mut self, now: Moment) {
        self.tick_workers(now);
        if !self.configured {
            return;
        }
        self.release_due(now);
        let mut order: Vec<(Rank, StepKey)> = self
            .waiting
            .iter()
            .filter_map(|key| Some((self.rank(*key, now)?, *key)))
            .collect();
        order.sort();
        self.count_free(now.steady);
        let mut counts = WaitCounts::default();
        for (rank, key) in order {
            if let Some(cause) = self.place_step(key, rank, now) {
                counts.add(rank.priority, cause);
            }
        }
        self.wait_counts = counts;
    }

    /// Counts the cores that are free, and those that neither outstanding
    /// calls for advice want nor the headroom takes.
    fn count_free(&mut self, now: TimeMs) {
        let (mut free, mut open, mut whole) = (0, 0, 0);
        for worker in self.workers.iter().filter(|one| one.is_usable(now)) {
            let left = worker.free().cores_milli;
            let kept = worker.kept_free().cores_milli;
            free += left as i64;
            open += (left - kept) as i64;
            whole += worker.listing.capacity.cores_milli;
        }
        let has_urgent = self.policies.values().any(|one| one.priority == 0);
        let share = if has_urgent { HEADROOM_SHARE } else { 0.0 };
        // Gangs gather their room once they know where they may.
        let wanted: u64 = self
            .asks
            .values()
            .filter(|ask| !ask.gang)
            .map(|ask| ask.wanted_cores_milli)
            .sum();
        self.turnover.tick(now);
        let soon = self.turnover.within_ms(ADVICE_AHEAD_MS);
        self.headroom_milli = (whole as f64 * share) as i64;
        self.usable_cores_milli = whole as i64;
        self.free_cores_milli = free;
        self.open_cores_milli = open;
        self.spare_cores_milli =
            open + soon as i64 - self.headroom_milli - wanted as i64;
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
        let policy = &job.policy;
        let whole_ms = job.chains_ms.iter().max().copied().unwrap_or(0);
        let left_ms = job.chains_ms[key.step as usize];
        let objective_ms =
            (whole_ms as f64 * policy.stretch) as u64 + policy.objective_ms;
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
            behind: policy.priority > 0,
            lateness,
            last_start,
            priority: policy.priority,
        })
    }

    pub(super) fn facts(&self, key: StepKey) -> Option<StepFacts> {
        let job = self.jobs.get(&key.job)?;
        let policy = &job.policy;
        let spec = job.step_spec(key.step).clone();
        Some(StepFacts {
            key,
            service: policy.service.clone(),
            priority: policy.priority,
            policy: policy.advice,
            team: job.record.team.clone(),
            counted: counted_resources(&spec),
            spec,
        })
    }

    /// Places tasks of a step; returns why some still wait.
    fn place_step(
        &mut self,
        key: StepKey,
        rank: Rank,
        now: Moment,
    ) -> Option<WaitCause> {
        let facts = self.facts(key)?;
        let job = self.jobs.get(&key.job)?;
        let step = job.step(key.occurrence, key.step);
        let mut idle: Vec<u32> = (0..step.tasks.len() as u32)
            .filter(|index| step.tasks[*index as usize].is_idle())
            .collect();
        if idle.is_empty() {
            self.waiting.remove(&key);
            return None;
        }
        if facts.spec.gang && step.has_claims() {
            return Some(WaitCause::Breaking);
        }
        let count = idle.len() as u32;
        let is_short =
            |granted| granted == 0 || facts.spec.gang && granted < count;
        let in_quota = self.quota_left(&facts).min(count);
        if is_short(in_quota) {
            return Some(WaitCause::Quota);
        }
        let granted = in_quota.min(self.past_headroom(&facts));
        if is_short(granted) {
            return Some(WaitCause::Headroom);
        }
        idle.truncate(granted as usize);
        let left = self.place_tasks(&facts, &idle, now);
        if left == 0 {
            self.unreserve(key);
            return match granted {
                granted if granted == count => None,
                granted if granted == in_quota => Some(WaitCause::Quota),
                _ => Some(WaitCause::Headroom),
            };
        }
        let by_force = rank.may_preempt(now.steady);
        if facts.spec.gang {
            self.acquire_room(&facts, left, by_force, now);
            return Some(WaitCause::Gathering);
        }
        let is_urgent = !rank.behind && rank.lateness < Lateness::Excess;
        let may_ask = is_urgent || self.has_free_lane();
        if may_ask && self.ask_if_useful(&facts, left, by_force, now) {
            return Some(WaitCause::Advice);
        }
        if by_force {
            self.make_room(&facts, left, now);
        }
        Some(WaitCause::Room)
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
