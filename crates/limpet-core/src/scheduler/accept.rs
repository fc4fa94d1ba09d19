//! Takes jobs in, cancels them and settles those that ended.

use super::{
    Effect, Scheduler, StopReason,
    class::ClassKey,
    job::{Counts, Group, Job, Task},
    spread::Spread,
};
use crate::{
    Error, ErrorKind, JobId, JobSpec, JobState, Resources, TaskId, TaskSpec,
    TaskState, TimeMs, config::QueuePolicy,
};

/// The most that a long run time may put a job behind shorter ones of its
/// team. It bounds how long short work can keep long work waiting.
const RANK_DELAY_LIMIT_MS: u64 = 600_000;
/// How many ended jobs are kept for operators to look at.
const FINISHED_LIMIT: usize = 10_000;
/// The part of the tasks whose run time an estimate covers when it orders
/// work.
const RANK_QUANTILE: f64 = 0.5;

impl Scheduler {
    /// Says whether a job could ever run here, before it is accepted.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::UnknownQueue`] where the queue doesn't exist,
    /// [`ErrorKind::NeverFits`] where no worker that the shard has had is
    /// large enough for one of its tasks, or where all of them together
    /// never held what tasks that start together ask for, and
    /// [`ErrorKind::InvalidJob`] where a size is out of range.
    pub fn admit(&self, spec: &JobSpec) -> crate::Result<()> {
        spec.validate()?;
        let Some(queue) = self.queues.get(&spec.queue) else {
            return Err(Error::new(
                ErrorKind::UnknownQueue,
                format!("no queue `{}`", spec.queue),
            ));
        };
        for group in &spec.tasks {
            self.admit_group(spec, group)?;
        }
        let together = spec.all_at_once || queue.policy == QueuePolicy::Gang;
        if together && !spec.total_size().fits_in(self.fleet.most_held()) {
            return Err(Error::new(
                ErrorKind::NeverFits,
                format!(
                    "the tasks ask for {} together, all workers held {} at \
                     most",
                    spec.total_size(),
                    self.fleet.most_held()
                ),
            ));
        }
        Ok(())
    }

    fn admit_group(
        &self,
        spec: &JobSpec,
        group: &TaskSpec,
    ) -> crate::Result<()> {
        let place = spec.data_centre.as_ref();
        if self.fleet.ever_fitted(&group.size(), place) {
            return Ok(());
        }
        Err(Error::new(
            ErrorKind::NeverFits,
            format!(
                "`{}` asks for {}, which no worker holds",
                group.name,
                group.size()
            ),
        ))
    }

    pub(super) fn accept_job(
        &mut self,
        id: JobId,
        spec: &JobSpec,
        now: TimeMs,
        out: &mut Vec<Effect>,
    ) {
        if self.jobs.contains_key(&id) {
            return;
        }
        let policy = self
            .queues
            .get(&spec.queue)
            .map_or(QueuePolicy::Batch, |queue| queue.policy);
        self.insert_job(id, spec, policy, now);
        let count = spec.task_count();
        // The lowest index goes first, so it is pushed last.
        for index in (0..count).rev() {
            self.push_waiting(TaskId::new(id, index));
        }
        if count == 0 {
            self.settle_job(id, now, out);
        }
    }

    /// Adds a job whose tasks are all in their first state.
    pub(super) fn insert_job(
        &mut self,
        id: JobId,
        spec: &JobSpec,
        policy: QueuePolicy,
        now: TimeMs,
    ) {
        let team = self.teams.slot_or_insert(&spec.team);
        let mut first = 0;
        let mut groups = Vec::with_capacity(spec.tasks.len());
        for group in &spec.tasks {
            groups.push(self.new_group(spec, group, policy, first));
            first += group.count;
        }
        let rank_ms = self.rank_ms(spec, now);
        let job = Job {
            spec: spec.clone(),
            team,
            policy,
            state: JobState::Waiting,
            held: false,
            cancelled: false,
            broken: false,
            accepted_at: now,
            started_at: None,
            ended_at: None,
            groups,
            tasks: vec![Task::WAITING; first as usize],
            counts: Counts::default(),
            rank_ms,
            retries: 0,
            failed_on: Vec::new(),
            spread: Spread::default(),
        };
        self.jobs.insert(id, job);
    }

    fn new_group(
        &mut self,
        spec: &JobSpec,
        group: &TaskSpec,
        policy: QueuePolicy,
        first: u32,
    ) -> Group {
        let class = self.classes.acquire(&ClassKey {
            size: group.size(),
            data_centre: spec.data_centre.clone(),
            policy,
            urgent: spec.urgent,
        });
        Group {
            first,
            class,
            size: group.size(),
            idempotent: group.idempotent,
            can_checkpoint: group.can_checkpoint,
            run_time_ms: group.run_time_ms,
            waiting: Vec::new(),
        }
    }

    /// Returns the rank of a job: its arrival, put off by the time that it
    /// is expected to run. The rank never changes, so no job waits behind
    /// ones that arrive later than the limit allows.
    fn rank_ms(&self, spec: &JobSpec, now: TimeMs) -> u64 {
        if !self.options.short_first {
            return now.as_ms();
        }
        let Some(team) = self.teams.slot(&spec.team) else {
            return now.as_ms();
        };
        let longest = spec
            .tasks
            .iter()
            .filter_map(|group| group.run_time_ms)
            .max()
            .unwrap_or(0);
        let expected = if self.options.learning {
            self.estimates.estimate_ms(
                team,
                &spec.queue,
                longest,
                RANK_QUANTILE,
            )
        } else {
            longest
        };
        now.plus_ms(expected.min(RANK_DELAY_LIMIT_MS)).as_ms()
    }

    pub(super) fn cancel_job(
        &mut self,
        id: JobId,
        now: TimeMs,
        out: &mut Vec<Effect>,
    ) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        if job.state.is_final() || job.cancelled {
            return;
        }
        job.cancelled = true;
        let placed = end_waiting(id, job, TaskState::Cancelled);
        self.clear_waiting(id);
        self.release_gang(id);
        for task in placed {
            self.stop_task(task, StopReason::Cancelled, out);
        }
        self.settle_job(id, now, out);
    }

    /// Moves a job on to the state that its tasks add up to.
    pub(super) fn settle_job(
        &mut self,
        id: JobId,
        now: TimeMs,
        out: &mut Vec<Effect>,
    ) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        if job.state.is_final() {
            return;
        }
        let count = job.tasks.len() as u32;
        if job.counts.ended < count {
            let runs = job.counts.placed > 0;
            job.state =
                if runs { JobState::Running } else { JobState::Waiting };
            return;
        }
        job.state = match (job.counts.done == count, job.cancelled) {
            (true, _) => JobState::Done,
            (false, true) => JobState::Cancelled,
            (false, false) => JobState::Failed,
        };
        job.ended_at = Some(now);
        out.push(Effect::Finished { job: id, state: job.state });
        for group in &job.groups {
            self.classes.release(group.class);
        }
        self.release_gang(id);
        self.forget_oldest(id);
    }

    pub(super) fn forget_oldest(&mut self, ended: JobId) {
        self.finished.push_back(ended);
        if self.finished.len() > FINISHED_LIMIT
            && let Some(oldest) = self.finished.pop_front()
        {
            self.jobs.remove(&oldest);
        }
    }

    /// Says whether a job asks for more than its team may ever run.
    pub(super) fn exceeds_allotment(&self, job: &Job) -> bool {
        let allotment = self.teams.get(job.team).allotment;
        if job.is_gang() {
            return !job.spec.total_size().fits_in(&allotment);
        }
        let fits = |size: &Resources| size.fits_in(&allotment);
        !job.groups.iter().all(|group| fits(&group.size))
    }
}

/// Ends the tasks that wait and returns those that hold a worker.
pub(super) fn end_waiting(
    id: JobId,
    job: &mut Job,
    state: TaskState,
) -> Vec<TaskId> {
    let mut placed = Vec::new();
    for (index, task) in job.tasks.iter_mut().enumerate() {
        if task.state == TaskState::Waiting {
            task.state = state;
            job.counts.ended += 1;
        } else if task.state.is_placed() {
            placed.push(TaskId::new(id, index as u32));
        }
    }
    placed
}
