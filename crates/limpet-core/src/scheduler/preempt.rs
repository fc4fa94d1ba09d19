//! Takes running work off workers for urgent work and for teams below their
//! share.

use super::{
    Effect, Scheduler, StopReason,
    fair::{Demand, divide},
    preemption_budget::Donors,
    slot::{ClassSlot, TeamSlot, WorkerSlot},
    team::Victim,
};
use crate::{Resources, TaskId, TaskState, TimeMs};

/// How often the teams' parts are compared with their shares.
const REBALANCE_MS: u64 = 500;
/// How soon room for urgent work is looked for again after none was found.
const URGENT_RETRY_MS: u64 = 100;
/// The most tasks for which room is made at one time.
const ROUND_LIMIT: usize = 32;
/// How many victims of a team are considered.
const VICTIM_SAMPLE: usize = 16;
/// How many workers are searched for victims at one time.
const SEARCH_LIMIT: u32 = 256;
/// The part of the cell by which a team may miss its share before others
/// make room for it, and by which donors may fall below theirs.
const TOLERANCE: f64 = 0.01;

/// How a team stands between what it has and what is its due.
#[derive(Clone, Copy, Debug)]
struct Balance {
    team: TeamSlot,
    part: f64,
    fair: f64,
}

impl Balance {
    fn tolerance(&self) -> f64 {
        TOLERANCE.min(self.fair / 4.0)
    }

    fn is_under(&self) -> bool {
        self.part < self.fair - self.tolerance()
    }

    fn is_over(&self) -> bool {
        self.part > self.fair
    }

    fn excess(&self) -> f64 {
        self.part - self.fair
    }
}

impl Scheduler {
    /// Takes room from the teams furthest over their share for urgent work
    /// that found none.
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
                self.make_way_in_team(team, &size, now, out);
                self.urgent_retry_at = now.plus_ms(URGENT_RETRY_MS * 5);
                continue;
            }
            let order = self.teams.order().iter().rev().copied().collect();
            let mut donors = Donors::of_everything(order, SEARCH_LIMIT);
            let wanted = self.lane_tasks(team, class).min(ROUND_LIMIT);
            while self.claim_count(team, class) < wanted {
                if self.make_room(team, class, &mut donors, now, out).is_none()
                {
                    self.urgent_retry_at = now.plus_ms(URGENT_RETRY_MS);
                    break;
                }
            }
        }
    }

    fn urgent_without_room(&self) -> Vec<(TeamSlot, ClassSlot)> {
        let urgent = self.classes.urgent_classes();
        let mut found = Vec::new();
        if urgent.is_empty() {
            return found;
        }
        for &team in self.teams.order() {
            let record = self.teams.get(team);
            for class in record.waiting_classes.common(urgent) {
                let blocked = self.classes.blocked_classes().contains(class);
                if blocked || !record.ready_classes.contains(class) {
                    found.push((team, class));
                }
            }
        }
        found
    }

    /// Takes as much off a team at its limit as its own urgent work needs.
    fn make_way_in_team(
        &mut self,
        team: TeamSlot,
        size: &Resources,
        now: TimeMs,
        out: &mut Vec<Effect>,
    ) {
        let record = self.teams.get(team);
        if !size.fits_in(&record.allotment) {
            return;
        }
        let victims: Vec<Victim> =
            record.preemptible.iter().copied().collect();
        let mut running = record.running;
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

    pub(super) fn part_of(&self, id: TaskId) -> f64 {
        self.size_of(id).dominant_part(self.fleet.held())
    }

    fn size_of(&self, id: TaskId) -> Resources {
        self.jobs[&id.job].group_of(id.index).size
    }

    /// Returns about how many tasks wait in a lane.
    fn lane_tasks(&self, team: TeamSlot, class: ClassSlot) -> usize {
        let Some(entry) = self.backlog.first(team, class) else { return 0 };
        let group = &self.jobs[&entry.job].groups[entry.group as usize];
        group.waiting.len() + self.backlog.len(team, class) - 1
    }

    /// Has tasks of the donors taken off one worker until the class fits
    /// there, and keeps the room. Returns what was taken off.
    fn make_room(
        &mut self,
        team: TeamSlot,
        class: ClassSlot,
        donors: &mut Donors,
        now: TimeMs,
        out: &mut Vec<Effect>,
    ) -> Option<Vec<TaskId>> {
        let (worker, victims) = self.find_victims(class, donors)?;
        for &victim in &victims {
            let team = self.jobs[&victim.job].team;
            donors.give(team, self.part_of(victim));
            self.evict_task(victim, StopReason::Preempted, now, out);
        }
        self.claim(team, class, worker, now);
        Some(victims)
    }

    fn find_victims(
        &self,
        class: ClassSlot,
        donors: &mut Donors,
    ) -> Option<(WorkerSlot, Vec<TaskId>)> {
        let key = self.classes.get(class);
        for donor in donors.order.clone() {
            let sample = self.teams.get(donor).preemptible.iter();
            for victim in sample.take(VICTIM_SAMPLE) {
                let job = &self.jobs[&victim.task.job];
                let task = &job.tasks[victim.task.index as usize];
                let Some(slot) = task.slot else { continue };
                let Some(worker) = self.fleet.get(slot) else { continue };
                let place = &worker.shape.data_centre;
                let suits = worker.is_ready()
                    && key.size.fits_in(&worker.shape.held)
                    && key.data_centre.as_ref().is_none_or(|at| at == place);
                if !suits {
                    continue;
                }
                if !donors.try_search() {
                    return None;
                }
                let victims = self.victims_on(slot, &key.size, donors);
                if let Some(victims) = victims {
                    return Some((slot, victims));
                }
            }
        }
        None
    }

    /// Returns the tasks to take off a worker so that `size` fits, the
    /// least lost work first.
    pub(super) fn victims_on(
        &self,
        slot: WorkerSlot,
        size: &Resources,
        donors: &Donors,
    ) -> Option<Vec<TaskId>> {
        let worker = self.fleet.get(slot)?;
        let mut candidates: Vec<Victim> = worker
            .tasks
            .iter()
            .filter(|id| self.task_state(**id) == Some(TaskState::Running))
            .filter(|id| {
                let team = self.jobs[&id.job].team;
                donors.can_spare(team, self.part_of(**id))
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
        self.spare_needless(size, room, &mut chosen);
        Some(chosen)
    }

    /// Leaves running what need not go after all.
    fn spare_needless(
        &self,
        size: &Resources,
        mut room: Resources,
        chosen: &mut Vec<TaskId>,
    ) {
        chosen.retain(|&id| {
            let without = room.minus(&self.size_of(id));
            let needless = size.fits_in(&without);
            if needless {
                room = without;
            }
            !needless
        });
    }

    /// Takes room from teams over their share for those below it.
    pub(super) fn rebalance(&mut self, now: TimeMs, out: &mut Vec<Effect>) {
        let early = now.ms_since(self.rebalanced_at) < REBALANCE_MS;
        if !self.options.preemption || early {
            return;
        }
        self.rebalanced_at = now;
        self.clear_reserved_room(now, out);
        if self.backlog.is_empty() {
            return;
        }
        let mut balances = self.balances();
        let mut donors = donors(&balances, SEARCH_LIMIT);
        let mut rounds = ROUND_LIMIT;
        let mut under: Vec<usize> = (0..balances.len())
            .filter(|&index| balances[index].is_under())
            .collect();
        under.sort_by(|&a, &b| {
            balances[a].excess().total_cmp(&balances[b].excess())
        });
        for index in under {
            while rounds > 0
                && balances[index].is_under()
                && self.give_room(&mut balances[index], &mut donors, now, out)
            {
                rounds -= 1;
            }
        }
    }

    fn balances(&self) -> Vec<Balance> {
        let held = self.fleet.held();
        let mut demands = Vec::new();
        let mut balances = Vec::new();
        for (team, record) in self.teams.iter() {
            let wanted = record.running.plus(&record.waiting);
            let allowed = record.allotment.dominant_part(held);
            let part = record
                .running
                .plus(&self.claimed_by(team))
                .dominant_part(held);
            demands.push(Demand {
                weight: f64::from(record.weight.max(1)),
                part: wanted.dominant_part(held).min(allowed),
            });
            balances.push(Balance { team, part, fair: 0.0 });
        }
        let whole = balances.iter().map(|balance| balance.part).sum();
        let fair = divide(whole, &demands);
        for (balance, fair) in balances.iter_mut().zip(fair) {
            balance.fair = fair;
        }
        balances
    }

    /// Makes room for one task of a team below its share.
    fn give_room(
        &mut self,
        balance: &mut Balance,
        donors: &mut Donors,
        now: TimeMs,
        out: &mut Vec<Effect>,
    ) -> bool {
        let team = balance.team;
        let Some(class) = self.first_blocked(team) else { return false };
        let held = *self.fleet.held();
        let gained = self.classes.get(class).size.dominant_part(&held);
        // Room that takes the team further over its share than it is below
        // would only be taken back.
        if balance.fair - balance.part <= gained / 2.0 {
            return false;
        }
        if self.make_room(team, class, donors, now, out).is_none() {
            return false;
        }
        balance.part += gained;
        true
    }

    /// Returns the class of the team's first waiting work without room.
    fn first_blocked(&self, team: TeamSlot) -> Option<ClassSlot> {
        let record = self.teams.get(team);
        record
            .waiting_classes
            .common(self.classes.blocked_classes())
            .filter(|&class| record.allows(&self.classes.get(class).size))
            .filter(|&class| {
                self.claim_count(team, class) < self.lane_tasks(team, class)
            })
            .min_by_key(|&class| {
                self.backlog.first(team, class).map(|entry| entry.rank_ms)
            })
    }

    /// Returns the teams over their share, where `team` is below its own.
    pub(super) fn donors_for(&self, team: TeamSlot) -> Donors {
        let balances = self.balances();
        let needs = balances
            .iter()
            .any(|balance| balance.team == team && balance.is_under());
        if needs { donors(&balances, SEARCH_LIMIT) } else { Donors::default() }
    }
}

/// Returns the teams over their share.
fn donors(balances: &[Balance], searches: u32) -> Donors {
    let excesses = balances
        .iter()
        .filter(|balance| balance.is_over())
        .map(|balance| (balance.team, balance.excess()))
        .collect();
    Donors::of_excess(excesses, searches)
}
