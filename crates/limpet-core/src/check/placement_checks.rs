use super::{
    CommittedWithinHeld, GangWhole, NothingForgotten, OnePlace,
    TaskAtMostOnce, TeamLimit, Violation,
};
use crate::scheduler::{Effect, Event};

/// The checks of every promise that placement has to keep.
#[derive(Clone, Debug, Default)]
pub struct PlacementChecks {
    committed: CommittedWithinHeld,
    one_place: OnePlace,
    team_limit: TeamLimit,
    at_most_once: TaskAtMostOnce,
    gang_whole: GangWhole,
    /// Whether every accepted job is still known.
    pub nothing_forgotten: NothingForgotten,
}

impl PlacementChecks {
    /// Takes in an event before the scheduler's answer to it.
    pub fn observe_event(&mut self, event: &Event) {
        self.committed.observe_event(event);
        self.one_place.observe_event(event);
        self.team_limit.observe_event(event);
        self.at_most_once.observe_event(event);
        self.gang_whole.observe_event(event);
        self.nothing_forgotten.observe_event(event);
    }

    /// Takes in the effects of an event, in their order, and returns what
    /// contradicts any promise.
    pub fn observe_effects(&mut self, effects: &[Effect]) -> Vec<Violation> {
        let mut violations = self.committed.observe_effects(effects);
        violations.extend(self.one_place.observe_effects(effects));
        violations.extend(self.team_limit.observe_effects(effects));
        violations.extend(self.at_most_once.observe_effects(effects));
        violations.extend(self.gang_whole.observe_effects(effects));
        violations.extend(self.nothing_forgotten.observe_effects(effects));
        violations
    }
}
