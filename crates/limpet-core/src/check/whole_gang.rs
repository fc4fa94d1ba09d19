use std::collections::{BTreeMap, BTreeSet};

use super::{Violation, placement_model::PlacementModel};
use crate::{
    JobId, TaskId, TaskOutcome,
    config::QueuePolicy,
    scheduler::{Effect, Event},
};

/// Checks that the tasks of a gang are placed all together or not at all.
///
/// After an event that starts a task of a gang, all unfinished tasks of the
/// gang have to be placed. The one exception is a gang whose tasks all can
/// checkpoint and are idempotent: a task that was moved may start again
/// while others keep running.
#[derive(Clone, Debug, Default)]
pub struct WholeGangCheck {
    model: PlacementModel,
    gang_queues: BTreeSet<crate::QueueName>,
    done: BTreeMap<JobId, BTreeSet<TaskId>>,
}

impl WholeGangCheck {
    /// Records an event, before the effects that it has on the scheduler.
    pub fn observe_event(&mut self, event: &Event) {
        self.model.observe_event(event);
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

    /// Records the effects of an event, in their order, and returns the
    /// violations that they show.
    pub fn observe_effects(&mut self, effects: &[Effect]) -> Vec<Violation> {
        let mut started: BTreeMap<JobId, usize> = BTreeMap::new();
        for effect in effects {
            if let Effect::Start { task, .. } = effect {
                *started.entry(task.job).or_default() += 1;
            }
            self.model.observe_effect(effect);
        }
        started
            .into_iter()
            .filter_map(|(job, starts)| self.check(job, starts))
            .collect()
    }

    fn check(&self, job: JobId, starts: usize) -> Option<Violation> {
        let spec = self.model.jobs.get(&job)?;
        if !spec.all_at_once && !self.gang_queues.contains(&spec.queue) {
            return None;
        }
        let tasks = TaskId::new(job, 0)..=TaskId::new(job, u32::MAX);
        let placed = self.model.placements.range(tasks).count();
        let done = self.done.get(&job).map_or(0, BTreeSet::len);
        let movable =
            spec.tasks.iter().all(|g| g.can_checkpoint && g.idempotent);
        let complete = placed + done >= spec.task_count() as usize;
        if complete || (movable && placed > starts) {
            return None;
        }
        Some(Violation::new(
            "whole gang",
            format!(
                "{starts} tasks of job {job} were started; {placed} are \
                 placed and {done} done of {}",
                spec.task_count()
            ),
        ))
    }
}
