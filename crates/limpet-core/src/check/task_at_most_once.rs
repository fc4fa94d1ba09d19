use std::collections::BTreeMap;

use super::Violation;
use crate::{
    TaskId, WorkerId,
    scheduler::{Effect, Event, StopReason},
};

/// Checks that a non-idempotent task is sent to a worker again only after a
/// start that certainly had no effect, and is never preempted.
#[derive(Clone, Debug, Default)]
pub struct TaskAtMostOnceCheck {
    /// The non-idempotent tasks that were sent to a worker, without those
    /// whose start certainly had no effect.
    sent: BTreeMap<TaskId, WorkerId>,
}

impl TaskAtMostOnceCheck {
    /// Records an event, before the effects that it has on the scheduler.
    pub fn observe_event(&mut self, event: &Event) {
        if let Event::TaskNotStarted { task, worker } = event
            && self.sent.get(task) == Some(worker)
        {
            self.sent.remove(task);
        }
    }

    /// Records the effects of an event, in their order, and returns the
    /// violations that they show.
    pub fn observe_effects(&mut self, effects: &[Effect]) -> Vec<Violation> {
        effects
            .iter()
            .filter_map(|effect| self.observe_effect(effect))
            .collect()
    }

    fn observe_effect(&mut self, effect: &Effect) -> Option<Violation> {
        let violation =
            |detail| Some(Violation::new("task at most once", detail));
        match effect {
            Effect::Start { task, worker, idempotent: false, .. } => {
                let before = self.sent.insert(*task, worker.clone())?;
                violation(format!(
                    "task {task} was sent to `{before}` and to `{worker}`"
                ))
            }
            Effect::Stop { task, reason: StopReason::Preempted, .. }
            | Effect::Checkpoint { task, .. }
                if self.sent.contains_key(task) =>
            {
                violation(format!("non-idempotent task {task} was preempted"))
            }
            _ => None,
        }
    }
}
