use std::collections::BTreeMap;

use crate::{
    JobId, JobSpec, Resources, TaskId, WorkerId,
    scheduler::{Effect, Event, StopReason},
};

/// The worker to which a task was last sent or on which it was found running,
/// as seen from outside the scheduler.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct Placement {
    pub(super) worker: WorkerId,
    pub(super) size: Resources,
    /// Whether the task was found running without having been sent there.
    adopted: bool,
}

/// A reference model of the tasks on each worker, which is derived from the
/// scheduler's events and effects only.
#[derive(Clone, Debug, Default)]
pub(super) struct PlacementModel {
    pub(super) jobs: BTreeMap<JobId, JobSpec>,
    pub(super) placements: BTreeMap<TaskId, Placement>,
}

impl PlacementModel {
    /// Records an event, before the effects that it has on the scheduler.
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
                self.placements.retain(|_, place| place.worker != *worker);
            }
            _ => {}
        }
    }

    /// Records that a task was found running on a worker, unless it is placed
    /// already.
    fn adopt(&mut self, task: TaskId, worker: &WorkerId) {
        let size = self.size_of(task);
        self.placements.entry(task).or_insert_with(|| Placement {
            worker: worker.clone(),
            size,
            adopted: true,
        });
    }

    /// Records an effect. A checker evaluates the effect before this call.
    pub(super) fn observe_effect(&mut self, effect: &Effect) {
        match effect {
            Effect::Start { task, worker, size, .. } => {
                let place = Placement {
                    worker: worker.clone(),
                    size: *size,
                    adopted: false,
                };
                self.placements.insert(*task, place);
            }
            // The scheduler rejects a stray task that was found running, so
            // the task doesn't count as placed.
            Effect::Stop { task, worker, reason: StopReason::Stray }
                if self.placements.get(task).is_some_and(|p| p.adopted) =>
            {
                self.remove(*task, worker);
            }
            _ => {}
        }
    }

    pub(super) fn remove(&mut self, task: TaskId, worker: &WorkerId) {
        if self.placements.get(&task).is_some_and(|p| p.worker == *worker) {
            self.placements.remove(&task);
        }
    }

    pub(super) fn size_of(&self, task: TaskId) -> Resources {
        self.jobs
            .get(&task.job)
            .and_then(|spec| spec.task_group(task.index))
            .map_or(Resources::ZERO, |group| group.size())
    }
}
