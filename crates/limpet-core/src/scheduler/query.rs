//! Queries for operators about jobs, tasks, workers, teams and queues.

use std::{collections::BTreeMap, ops::Bound};

use super::{
    JobView, QueueView, Scheduler, TaskView, TeamView, WorkerView, job::Job,
};
use crate::{JobId, JobState, TaskId};

impl Scheduler {
    /// Returns every job, ordered by number.
    pub fn jobs(&self) -> Vec<JobView> {
        self.jobs
            .iter()
            .map(|(&id, job)| job.view(id, self.short_reason(id, job)))
            .collect()
    }

    /// Returns up to `limit` jobs with numbers above `after`, ordered by
    /// number.
    ///
    /// This lets a caller read a long table in slices, so that other work on
    /// the thread doesn't have to wait for the whole table.
    pub fn jobs_after(
        &self,
        after: Option<JobId>,
        limit: usize,
    ) -> Vec<JobView> {
        self.jobs_above(after)
            .take(limit)
            .map(|(id, job)| job.view(id, self.short_reason(id, job)))
            .collect()
    }

    /// Returns every task of up to `limit` jobs with numbers above `after`.
    ///
    /// An empty result means that there are no more jobs, because every job
    /// has tasks.
    pub fn tasks_after(
        &self,
        after: Option<JobId>,
        limit: usize,
    ) -> Vec<TaskView> {
        self.jobs_above(after)
            .take(limit)
            .flat_map(|(id, job)| {
                (0..job.tasks.len())
                    .map(move |index| job.task_view(id, index as u32))
            })
            .collect()
    }

    fn jobs_above(
        &self,
        after: Option<JobId>,
    ) -> impl Iterator<Item = (JobId, &Job)> {
        let start = after.map_or(Bound::Unbounded, Bound::Excluded);
        let jobs = self.jobs.range((start, Bound::Unbounded));
        jobs.map(|(&id, job)| (id, job))
    }

    /// Returns a job, or `None` if it is not known.
    pub fn get_job(&self, id: JobId) -> Option<JobView> {
        let job = self.jobs.get(&id)?;
        Some(job.view(id, self.short_reason(id, job)))
    }

    /// Returns every task of every job, ordered by number.
    pub fn tasks(&self) -> Vec<TaskView> {
        self.jobs
            .iter()
            .flat_map(|(&id, job)| {
                (0..job.tasks.len())
                    .map(move |index| job.task_view(id, index as u32))
            })
            .collect()
    }

    /// Returns a task, or `None` if it is not known.
    pub fn get_task(&self, id: TaskId) -> Option<TaskView> {
        let job = self.jobs.get(&id.job)?;
        job.tasks.get(id.index as usize)?;
        Some(job.task_view(id.job, id.index))
    }

    /// Returns every worker, ordered by name.
    pub fn workers(&self) -> Vec<WorkerView> {
        self.fleet
            .iter()
            .map(|worker| WorkerView {
                worker: worker.shape.worker.clone(),
                data_centre: worker.shape.data_centre.clone(),
                rack: worker.shape.rack.clone(),
                state: worker.state().to_owned(),
                held: worker.shape.held,
                committed: worker.committed,
                used: worker.used,
                tasks: worker.tasks.len() as u32,
            })
            .collect()
    }

    /// Returns every team, ordered by name.
    pub fn teams(&self) -> Vec<TeamView> {
        let mut waiting: BTreeMap<_, u32> = BTreeMap::new();
        for job in self.waiting_jobs() {
            *waiting.entry(job.team).or_default() += 1;
        }
        self.teams
            .iter()
            .map(|(slot, team)| TeamView {
                team: team.name.clone(),
                weight: team.weight,
                allotment: team.allotment,
                running: team.running,
                waiting_jobs: waiting.get(&slot).copied().unwrap_or(0),
            })
            .collect()
    }

    /// Returns every queue, ordered by name.
    pub fn queues(&self) -> Vec<QueueView> {
        let mut counts: BTreeMap<_, (u32, u32)> = BTreeMap::new();
        for job in self.jobs.values() {
            let count = counts.entry(&job.spec.queue).or_default();
            count.0 += u32::from(job.state == JobState::Waiting);
            count.1 += job.counts.placed;
        }
        self.queues
            .iter()
            .map(|(name, config)| {
                let (waiting_jobs, running_tasks) =
                    counts.get(name).copied().unwrap_or_default();
                QueueView {
                    queue: name.clone(),
                    policy: config.policy,
                    waiting_jobs,
                    running_tasks,
                }
            })
            .collect()
    }

    fn waiting_jobs(&self) -> impl Iterator<Item = &Job> {
        self.jobs.values().filter(|job| job.state == JobState::Waiting)
    }
}
