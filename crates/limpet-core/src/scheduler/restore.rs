//! Restores jobs that ended under an earlier owner of the shard.

use super::Scheduler;
use crate::{
    JobId, JobSpec, JobState, TaskState, TimeMs, config::QueuePolicy,
};

impl Scheduler {
    /// Adds a job in its final state, so that queries after a takeover show
    /// how it ended.
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
        // The policy has no effect, since the job has ended.
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
