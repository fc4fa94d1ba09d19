//! Admits, accepts, cancels and finishes jobs.

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

/// The most that the expected run time adds to the rank of a job. It limits
/// how long a job can be overtaken by shorter jobs of its team.
const RANK_DELAY_LIMIT_MS: u64 = 600_000;
/// How many ended jobs are kept for queries.
const FINISHED_LIMIT: usize = 10_000;
/// The quantile of the run time by which jobs are ranked.
const RANK_QUANTILE: f64 = 0.5;

impl Scheduler {
    /// Checks, before a job is accepted, whether it could ever run in this
    /// shard.
    ///
    /// Workers that have left the shard since also count.
    ///
    /// # Errors
    ///
    /// - [`ErrorKind::InvalidJob`] if the specification is invalid, such as a
    ///   size out of range.
    /// - [`ErrorKind::UnknownQueue`] if the queue doesn't exist.
    /// - [`ErrorKind::NeverFits`] if no worker that the shard has had is large
    ///   enough for one of the tasks, or if the tasks have to start together
    ///   and need more than all workers ever held at the same time.
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
        let starts_together =
            spec.all_at_once || queue.policy == QueuePolicy::Gang;
        if starts_together
            && !spec.total_size().fits_in(self.fleet.peak_held())
        {
            return Err(Error::new(
                ErrorKind::NeverFits,
                format!(
                    "the tasks need {} together, but all workers together \
                     never held more than {}",
                    spec.total_size(),
                    self.fleet.peak_held()
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
        let data_centre = spec.data_centre.as_ref();
        if self.fleet.has_ever_fit(&group.size(), data_centre) {
            return Ok(());
        }
        Err(Error::new(
            ErrorKind::NeverFits,
            format!(
                "task group `{}` needs {}, but no worker is large enough",
                group.name,
                group.size()
            ),
        ))
    }

    /// Adds an accepted job with all its tasks to the backlog. Does nothing if
    /// the job is known.
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
        // Tasks are popped from the end, and the lowest index is to start
        // first, so it is pushed last.
        for index in (0..count).rev() {
            self.push_waiting(TaskId::new(id, index));
        }
        if count == 0 {
            self.settle_job(id, now, out);
        }
    }

    /// Adds a job whose tasks are all waiting, but not yet in the backlog.
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
            gang_failed: false,
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

    /// Returns the rank of a job: its arrival time plus its expected run time,
    /// of which at most [`RANK_DELAY_LIMIT_MS`] counts.
    ///
    /// The rank never changes, so a job is overtaken only by jobs that arrive
    /// within that limit after it.
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

    /// Cancels a job: its waiting tasks end at once, its placed tasks are
    /// stopped.
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

    /// Updates the state of a job from the states of its tasks, and finishes
    /// the job once all of them have ended.
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
            let is_running = job.counts.placed > 0;
            job.state =
                if is_running { JobState::Running } else { JobState::Waiting };
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

    /// Adds a job to the ended ones, and removes the oldest of them if there
    /// are more than [`FINISHED_LIMIT`].
    pub(super) fn forget_oldest(&mut self, ended: JobId) {
        self.finished.push_back(ended);
        if self.finished.len() > FINISHED_LIMIT
            && let Some(oldest) = self.finished.pop_front()
        {
            self.jobs.remove(&oldest);
        }
    }

    /// Returns whether a job can't start even if nothing else of its team
    /// runs, because it needs more than the team's allotment.
    pub(super) fn exceeds_allotment(&self, job: &Job) -> bool {
        let allotment = self.teams.get(job.team).allotment;
        if job.is_gang() {
            return !job.spec.total_size().fits_in(&allotment);
        }
        let fits = |size: &Resources| size.fits_in(&allotment);
        !job.groups.iter().all(|group| fits(&group.size))
    }
}

/// Sets the waiting tasks of a job to a final state, and returns the tasks
/// that are placed on workers.
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
