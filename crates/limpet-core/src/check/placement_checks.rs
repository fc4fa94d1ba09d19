use super::{
    JobRetentionCheck, SinglePlacementCheck, TaskAtMostOnceCheck,
    TeamLimitCheck, Violation, WholeGangCheck, WorkerCapacityCheck,
};
use crate::scheduler::{Effect, Event};

/// All checkers of the invariants of placement.
#[derive(Clone, Debug, Default)]
pub struct PlacementChecks {
    worker_capacity: WorkerCapacityCheck,
    single_placement: SinglePlacementCheck,
    team_limit: TeamLimitCheck,
    at_most_once: TaskAtMostOnceCheck,
    whole_gang: WholeGangCheck,
    /// The checker that every accepted job stays known.
    pub job_retention: JobRetentionCheck,
}

impl PlacementChecks {
    /// Records an event, before the effects that it has on the scheduler.
    pub fn observe_event(&mut self, event: &Event) {
        self.worker_capacity.observe_event(event);
        self.single_placement.observe_event(event);
        self.team_limit.observe_event(event);
        self.at_most_once.observe_event(event);
        self.whole_gang.observe_event(event);
        self.job_retention.observe_event(event);
    }

    /// Records the effects of an event, in their order, and returns the
    /// violations of any invariant that they show.
    pub fn observe_effects(&mut self, effects: &[Effect]) -> Vec<Violation> {
        let mut violations = self.worker_capacity.observe_effects(effects);
        violations.extend(self.single_placement.observe_effects(effects));
        violations.extend(self.team_limit.observe_effects(effects));
        violations.extend(self.at_most_once.observe_effects(effects));
        violations.extend(self.whole_gang.observe_effects(effects));
        violations.extend(self.job_retention.observe_effects(effects));
        violations
    }
}
