use std::collections::BTreeMap;

use super::Violation;
use crate::{
    Resources, TaskId, WorkerId,
    scheduler::{Effect, Event},
};

use super::placement_model::PlacementModel;

/// Checks that no start makes the tasks placed on a worker need more resources
/// than the worker has.
#[derive(Clone, Debug, Default)]
pub struct WorkerCapacityCheck {
    model: PlacementModel,
    /// The total capacity of each worker.
    held: BTreeMap<WorkerId, Resources>,
    /// The sum of the sizes of the tasks placed on each worker.
    committed: BTreeMap<WorkerId, Resources>,
}

impl WorkerCapacityCheck {
    /// Records an event, before the effects that it has on the scheduler.
    pub fn observe_event(&mut self, event: &Event) {
        if let Event::WorkerJoined { shape } = event {
            self.held.insert(shape.worker.clone(), shape.held);
        }
        match event {
            Event::TaskRunning { task, .. }
            | Event::TaskNotStarted { task, .. }
            | Event::TaskEnded { task, .. } => {
                let before = self.placement_of(*task);
                self.model.observe_event(event);
                self.count(before, self.placement_of(*task));
            }
            Event::WorkerLapsed { worker } => {
                self.model.observe_event(event);
                self.committed.remove(worker);
                self.held.remove(worker);
            }
            _ => self.model.observe_event(event),
        }
    }

    /// Records the effects of an event, in their order, and returns the
    /// violations that they show.
    pub fn observe_effects(&mut self, effects: &[Effect]) -> Vec<Violation> {
        let mut violations = Vec::new();
        for effect in effects {
            let task = match effect {
                Effect::Start { task, .. } | Effect::Stop { task, .. } => task,
                _ => continue,
            };
            let before = self.placement_of(*task);
            self.model.observe_effect(effect);
            self.count(before, self.placement_of(*task));
            if let Effect::Start { worker, .. } = effect {
                violations.extend(self.check(worker));
            }
        }
        violations
    }

    fn placement_of(&self, task: TaskId) -> Option<(WorkerId, Resources)> {
        let place = self.model.placements.get(&task)?;
        Some((place.worker.clone(), place.size))
    }

    /// Updates the sums after the placement of a task changed.
    fn count(
        &mut self,
        before: Option<(WorkerId, Resources)>,
        after: Option<(WorkerId, Resources)>,
    ) {
        if let Some((worker, size)) = before {
            let sum = self.committed.entry(worker).or_default();
            *sum = sum.minus(&size);
        }
        if let Some((worker, size)) = after {
            let sum = self.committed.entry(worker).or_default();
            *sum = sum.plus(&size);
        }
    }

    fn check(&self, worker: &WorkerId) -> Option<Violation> {
        let held = self.held.get(worker).copied().unwrap_or_default();
        let committed =
            self.committed.get(worker).copied().unwrap_or_default();
        (!committed.fits_in(&held)).then(|| {
            Violation::new(
                "worker capacity",
                format!(
                    "worker `{worker}` has {held}, but {committed} are \
                     committed"
                ),
            )
        })
    }
}
