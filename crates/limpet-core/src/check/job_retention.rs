use std::collections::BTreeMap;

use super::Violation;
use crate::{
    JobId, JobState,
    scheduler::{Effect, Event, JobView},
};

/// Checks that each accepted job stays known until its final state has been
/// reported, and that this happens exactly once.
#[derive(Clone, Debug, Default)]
pub struct JobRetentionCheck {
    /// The accepted jobs that have not finished, with their number of tasks.
    open: BTreeMap<JobId, u32>,
    finished: BTreeMap<JobId, JobState>,
}

impl JobRetentionCheck {
    /// Records an event, before the effects that it has on the scheduler.
    pub fn observe_event(&mut self, event: &Event) {
        if let Event::JobAccepted { job, spec } = event
            && !self.finished.contains_key(job)
        {
            self.open.insert(*job, spec.task_count());
        }
    }

    /// Records the effects of an event, in their order, and returns the
    /// violations that they show.
    pub fn observe_effects(&mut self, effects: &[Effect]) -> Vec<Violation> {
        let mut violations = Vec::new();
        for effect in effects {
            let Effect::Finished { job, state } = effect else { continue };
            let known = self.open.remove(job).is_some();
            let before = self.finished.insert(*job, *state);
            if !known || before.is_some() || !state.is_final() {
                violations.push(violation(format!(
                    "job {job} finished as {state}; its earlier final state \
                     is {before:?}"
                )));
            }
        }
        violations
    }

    /// Compares the unfinished jobs with those that the scheduler shows, and
    /// returns a violation for each job that is missing, has another number
    /// of tasks, or is in a final state that was never reported.
    pub fn compare(&self, shown: &[JobView]) -> Vec<Violation> {
        let views: BTreeMap<JobId, &JobView> =
            shown.iter().map(|view| (view.job, view)).collect();
        let mut violations = Vec::new();
        for (job, tasks) in &self.open {
            match views.get(job) {
                None => violations.push(violation(format!(
                    "job {job} was accepted but is unknown"
                ))),
                Some(view) if view.tasks != *tasks => {
                    violations.push(violation(format!(
                        "job {job} has {} of {tasks} tasks",
                        view.tasks
                    )));
                }
                Some(view) if view.state.is_final() => {
                    violations.push(violation(format!(
                        "job {job} is {}, which was never reported",
                        view.state
                    )));
                }
                Some(_) => {}
            }
        }
        violations
    }

    /// Returns the accepted jobs that have not finished.
    pub fn open_jobs(&self) -> impl Iterator<Item = JobId> + '_ {
        self.open.keys().copied()
    }
}

fn violation(detail: String) -> Violation {
    Violation::new("job retention", detail)
}
