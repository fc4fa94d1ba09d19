use std::collections::BTreeSet;

use rustc_hash::FxHashMap;

use super::slot::{ClassSlot, TeamSlot};
use crate::JobId;

/// A group of a job with tasks that could start.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct WaitingGroup {
    /// The lowest goes first.
    pub(super) rank_ms: u64,
    pub(super) job: JobId,
    pub(super) group: u32,
}

/// The waiting work, by team and class.
///
/// Only work that could start is here, so nothing that is held back, ended
/// or running costs a decision any time.
#[derive(Clone, Debug, Default)]
pub(super) struct Backlog {
    lanes: FxHashMap<(TeamSlot, ClassSlot), BTreeSet<WaitingGroup>>,
}

impl Backlog {
    /// Adds an entry and says whether the lane was empty before.
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

    /// Removes an entry and says whether the lane is empty now.
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

    /// Returns the entry of a lane that goes first.
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

    /// Says whether nothing waits.
    pub(super) fn is_empty(&self) -> bool {
        self.lanes.is_empty()
    }
}
