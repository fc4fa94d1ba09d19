//! Takes jobs in that ended under an earlier owner.

use super::Scheduler;
use crate::{
    JobId, JobSpec, JobState, TaskState, TimeMs, config::QueuePolicy,
};

impl Scheduler {
    /// Adds a job in its final state, so that whoever asks after a takeover
    /// is told how it ended.
    pub(super) fn restore_job(
        &mut self,
        id: JobId,
        spec: &JobSpec,
        state: JobState,
        tasks: &[TaskState],
        accepted_at: TimeMs,
        ended_at: TimeMs,
    ) {
        if self.jobs.contains_key(&id) || !state.is_final() {
            return;
        }
        // A job that has ended is placed by no policy any more.
        self.insert_job(id, spec, QueuePolicy::Batch, accepted_at);
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.state = state;
        job.cancelled = state == JobState::Cancelled;
        job.ended_at = Some(ended_at);
        for (task, &state) in job.tasks.iter_mut().zip(tasks) {
            task.state = state;
            job.counts.ended += u32::from(state.is_final());
            job.counts.done += u32::from(state == TaskState::Done);
        }
        for group in &job.groups {
            self.classes.release(group.class);
        }
        self.forget_oldest(id);
    }
}
