use super::slot::TeamSlot;

/// The teams whose running work may make room for others.
#[derive(Clone, Debug, Default)]
pub(super) struct Donors {
    /// The teams, the one that gives first in front.
    pub(super) order: Vec<TeamSlot>,
    /// The part of the cell that each team can spare, by its slot.
    spare: Vec<f64>,
    /// How many more workers may be searched for victims.
    searches_left: u32,
}

impl Donors {
    /// Returns donors that give whatever they run.
    pub(super) fn of_everything(
        order: Vec<TeamSlot>,
        searches: u32,
    ) -> Donors {
        let mut donors =
            Donors { order, spare: Vec::new(), searches_left: searches };
        for team in donors.order.clone() {
            donors.set_spare(team, f64::INFINITY);
        }
        donors
    }

    /// Returns donors that give what they have beyond their share, the one
    /// furthest over first.
    pub(super) fn of_excess(
        mut excesses: Vec<(TeamSlot, f64)>,
        searches: u32,
    ) -> Donors {
        excesses.sort_by(|a, b| b.1.total_cmp(&a.1));
        let mut donors =
            Donors { searches_left: searches, ..Donors::default() };
        for (team, excess) in excesses {
            donors.order.push(team);
            donors.set_spare(team, excess);
        }
        donors
    }

    /// Says whether nobody gives anything.
    pub(super) fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    /// Says whether a team can spare a task of this part of the cell. It
    /// may end up below its share by less than it was above.
    pub(super) fn can_spare(&self, team: TeamSlot, part: f64) -> bool {
        let spare = self.spare.get(team.at()).copied().unwrap_or(0.0);
        spare > part / 2.0
    }

    /// Notes that a team gave a part of the cell.
    pub(super) fn give(&mut self, team: TeamSlot, part: f64) {
        if let Some(spare) = self.spare.get_mut(team.at()) {
            *spare -= part;
        }
    }

    /// Counts one search and says whether it may be made.
    pub(super) fn try_search(&mut self) -> bool {
        let allowed = self.searches_left > 0;
        self.searches_left = self.searches_left.saturating_sub(1);
        allowed
    }

    fn set_spare(&mut self, team: TeamSlot, spare: f64) {
        if team.at() >= self.spare.len() {
            self.spare.resize(team.at() + 1, 0.0);
        }
        self.spare[team.at()] = spare;
    }
}
