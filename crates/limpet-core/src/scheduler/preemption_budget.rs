use super::slot::TeamSlot;

/// How much running work each team may lose to others in one pass.
#[derive(Clone, Debug, Default)]
pub(super) struct PreemptionBudget {
    /// The teams, the one whose tasks are preempted first in front.
    pub(super) order: Vec<TeamSlot>,
    /// The fraction of the cell that each team may still lose, by its slot.
    limits: Vec<f64>,
    /// How many more workers may be searched for victims.
    searches_left: u32,
}

impl PreemptionBudget {
    /// Returns a budget from which teams may lose everything that they run.
    pub(super) fn unlimited(
        order: Vec<TeamSlot>,
        searches: u32,
    ) -> PreemptionBudget {
        let mut budget = PreemptionBudget {
            order,
            limits: Vec::new(),
            searches_left: searches,
        };
        for team in budget.order.clone() {
            budget.set_limit(team, f64::INFINITY);
        }
        budget
    }

    /// Returns a budget from which each team may lose its excess over its
    /// share, the team with the largest excess first.
    pub(super) fn from_excess(
        mut excesses: Vec<(TeamSlot, f64)>,
        searches: u32,
    ) -> PreemptionBudget {
        excesses.sort_by(|a, b| b.1.total_cmp(&a.1));
        let mut budget = PreemptionBudget {
            searches_left: searches,
            ..PreemptionBudget::default()
        };
        for (team, excess) in excesses {
            budget.order.push(team);
            budget.set_limit(team, excess);
        }
        budget
    }

    /// Returns whether no team may lose anything.
    pub(super) fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    /// Returns whether a team may lose a task that uses this fraction of the
    /// cell. The team may end up below its share, but by less than it was
    /// above it.
    pub(super) fn can_take(&self, team: TeamSlot, fraction: f64) -> bool {
        let limit = self.limits.get(team.index()).copied().unwrap_or(0.0);
        limit > fraction / 2.0
    }

    /// Records that a team loses a fraction of the cell.
    pub(super) fn spend(&mut self, team: TeamSlot, fraction: f64) {
        if let Some(limit) = self.limits.get_mut(team.index()) {
            *limit -= fraction;
        }
    }

    /// Counts one search of a worker and returns whether it is allowed.
    pub(super) fn try_start_search(&mut self) -> bool {
        let allowed = self.searches_left > 0;
        self.searches_left = self.searches_left.saturating_sub(1);
        allowed
    }

    fn set_limit(&mut self, team: TeamSlot, limit: f64) {
        if team.index() >= self.limits.len() {
            self.limits.resize(team.index() + 1, 0.0);
        }
        self.limits[team.index()] = limit;
    }
}
