use std::collections::{BTreeMap, BTreeSet};

use super::{class_set::ClassSet, retry::RetryBudget, slot::TeamSlot};
use crate::{Resources, TaskId, TeamName, TimeMs};

/// The time in which past use of the cell loses half its weight.
const HALF_LIFE_MS: f64 = 1_800_000.0;
/// The most that past use may change a team's usage in the order of teams,
/// as a fraction of the cell. It limits how far a team that used less than
/// its share may exceed the share afterwards.
const CORRECTION_LIMIT: f64 = 0.02;

/// What is lost if a task is preempted, in increasing order.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum Loss {
    /// Nothing: the task saves its progress first.
    Nothing,
    /// The task's progress, as it has to start over.
    Progress,
    /// The task's progress, and service to its callers until it runs again.
    Service,
}

/// A preemptible task, ordered by the work that would be lost.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct Victim {
    pub(super) loss: Loss,
    /// `u64::MAX` less the start time, so that tasks that started later, and
    /// lose less, come first.
    pub(super) reversed_start_ms: u64,
    pub(super) task: TaskId,
}

/// The scheduler's record of a team.
#[derive(Clone, Debug)]
pub(super) struct Team {
    pub(super) name: TeamName,
    /// Its share of a full cell, relative to the other teams' weights.
    pub(super) weight: u32,
    /// The most that it may run at once in this shard.
    pub(super) allotment: Resources,
    /// The total size of its placed tasks.
    pub(super) running: Resources,
    /// The total size of its waiting tasks that may start.
    pub(super) waiting: Resources,
    /// The classes of its waiting tasks.
    pub(super) waiting_classes: ClassSet,
    /// The waiting classes without those that were found not to fit into its
    /// allotment at present.
    pub(super) ready_classes: ClassSet,
    /// Its placed tasks that may be preempted.
    pub(super) preemptible: BTreeSet<Victim>,
    /// Limits how many of its failed tasks are retried.
    pub(super) retries: RetryBudget,
    /// The fraction of the cell that it used on average, with exponential
    /// decay of past use.
    pub(super) mean_fraction: f64,
    /// When `mean_fraction` was last updated.
    updated_at: TimeMs,
    /// The fraction of the cell that it uses, corrected for past use and
    /// divided by its weight. The team with the lowest is served first.
    pub(super) weighted_usage: f64,
    /// Its index in [`TeamTable::order`].
    position: usize,
}

impl Team {
    /// Returns whether the allotment allows `size` in addition to what runs.
    pub(super) fn allows(&self, size: &Resources) -> bool {
        self.running.plus(size).fits_in(&self.allotment)
    }

    /// Marks every waiting class as ready, after the allotment grew or a task
    /// ended.
    pub(super) fn reset_ready_classes(&mut self) {
        self.ready_classes.clone_from(&self.waiting_classes);
    }

    /// Returns the fraction of the cell that it uses now, by its dominant
    /// resource.
    pub(super) fn fraction(&self, held: &Resources) -> f64 {
        self.running.dominant_share(held)
    }

    /// Updates the mean usage and the weighted usage. A team that used less in
    /// the past than it uses now counts as using less, and the reverse; the
    /// difference is at most [`CORRECTION_LIMIT`]. A team that uses nothing
    /// now always counts as using nothing.
    fn refresh(&mut self, held: &Resources, now: TimeMs) {
        let fraction = self.fraction(held);
        let passed_ms = now.ms_since(self.updated_at) as f64;
        if passed_ms > 0.0 {
            let retained = (-passed_ms / HALF_LIFE_MS).exp2();
            self.mean_fraction =
                self.mean_fraction * retained + fraction * (1.0 - retained);
            self.updated_at = now;
        }
        let correction = (self.mean_fraction - fraction)
            .clamp(-CORRECTION_LIMIT, CORRECTION_LIMIT)
            .min(fraction);
        let weight = f64::from(self.weight.max(1));
        self.weighted_usage = (fraction + correction).max(0.0) / weight
            + fraction / weight * CURRENT_USE_WEIGHT;
    }
}

/// The weight of current use added to the corrected use. It orders teams
/// whose corrected use is equal by what they run now.
const CURRENT_USE_WEIGHT: f64 = 1.0e-3;

/// The teams, ordered by weighted usage.
#[derive(Clone, Debug, Default)]
pub(super) struct TeamTable {
    teams: Vec<Team>,
    by_name: BTreeMap<TeamName, TeamSlot>,
    order: Vec<TeamSlot>,
}

impl TeamTable {
    /// Returns the slot of a team, adding the team if needed. A new team has
    /// no allotment, so that none of its tasks starts until it gets one.
    pub(super) fn slot_or_insert(&mut self, name: &TeamName) -> TeamSlot {
        if let Some(&slot) = self.by_name.get(name) {
            return slot;
        }
        let slot = TeamSlot(self.teams.len() as u32);
        self.teams.push(Team {
            name: name.clone(),
            weight: 1,
            allotment: Resources::ZERO,
            running: Resources::ZERO,
            waiting: Resources::ZERO,
            waiting_classes: ClassSet::default(),
            ready_classes: ClassSet::default(),
            preemptible: BTreeSet::new(),
            retries: RetryBudget::default(),
            mean_fraction: 0.0,
            updated_at: TimeMs::ZERO,
            weighted_usage: 0.0,
            position: self.order.len(),
        });
        self.order.push(slot);
        self.by_name.insert(name.clone(), slot);
        slot
    }

    pub(super) fn slot(&self, name: &TeamName) -> Option<TeamSlot> {
        self.by_name.get(name).copied()
    }

    pub(super) fn get(&self, team: TeamSlot) -> &Team {
        &self.teams[team.index()]
    }

    pub(super) fn get_mut(&mut self, team: TeamSlot) -> &mut Team {
        &mut self.teams[team.index()]
    }

    /// Returns every team, ordered by name.
    pub(super) fn iter(&self) -> impl Iterator<Item = (TeamSlot, &Team)> {
        self.by_name.values().map(|&slot| (slot, self.get(slot)))
    }

    /// Returns the teams, the one to be served first in front.
    pub(super) fn order(&self) -> &[TeamSlot] {
        &self.order
    }

    /// Recomputes a team's weighted usage and its position in the order.
    pub(super) fn refresh(
        &mut self,
        team: TeamSlot,
        held: &Resources,
        now: TimeMs,
    ) {
        self.teams[team.index()].refresh(held, now);
        let mut position = self.teams[team.index()].position;
        while position > 0 && self.precedes(team, self.order[position - 1]) {
            position = self.swap(position, position - 1);
        }
        while position + 1 < self.order.len()
            && self.precedes(self.order[position + 1], team)
        {
            position = self.swap(position, position + 1);
        }
    }

    /// Recomputes the weighted usage of every team and the order.
    pub(super) fn refresh_all(&mut self, held: &Resources, now: TimeMs) {
        for index in 0..self.teams.len() {
            self.refresh(TeamSlot(index as u32), held, now);
        }
    }

    /// Returns whether `left` is served before `right`.
    fn precedes(&self, left: TeamSlot, right: TeamSlot) -> bool {
        self.get(left)
            .weighted_usage
            .total_cmp(&self.get(right).weighted_usage)
            .then(left.cmp(&right))
            .is_lt()
    }

    /// Swaps two positions of the order and returns `to`, the new position of
    /// the team that was at `from`.
    fn swap(&mut self, from: usize, to: usize) -> usize {
        self.order.swap(from, to);
        for position in [from, to] {
            let team = self.order[position];
            self.teams[team.index()].position = position;
        }
        to
    }
}
