use std::collections::BTreeMap;

use super::{Violation, placement_model::PlacementModel};
use crate::{
    JobId, Resources, TaskId, TeamName,
    scheduler::{Effect, Event},
};

/// Checks that no start makes a team's running tasks exceed its allotment in
/// the shard.
#[derive(Clone, Debug, Default)]
pub struct TeamLimitCheck {
    model: PlacementModel,
    allotments: BTreeMap<TeamName, Resources>,
    running: BTreeMap<TeamName, Resources>,
}

impl TeamLimitCheck {
    /// Records an event, before the effects that it has on the scheduler.
    pub fn observe_event(&mut self, event: &Event) {
        match event {
            Event::AllotmentChanged { team, allotment } => {
                self.allotments.insert(team.clone(), *allotment);
            }
            Event::TaskRunning { task, .. }
            | Event::TaskNotStarted { task, .. }
            | Event::TaskEnded { task, .. } => {
                let before = self.placed_size(*task);
                self.model.observe_event(event);
                self.count(task.job, before, self.placed_size(*task));
            }
            Event::WorkerLapsed { .. } => {
                self.model.observe_event(event);
                self.count_all();
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
            let before = self.placed_size(*task);
            self.model.observe_effect(effect);
            self.count(task.job, before, self.placed_size(*task));
            if let Effect::Start { task, .. } = effect {
                violations.extend(self.check(task.job));
            }
        }
        violations
    }

    fn placed_size(&self, task: TaskId) -> Resources {
        self.model
            .placements
            .get(&task)
            .map_or(Resources::ZERO, |place| place.size)
    }

    /// Updates the sum of a job's team after the size of a placed task
    /// changed.
    fn count(&mut self, job: JobId, before: Resources, after: Resources) {
        let Some(spec) = self.model.jobs.get(&job) else { return };
        let sum = self.running.entry(spec.team.clone()).or_default();
        *sum = sum.minus(&before).plus(&after);
    }

    /// Recomputes the sums of all teams.
    fn count_all(&mut self) {
        self.running.clear();
        for (task, place) in &self.model.placements {
            if let Some(spec) = self.model.jobs.get(&task.job) {
                let sum = self.running.entry(spec.team.clone()).or_default();
                *sum = sum.plus(&place.size);
            }
        }
    }

    fn check(&self, job: JobId) -> Option<Violation> {
        let team = &self.model.jobs.get(&job)?.team;
        let running = self.running.get(team).copied().unwrap_or_default();
        let allotment = self.allotments.get(team).copied().unwrap_or_default();
        (!running.fits_in(&allotment)).then(|| {
            Violation::new(
                "team limit",
                format!(
                    "team `{team}` runs {running}, but its allotment is \
                     {allotment}"
                ),
            )
        })
    }
}
