use std::collections::BTreeMap;

use crate::{
    JobId, JobSpec, Resources, TaskId, WorkerId,
    scheduler::{Effect, Event, StopReason},
};

/// Where a task was last sent or found, as seen from outside.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct Placement {
    pub(super) worker: WorkerId,
    pub(super) size: Resources,
    adopted: bool,
}

/// A reference model of what runs where, fed with events and effects only.
#[derive(Clone, Debug, Default)]
pub(super) struct PlacementModel {
    pub(super) jobs: BTreeMap<JobId, JobSpec>,
    pub(super) places: BTreeMap<TaskId, Placement>,
}

impl PlacementModel {
    /// Takes in an event before the scheduler's answer to it.
    pub(super) fn observe_event(&mut self, event: &Event) {
        match event {
            Event::JobAccepted { job, spec } => {
                self.jobs.entry(*job).or_insert_with(|| spec.clone());
            }
            Event::TaskRunning { task, worker } => self.adopt(*task, worker),
            Event::TaskNotStarted { task, worker }
            | Event::TaskEnded { task, worker, .. } => {
                self.remove(*task, worker);
            }
            Event::WorkerLapsed { worker } => {
                self.places.retain(|_, place| place.worker != *worker);
            }
            _ => {}
        }
    }

    fn adopt(&mut self, task: TaskId, worker: &WorkerId) {
        let size = self.size_of(task);
        self.places.entry(task).or_insert_with(|| Placement {
            worker: worker.clone(),
            size,
            adopted: true,
        });
    }

    /// Takes in an effect after the check of it.
    pub(super) fn observe_effect(&mut self, effect: &Effect) {
        match effect {
            Effect::Start { task, worker, size, .. } => {
                let place = Placement {
                    worker: worker.clone(),
                    size: *size,
                    adopted: false,
                };
                self.places.insert(*task, place);
            }
            // A task that is refused where it was found was not taken over.
            Effect::Stop { task, worker, reason: StopReason::Stray }
                if self.places.get(task).is_some_and(|p| p.adopted) =>
            {
                self.remove(*task, worker);
            }
            _ => {}
        }
    }

    pub(super) fn remove(&mut self, task: TaskId, worker: &WorkerId) {
        if self.places.get(&task).is_some_and(|p| p.worker == *worker) {
            self.places.remove(&task);
        }
    }

    pub(super) fn size_of(&self, task: TaskId) -> Resources {
        self.jobs
            .get(&task.job)
            .and_then(|spec| spec.task_group(task.index))
            .map_or(Resources::ZERO, |group| group.size())
    }
}
