//! Preempts running tasks for urgent work and for teams below their share.

use super::{
    Effect, Scheduler, StopReason,
    fair::{Demand, divide},
    preemption_budget::PreemptionBudget,
    slot::{ClassSlot, TeamSlot, WorkerSlot},
    team::Victim,
};
use crate::{Resources, TaskId, TaskState, TimeMs};

/// How often the teams' usage is compared with their shares.
const REBALANCE_MS: u64 = 500;
/// How long to wait until room for urgent work is searched for again after
/// none was found.
const URGENT_RETRY_MS: u64 = 100;
/// The most tasks for which room is made in one pass.
const TASKS_PER_PASS: usize = 32;
/// How many preemptible tasks of each team are considered.
const VICTIMS_PER_TEAM: usize = 16;
/// How many workers are searched for victims in one pass.
const WORKER_SEARCH_LIMIT: u32 = 256;
/// How far a team may be below its share, as a fraction of the cell, before
/// tasks of other teams are preempted for it. A team that loses tasks to
/// others may thus stay this far below its own share, too.
const SHARE_TOLERANCE: f64 = 0.01;

/// What a team uses, compared with its fair share.
#[derive(Clone, Copy, Debug)]
struct ShareBalance {
    team: TeamSlot,
    /// The fraction of the cell that it uses.
    fraction: f64,
    /// The fraction of the cell that is its fair share.
    fair_fraction: f64,
}

impl ShareBalance {
    /// Returns how far the team may be below its share before tasks of other
    /// teams are preempted for it.
    fn tolerance(&self) -> f64 {
        SHARE_TOLERANCE.min(self.fair_fraction / 4.0)
    }

    fn is_below_share(&self) -> bool {
        self.fraction < self.fair_fraction - self.tolerance()
    }

    fn is_above_share(&self) -> bool {
        self.fraction > self.fair_fraction
    }

    fn excess(&self) -> f64 {
        self.fraction - self.fair_fraction
    }
}

impl Scheduler {
    /// Preempts tasks for urgent work that found no room, those of the teams
    /// furthest above their share first.
    pub(super) fn make_room_for_urgent(
        &mut self,
        now: TimeMs,
        out: &mut Vec<Effect>,
    ) {
        if !self.options.preemption || now < self.urgent_retry_at {
            return;
        }
        for (team, class) in self.urgent_without_room() {
            let size = self.classes.get(class).size;
            if !self.teams.get(team).allows(&size) {
                self.preempt_within_team(team, &size, now, out);
                self.urgent_retry_at = now.plus_ms(URGENT_RETRY_MS * 5);
                continue;
            }
            let order = self.teams.order().iter().rev().copied().collect();
            let mut budget =
                PreemptionBudget::unlimited(order, WORKER_SEARCH_LIMIT);
            let wanted =
                self.count_waiting_tasks(team, class).min(TASKS_PER_PASS);
            while self.claim_count(team, class) < wanted {
                if self.make_room(team, class, &mut budget, now, out).is_none()
                {
                    self.urgent_retry_at = now.plus_ms(URGENT_RETRY_MS);
                    break;
                }
            }
        }
    }

    /// Returns the teams and classes of urgent work that can't start, because
    /// no worker has room or the team's allotment is used up.
    fn urgent_without_room(&self) -> Vec<(TeamSlot, ClassSlot)> {
        let urgent = self.classes.urgent_classes();
        let mut found = Vec::new();
        if urgent.is_empty() {
            return found;
        }
        for &team in self.teams.order() {
            let team_record = self.teams.get(team);
            for class in team_record.waiting_classes.intersection(urgent) {
                let blocked = self.classes.blocked_classes().contains(class);
                if blocked || !team_record.ready_classes.contains(class) {
                    found.push((team, class));
                }
            }
        }
        found
    }

    /// Preempts tasks of a team whose allotment is used up, until `size` more
    /// is allowed for its own urgent work.
    fn preempt_within_team(
        &mut self,
        team: TeamSlot,
        size: &Resources,
        now: TimeMs,
        out: &mut Vec<Effect>,
    ) {
        let team_record = self.teams.get(team);
        if !size.fits_in(&team_record.allotment) {
            return;
        }
        let victims: Vec<Victim> =
            team_record.preemptible.iter().copied().collect();
        let mut running = team_record.running;
        for victim in victims {
            let id = victim.task;
            if running.plus(size).fits_in(&self.teams.get(team).allotment) {
                return;
            }
            running = running.minus(&self.size_of(id));
            if self.task_state(id) == Some(TaskState::Running) {
                self.evict_task(id, StopReason::Preempted, now, out);
            }
        }
    }

    /// Returns the fraction of the cell that a task takes up by its declared
    /// size.
    pub(super) fn fraction_of(&self, id: TaskId) -> f64 {
        self.size_of(id).dominant_share(self.fleet.held())
    }

    fn size_of(&self, id: TaskId) -> Resources {
        self.jobs[&id.job].group_of(id.index).size
    }

    /// Returns a lower bound of the number of waiting tasks in a lane: those
    /// of its first entry, and one for each further entry.
    fn count_waiting_tasks(&self, team: TeamSlot, class: ClassSlot) -> usize {
        let Some(entry) = self.backlog.first(team, class) else { return 0 };
        let group = &self.jobs[&entry.job].groups[entry.group as usize];
        group.waiting.len() + self.backlog.len(team, class) - 1
    }

    /// Preempts tasks on one worker until a task of the class fits there, and
    /// claims the room for the team. Returns the preempted tasks, or `None`
    /// if the budget allows no such preemption.
    fn make_room(
        &mut self,
        team: TeamSlot,
        class: ClassSlot,
        budget: &mut PreemptionBudget,
        now: TimeMs,
        out: &mut Vec<Effect>,
    ) -> Option<Vec<TaskId>> {
        let (worker, victims) = self.find_victims(class, budget)?;
        for &victim in &victims {
            let team = self.jobs[&victim.job].team;
            budget.spend(team, self.fraction_of(victim));
            self.evict_task(victim, StopReason::Preempted, now, out);
        }
        self.claim_room(team, class, worker, now);
        Some(victims)
    }

    /// Returns a worker and the tasks to preempt on it so that a task of the
    /// class fits there.
    fn find_victims(
        &self,
        class: ClassSlot,
        budget: &mut PreemptionBudget,
    ) -> Option<(WorkerSlot, Vec<TaskId>)> {
        let key = self.classes.get(class);
        for team in budget.order.clone() {
            let sample = self.teams.get(team).preemptible.iter();
            for victim in sample.take(VICTIMS_PER_TEAM) {
                let job = &self.jobs[&victim.task.job];
                let task = &job.tasks[victim.task.index as usize];
                let Some(slot) = task.slot else { continue };
                let Some(worker) = self.fleet.get(slot) else { continue };
                let data_centre = &worker.shape.data_centre;
                let suits = worker.is_ready()
                    && key.size.fits_in(&worker.shape.held)
                    && key
                        .data_centre
                        .as_ref()
                        .is_none_or(|at| at == data_centre);
                if !suits {
                    continue;
                }
                if !budget.try_start_search() {
                    return None;
                }
                let victims = self.victims_on(slot, &key.size, budget);
                if let Some(victims) = victims {
                    return Some((slot, victims));
                }
            }
        }
        None
    }

    /// Returns the tasks to preempt on a worker so that `size` fits there, or
    /// `None` if that is not possible or not needed. Tasks that lose the
    /// least work are chosen first.
    pub(super) fn victims_on(
        &self,
        slot: WorkerSlot,
        size: &Resources,
        budget: &PreemptionBudget,
    ) -> Option<Vec<TaskId>> {
        let worker = self.fleet.get(slot)?;
        let mut candidates: Vec<Victim> = worker
            .tasks
            .iter()
            .filter(|id| self.task_state(**id) == Some(TaskState::Running))
            .filter(|id| {
                let team = self.jobs[&id.job].team;
                budget.can_take(team, self.fraction_of(**id))
            })
            .filter_map(|id| self.victim(*id))
            .collect();
        candidates.sort_unstable();
        let mut room = worker.room();
        let mut chosen = Vec::new();
        for victim in candidates {
            if size.fits_in(&room) {
                break;
            }
            room = room.plus(&self.size_of(victim.task));
            chosen.push(victim.task);
        }
        if !size.fits_in(&room) || chosen.is_empty() {
            return None;
        }
        self.drop_unneeded_victims(size, room, &mut chosen);
        Some(chosen)
    }

    /// Removes the tasks from `chosen` without which `size` still fits.
    fn drop_unneeded_victims(
        &self,
        size: &Resources,
        mut room: Resources,
        chosen: &mut Vec<TaskId>,
    ) {
        chosen.retain(|&id| {
            let without = room.minus(&self.size_of(id));
            let unneeded = size.fits_in(&without);
            if unneeded {
                room = without;
            }
            !unneeded
        });
    }

    /// Preempts tasks of teams above their share for teams below theirs.
    pub(super) fn rebalance(&mut self, now: TimeMs, out: &mut Vec<Effect>) {
        let is_early = now.ms_since(self.rebalanced_at) < REBALANCE_MS;
        if !self.options.preemption || is_early {
            return;
        }
        self.rebalanced_at = now;
        self.clear_reserved_room(now, out);
        if self.backlog.is_empty() {
            return;
        }
        let mut balances = self.balances();
        let mut budget = excess_budget(&balances, WORKER_SEARCH_LIMIT);
        let mut tasks_left = TASKS_PER_PASS;
        let mut below_share: Vec<usize> = (0..balances.len())
            .filter(|&index| balances[index].is_below_share())
            .collect();
        below_share.sort_by(|&a, &b| {
            balances[a].excess().total_cmp(&balances[b].excess())
        });
        for index in below_share {
            while tasks_left > 0
                && balances[index].is_below_share()
                && self.make_room_for_team(
                    &mut balances[index],
                    &mut budget,
                    now,
                    out,
                )
            {
                tasks_left -= 1;
            }
        }
    }

    /// Returns the usage and the fair share of every team.
    fn balances(&self) -> Vec<ShareBalance> {
        let held = self.fleet.held();
        let mut demands = Vec::new();
        let mut balances = Vec::new();
        for (team, team_record) in self.teams.iter() {
            let wanted = team_record.running.plus(&team_record.waiting);
            let allowed = team_record.allotment.dominant_share(held);
            let fraction = team_record
                .running
                .plus(&self.claimed_room(team))
                .dominant_share(held);
            demands.push(Demand {
                weight: f64::from(team_record.weight.max(1)),
                fraction: wanted.dominant_share(held).min(allowed),
            });
            balances.push(ShareBalance { team, fraction, fair_fraction: 0.0 });
        }
        let total_fraction =
            balances.iter().map(|balance| balance.fraction).sum();
        let fair_fractions = divide(total_fraction, &demands);
        for (balance, fair_fraction) in balances.iter_mut().zip(fair_fractions)
        {
            balance.fair_fraction = fair_fraction;
        }
        balances
    }

    /// Makes room for one task of a team below its share. Returns whether it
    /// did.
    fn make_room_for_team(
        &mut self,
        balance: &mut ShareBalance,
        budget: &mut PreemptionBudget,
        now: TimeMs,
        out: &mut Vec<Effect>,
    ) -> bool {
        let team = balance.team;
        let Some(class) = self.first_blocked(team) else { return false };
        let held = *self.fleet.held();
        let gained = self.classes.get(class).size.dominant_share(&held);
        // A task that takes the team further above its share than the team
        // is below it now would soon be preempted in turn.
        if balance.fair_fraction - balance.fraction <= gained / 2.0 {
            return false;
        }
        if self.make_room(team, class, budget, now, out).is_none() {
            return false;
        }
        balance.fraction += gained;
        true
    }

    /// Returns the class of the team's lowest-ranked waiting work for which
    /// there is no room and not enough claimed room.
    fn first_blocked(&self, team: TeamSlot) -> Option<ClassSlot> {
        let team_record = self.teams.get(team);
        team_record
            .waiting_classes
            .intersection(self.classes.blocked_classes())
            .filter(|&class| team_record.allows(&self.classes.get(class).size))
            .filter(|&class| {
                self.claim_count(team, class)
                    < self.count_waiting_tasks(team, class)
            })
            .min_by_key(|&class| {
                self.backlog.first(team, class).map(|entry| entry.rank_ms)
            })
    }

    /// Returns a budget of the teams above their share if `team` is below its
    /// share, else an empty one.
    pub(super) fn excess_budget_for(
        &self,
        team: TeamSlot,
    ) -> PreemptionBudget {
        let balances = self.balances();
        let is_below = balances
            .iter()
            .any(|balance| balance.team == team && balance.is_below_share());
        if is_below {
            excess_budget(&balances, WORKER_SEARCH_LIMIT)
        } else {
            PreemptionBudget::default()
        }
    }
}

/// Returns a budget from which each team above its share may lose what it
/// uses beyond it.
fn excess_budget(
    balances: &[ShareBalance],
    searches: u32,
) -> PreemptionBudget {
    let excesses = balances
        .iter()
        .filter(|balance| balance.is_above_share())
        .map(|balance| (balance.team, balance.excess()))
        .collect();
    PreemptionBudget::from_excess(excesses, searches)
}
