//! Records the resource usage of tasks and estimates when they end.

use super::{Effect, Scheduler, StopReason, TaskUsage};
use crate::{Resources, TaskId, TaskState, TimeMs};

impl Scheduler {
    /// Records usage reports, which may be late.
    pub(super) fn record_usages(
        &mut self,
        usages: &[TaskUsage],
        out: &mut Vec<Effect>,
    ) {
        for usage in usages {
            self.record_usage(usage, out);
        }
    }

    /// Records the usage of a task, and enforces its declared size.
    fn record_usage(&mut self, usage: &TaskUsage, out: &mut Vec<Effect>) {
        let id = usage.task;
        let Some(job) = self.jobs.get_mut(&id.job) else { return };
        let Some(task) = job.tasks.get_mut(id.index as usize) else { return };
        if !task.state.is_placed() {
            return;
        }
        let before = std::mem::replace(&mut task.used, usage.used);
        if let Some(slot) = task.slot {
            self.fleet.update(slot, |worker| {
                worker.used = worker.used.minus(&before).plus(&usage.used);
            });
        }
        let size = job.group_of(id.index).size;
        let queue = job.spec.queue.clone();
        let ratio = usage.used.dominant_share(&size);
        self.estimates.observe_usage(job.team, &queue, ratio);
        if !usage.used.fits_in(&size) {
            self.enforce_size(id, out);
        }
    }

    /// Handles a task that uses more than its declared size: stops it if its
    /// queue is configured so and the task may run again, else throttles it.
    fn enforce_size(&mut self, id: TaskId, out: &mut Vec<Effect>) {
        let Some(job) = self.jobs.get_mut(&id.job) else { return };
        let stop = self
            .queues
            .get(&job.spec.queue)
            .is_some_and(|queue| queue.stop_over_size);
        let idempotent = job.group_of(id.index).idempotent;
        let task = &mut job.tasks[id.index as usize];
        if task.state != TaskState::Running {
            return;
        }
        if stop && idempotent {
            return self.stop_task(id, StopReason::OverSize, out);
        }
        if task.throttled {
            return;
        }
        task.throttled = true;
        if let Some(worker) = task.worker.clone() {
            out.push(Effect::Throttle { task: id, worker });
        }
    }

    /// Returns when a running task is expected to end, and the size that it
    /// then frees, or `None` if it declared no run time.
    ///
    /// `quantile` is the fraction of similar tasks that end by that time.
    pub(super) fn expected_end(
        &self,
        id: TaskId,
        quantile: f64,
        now: TimeMs,
    ) -> Option<(TimeMs, Resources)> {
        let job = self.jobs.get(&id.job)?;
        let group = job.group_of(id.index);
        let started_at = job.tasks[id.index as usize].started_at?;
        let declared_ms = group.run_time_ms?;
        let expected_ms = if self.options.learning {
            let queue = &job.spec.queue;
            self.estimates.estimate_ms(job.team, queue, declared_ms, quantile)
        } else {
            declared_ms
        };
        let expected_at = started_at.plus_ms(expected_ms);
        if expected_at > now {
            return Some((expected_at, group.size));
        }
        // Run times have a heavy tail: a task that exceeds its estimate is
        // expected to run on for as long as it has run already.
        let ran_ms = now.ms_since(started_at);
        Some((now.plus_ms(ran_ms), group.size))
    }
}
