use std::collections::{BTreeMap, BTreeSet};

use super::{class_set::ClassSet, retry::RetryBudget, slot::TeamSlot};
use crate::{Resources, TaskId, TeamName, TimeMs};

/// The time in which past use of the cell loses half its weight.
const HALF_LIFE_MS: f64 = 1_800_000.0;
/// The most that past use may shift a team's standing, as a part of the
/// cell. It bounds how far a team that catches up may exceed its share.
const CATCH_UP_LIMIT: f64 = 0.02;

/// What is lost with a task that is taken off its worker.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum Loss {
    /// It saves its progress first.
    Nothing,
    /// It starts over.
    Progress,
    /// It starts over, and callers miss it meanwhile.
    Service,
}

/// A running task that may be taken off its worker for others, ordered by
/// the work that would be lost.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct Victim {
    pub(super) loss: Loss,
    /// The later it started, the less is lost.
    pub(super) youth_ms: u64,
    pub(super) task: TaskId,
}

/// What the scheduler keeps of a team.
#[derive(Clone, Debug)]
pub(super) struct Team {
    pub(super) name: TeamName,
    pub(super) weight: u32,
    pub(super) allotment: Resources,
    pub(super) running: Resources,
    /// What its tasks in the backlog ask for.
    pub(super) waiting: Resources,
    pub(super) waiting_classes: ClassSet,
    /// The waiting classes, less those that its allotment was found not to
    /// allow at present.
    pub(super) ready_classes: ClassSet,
    pub(super) preemptible: BTreeSet<Victim>,
    pub(super) retries: RetryBudget,
    /// Its decayed mean part of the cell.
    pub(super) mean_part: f64,
    updated_at: TimeMs,
    /// Its part of the cell by weight, with the correction for past use.
    /// The team with the lowest goes first.
    pub(super) standing: f64,
    position: usize,
}

impl Team {
    /// Says whether `size` more may run.
    pub(super) fn allows(&self, size: &Resources) -> bool {
        self.running.plus(size).fits_in(&self.allotment)
    }

    /// Looks at every waiting class again, after room in the allotment grew.
    pub(super) fn ready_all(&mut self) {
        self.ready_classes.clone_from(&self.waiting_classes);
    }

    /// Returns its part of the cell now.
    pub(super) fn part(&self, held: &Resources) -> f64 {
        self.running.dominant_part(held)
    }

    fn refresh(&mut self, held: &Resources, now: TimeMs) {
        let part = self.part(held);
        let passed_ms = now.ms_since(self.updated_at) as f64;
        if passed_ms > 0.0 {
            let kept = (-passed_ms / HALF_LIFE_MS).exp2();
            self.mean_part = self.mean_part * kept + part * (1.0 - kept);
            self.updated_at = now;
        }
        let correction = (self.mean_part - part)
            .clamp(-CATCH_UP_LIMIT, CATCH_UP_LIMIT)
            .min(part);
        let weight = f64::from(self.weight.max(1));
        self.standing = (part + correction).max(0.0) / weight
            + part / weight * STANDING_TIE;
    }
}

/// Keeps teams that the correction puts level in the order of what they
/// run.
const STANDING_TIE: f64 = 1.0e-3;

/// The teams, in the order of their standing.
#[derive(Clone, Debug, Default)]
pub(super) struct TeamTable {
    teams: Vec<Team>,
    by_name: BTreeMap<TeamName, TeamSlot>,
    order: Vec<TeamSlot>,
}

impl TeamTable {
    /// Returns the slot of a team, which is added if need be. A team that
    /// was never given an allotment may run nothing.
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
            mean_part: 0.0,
            updated_at: TimeMs::ZERO,
            standing: 0.0,
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
        &self.teams[team.at()]
    }

    pub(super) fn get_mut(&mut self, team: TeamSlot) -> &mut Team {
        &mut self.teams[team.at()]
    }

    /// Returns every team, by name.
    pub(super) fn iter(&self) -> impl Iterator<Item = (TeamSlot, &Team)> {
        self.by_name.values().map(|&slot| (slot, self.get(slot)))
    }

    /// Returns the teams, the one that goes first in front.
    pub(super) fn order(&self) -> &[TeamSlot] {
        &self.order
    }

    /// Works a team's standing out again and moves it where it belongs.
    pub(super) fn refresh(
        &mut self,
        team: TeamSlot,
        held: &Resources,
        now: TimeMs,
    ) {
        self.teams[team.at()].refresh(held, now);
        let mut position = self.teams[team.at()].position;
        while position > 0 && self.goes_before(team, self.order[position - 1])
        {
            position = self.swap(position, position - 1);
        }
        while position + 1 < self.order.len()
            && self.goes_before(self.order[position + 1], team)
        {
            position = self.swap(position, position + 1);
        }
    }

    /// Works every team's standing out again.
    pub(super) fn refresh_all(&mut self, held: &Resources, now: TimeMs) {
        for index in 0..self.teams.len() {
            self.refresh(TeamSlot(index as u32), held, now);
        }
    }

    fn goes_before(&self, left: TeamSlot, right: TeamSlot) -> bool {
        self.get(left)
            .standing
            .total_cmp(&self.get(right).standing)
            .then(left.cmp(&right))
            .is_lt()
    }

    fn swap(&mut self, from: usize, to: usize) -> usize {
        self.order.swap(from, to);
        for position in [from, to] {
            let team = self.order[position];
            self.teams[team.at()].position = position;
        }
        to
    }
}
