use super::{Violation, placement_model::PlacementModel};
use crate::scheduler::{Effect, Event};

/// Checks that no task is started on a worker while it may be running on a
/// worker already.
#[derive(Clone, Debug, Default)]
pub struct SinglePlacementCheck {
    model: PlacementModel,
}

impl SinglePlacementCheck {
    /// Records an event, before the effects that it has on the scheduler.
    pub fn observe_event(&mut self, event: &Event) {
        self.model.observe_event(event);
    }

    /// Records the effects of an event, in their order, and returns the
    /// violations that they show.
    pub fn observe_effects(&mut self, effects: &[Effect]) -> Vec<Violation> {
        let mut violations = Vec::new();
        for effect in effects {
            if let Effect::Start { task, worker, .. } = effect
                && let Some(place) = self.model.placements.get(task)
            {
                violations.push(Violation::new(
                    "single placement",
                    format!(
                        "task {task} was sent to `{worker}` while it may be \
                         running on `{}`",
                        place.worker
                    ),
                ));
            }
            self.model.observe_effect(effect);
        }
        violations
    }
}
