use std::collections::BTreeSet;

use rustc_hash::FxHashMap;

use super::slot::{ClassSlot, TeamSlot};
use crate::JobId;

/// A task group with waiting tasks that may start.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct WaitingGroup {
    /// The rank of the job; the lowest is served first.
    pub(super) rank_ms: u64,
    pub(super) job: JobId,
    pub(super) group: u32,
}

/// The waiting work, in one ordered lane for each team and class.
///
/// It contains only work that may start, so that work that is held, ended or
/// running adds nothing to the cost of a decision.
#[derive(Clone, Debug, Default)]
pub(super) struct Backlog {
    lanes: FxHashMap<(TeamSlot, ClassSlot), BTreeSet<WaitingGroup>>,
}

impl Backlog {
    /// Adds an entry and returns whether its lane was empty before.
    pub(super) fn insert(
        &mut self,
        team: TeamSlot,
        class: ClassSlot,
        entry: WaitingGroup,
    ) -> bool {
        let lane = self.lanes.entry((team, class)).or_default();
        let was_empty = lane.is_empty();
        lane.insert(entry);
        was_empty
    }

    /// Removes an entry and returns whether its lane is empty now.
    pub(super) fn remove(
        &mut self,
        team: TeamSlot,
        class: ClassSlot,
        entry: &WaitingGroup,
    ) -> bool {
        let Some(lane) = self.lanes.get_mut(&(team, class)) else {
            return true;
        };
        lane.remove(entry);
        if !lane.is_empty() {
            return false;
        }
        self.lanes.remove(&(team, class));
        true
    }

    /// Returns the first entry of a lane, if there is any.
    pub(super) fn first(
        &self,
        team: TeamSlot,
        class: ClassSlot,
    ) -> Option<WaitingGroup> {
        self.lanes.get(&(team, class))?.first().copied()
    }

    /// Returns the number of entries in a lane.
    pub(super) fn len(&self, team: TeamSlot, class: ClassSlot) -> usize {
        self.lanes.get(&(team, class)).map_or(0, BTreeSet::len)
    }

    /// Returns whether there are no entries.
    pub(super) fn is_empty(&self) -> bool {
        self.lanes.is_empty()
    }
}
