use super::{Violation, placement_model::PlacementModel};
use crate::scheduler::{Effect, Event};

/// Checks that no task is sent anywhere while it may run somewhere.
#[derive(Clone, Debug, Default)]
pub struct SinglePlacementCheck {
    placements: PlacementModel,
}

impl SinglePlacementCheck {
    /// Takes in an event before the scheduler's answer to it.
    pub fn observe_event(&mut self, event: &Event) {
        self.placements.observe_event(event);
    }

    /// Takes in the effects of an event, in their order, and returns what
    /// contradicts the promise.
    pub fn observe_effects(&mut self, effects: &[Effect]) -> Vec<Violation> {
        let mut violations = Vec::new();
        for effect in effects {
            if let Effect::Start { task, worker, .. } = effect
                && let Some(place) = self.placements.places.get(task)
            {
                violations.push(Violation::new(
                    "one place",
                    format!(
                        "task {task} was sent to `{worker}` while it may run \
                         on `{}`",
                        place.worker
                    ),
                ));
            }
            self.placements.observe_effect(effect);
        }
        violations
    }
}
