//! Takes in what tasks use and estimates when they end.

use super::{Effect, Scheduler, StopReason, TaskUsage};
use crate::{Resources, TaskId, TaskState, TimeMs};

impl Scheduler {
    /// Takes in reports of usage, which may be late.
    pub(super) fn take_usages(
        &mut self,
        usages: &[TaskUsage],
        out: &mut Vec<Effect>,
    ) {
        for usage in usages {
            self.take_usage(usage, out);
        }
    }

    fn take_usage(&mut self, usage: &TaskUsage, out: &mut Vec<Effect>) {
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
        let part = usage.used.dominant_part(&size);
        self.estimates.observe_use(job.team, &queue, part);
        if !usage.used.fits_in(&size) {
            self.limit_task(id, out);
        }
    }

    /// Throttles a task over its declared size, or stops it where its queue
    /// says so and it may run again.
    fn limit_task(&mut self, id: TaskId, out: &mut Vec<Effect>) {
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

    /// Returns what the running task of a worker holds and when it is
    /// expected to end, where it is.
    pub(super) fn expected_end(
        &self,
        id: TaskId,
        part: f64,
        now: TimeMs,
    ) -> Option<(TimeMs, Resources)> {
        let job = self.jobs.get(&id.job)?;
        let group = job.group_of(id.index);
        let started_at = job.tasks[id.index as usize].started_at?;
        let declared_ms = group.run_time_ms?;
        let expected_ms = if self.options.learning {
            let queue = &job.spec.queue;
            self.estimates.estimate_ms(job.team, queue, declared_ms, part)
        } else {
            declared_ms
        };
        let expected_at = started_at.plus_ms(expected_ms);
        if expected_at > now {
            return Some((expected_at, group.size));
        }
        // Run times have a heavy tail: what ran past its estimate is
        // expected to run as long again as it already has.
        let ran_ms = now.ms_since(started_at);
        Some((now.plus_ms(ran_ms), group.size))
    }
}
