use std::collections::{BTreeMap, BTreeSet};

use super::{Violation, placement_model::PlacementModel};
use crate::{
    JobId, TaskId, TaskOutcome,
    config::QueuePolicy,
    scheduler::{Effect, Event},
};

/// Checks that tasks that start together do.
///
/// After each event, a gang of which a task was started has all its
/// unfinished tasks placed. The one exception is a gang that can save its
/// progress: a task that was moved may start again beside those that went
/// on.
#[derive(Clone, Debug, Default)]
pub struct WholeGangCheck {
    placements: PlacementModel,
    gang_queues: BTreeSet<crate::QueueName>,
    done: BTreeMap<JobId, BTreeSet<TaskId>>,
}

impl WholeGangCheck {
    /// Takes in an event before the scheduler's answer to it.
    pub fn observe_event(&mut self, event: &Event) {
        self.placements.observe_event(event);
        match event {
            Event::QueueChanged { queue, config }
                if config.policy == QueuePolicy::Gang =>
            {
                self.gang_queues.insert(queue.clone());
            }
            Event::TaskEnded { task, outcome: TaskOutcome::Done, .. } => {
                self.done.entry(task.job).or_default().insert(*task);
            }
            _ => {}
        }
    }

    /// Takes in the effects of an event, in their order, and returns what
    /// contradicts the promise.
    pub fn observe_effects(&mut self, effects: &[Effect]) -> Vec<Violation> {
        let mut started: BTreeMap<JobId, usize> = BTreeMap::new();
        for effect in effects {
            if let Effect::Start { task, .. } = effect {
                *started.entry(task.job).or_default() += 1;
            }
            self.placements.observe_effect(effect);
        }
        started
            .into_iter()
            .filter_map(|(job, starts)| self.check(job, starts))
            .collect()
    }

    fn check(&self, job: JobId, starts: usize) -> Option<Violation> {
        let spec = self.placements.jobs.get(&job)?;
        if !spec.all_at_once && !self.gang_queues.contains(&spec.queue) {
            return None;
        }
        let tasks = TaskId::new(job, 0)..=TaskId::new(job, u32::MAX);
        let placed = self.placements.places.range(tasks).count();
        let done = self.done.get(&job).map_or(0, BTreeSet::len);
        let movable =
            spec.tasks.iter().all(|g| g.can_checkpoint && g.idempotent);
        let whole = placed + done >= spec.task_count() as usize;
        if whole || (movable && placed > starts) {
            return None;
        }
        Some(Violation::new(
            "gang whole",
            format!(
                "{starts} tasks of job {job} were started; {placed} are \
                 placed and {done} done of {}",
                spec.task_count()
            ),
        ))
    }
}
