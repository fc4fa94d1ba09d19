//! A first-fit policy that benchmarks compare the scheduler with.

use std::collections::{BTreeMap, BTreeSet};

use super::{Effect, Event, StopReason, WorkerShape};
use crate::{
    DataCentre, JobId, JobSpec, JobState, Resources, TaskId, TaskOutcome,
    TaskState, TeamName, TimeMs, WorkerId,
};

/// Places tasks in the order in which their jobs arrived, each on the first
/// worker with room, within its team's allotment.
///
/// Jobs that don't fit are skipped. It respects the same limits and
/// capacities as [`Scheduler`](super::Scheduler), but has no shares, no
/// preemption, no reservations and no retries.
#[derive(Clone, Debug, Default)]
pub struct FirstFit {
    jobs: BTreeMap<JobId, Job>,
    waiting: BTreeSet<JobId>,
    workers: BTreeMap<WorkerId, Worker>,
    teams: BTreeMap<TeamName, Team>,
    /// Whether an event may have allowed waiting tasks to start.
    needs_placement: bool,
}

#[derive(Clone, Debug)]
struct Job {
    spec: JobSpec,
    held: bool,
    cancelled: bool,
    ended: bool,
    tasks: Vec<Task>,
}

#[derive(Clone, Debug)]
struct Task {
    state: TaskState,
    worker: Option<WorkerId>,
    starts: u32,
}

#[derive(Clone, Debug)]
struct Worker {
    shape: WorkerShape,
    committed: Resources,
    /// Whether it takes no new tasks, as it is leaving or suspected.
    blocked: bool,
}

#[derive(Clone, Debug, Default)]
struct Team {
    allotment: Resources,
    running: Resources,
}

/// Sizes and data centres for which no worker had room in this pass.
type UnplaceableSizes = Vec<(Resources, Option<DataCentre>)>;

impl FirstFit {
    /// Creates a scheduler without workers, teams or jobs.
    pub fn new() -> FirstFit {
        FirstFit::default()
    }

    /// Applies an event and returns the effects to carry out, in order.
    pub fn handle(&mut self, event: &Event, _now: TimeMs) -> Vec<Effect> {
        let mut out = Vec::new();
        self.needs_placement = true;
        match event {
            Event::JobAccepted { job, spec } => self.accept(*job, spec),
            Event::JobCancelled { job } => self.cancel(*job, &mut out),
            Event::JobHeld { job, held } => {
                if let Some(job) = self.jobs.get_mut(job) {
                    job.held = *held;
                }
            }
            Event::WorkerJoined { shape } => self.join(shape),
            Event::WorkerLeaving { worker }
            | Event::WorkerSuspected { worker } => self.block(worker, true),
            Event::WorkerAnswered { worker } => self.block(worker, false),
            Event::WorkerLapsed { worker } => self.remove(worker, &mut out),
            Event::TaskNotStarted { task, worker } => {
                self.end(*task, worker, TaskState::Waiting, &mut out);
            }
            Event::TaskEnded { task, worker, outcome } => {
                let state = self.state_after(*task, *outcome);
                self.end(*task, worker, state, &mut out);
            }
            Event::AllotmentChanged { team, allotment } => {
                self.teams.entry(team.clone()).or_default().allotment =
                    *allotment;
            }
            _ => self.needs_placement = false,
        }
        if self.needs_placement {
            self.place_waiting(&mut out);
        }
        out
    }

    fn accept(&mut self, id: JobId, spec: &JobSpec) {
        let task = Task { state: TaskState::Waiting, worker: None, starts: 0 };
        self.jobs.entry(id).or_insert_with(|| Job {
            spec: spec.clone(),
            held: false,
            cancelled: false,
            ended: false,
            tasks: vec![task; spec.task_count() as usize],
        });
        self.waiting.insert(id);
    }

    fn cancel(&mut self, id: JobId, out: &mut Vec<Effect>) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.cancelled = true;
        for (index, task) in job.tasks.iter_mut().enumerate() {
            if task.state == TaskState::Waiting {
                task.state = TaskState::Cancelled;
            } else if task.state.is_placed()
                && let Some(worker) = task.worker.clone()
            {
                let task = TaskId::new(id, index as u32);
                let reason = StopReason::Cancelled;
                out.push(Effect::Stop { task, worker, reason });
            }
        }
        self.settle(id, out);
    }

    fn join(&mut self, shape: &WorkerShape) {
        let worker = Worker {
            shape: shape.clone(),
            committed: Resources::ZERO,
            blocked: false,
        };
        let known = self.workers.entry(shape.worker.clone()).or_insert(worker);
        known.shape = shape.clone();
        known.blocked = false;
    }

    /// Sets whether a worker takes no new tasks.
    fn block(&mut self, id: &WorkerId, blocked: bool) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.blocked = blocked;
        }
    }

    /// Removes a worker and ends every task on it.
    fn remove(&mut self, id: &WorkerId, out: &mut Vec<Effect>) {
        self.block(id, true);
        let mut lost = Vec::new();
        for (&job, record) in &self.jobs {
            for (index, task) in record.tasks.iter().enumerate() {
                if task.state.is_placed() && task.worker.as_ref() == Some(id) {
                    lost.push(TaskId::new(job, index as u32));
                }
            }
        }
        for task in lost {
            let state = self.state_after(task, TaskOutcome::Stopped);
            self.end(task, id, state, out);
        }
        self.workers.remove(id);
    }

    /// Returns the state of a task after it ended with this outcome.
    fn state_after(&self, id: TaskId, outcome: TaskOutcome) -> TaskState {
        let Some(job) = self.jobs.get(&id.job) else {
            return TaskState::Unknown;
        };
        let idempotent =
            job.spec.task_group(id.index).is_some_and(|g| g.idempotent);
        match outcome {
            TaskOutcome::Done => TaskState::Done,
            _ if job.cancelled => TaskState::Cancelled,
            TaskOutcome::Failed => TaskState::Failed,
            _ if idempotent => TaskState::Waiting,
            _ => TaskState::Unknown,
        }
    }

    /// Frees the room of a task that left `worker` and sets its state. Does
    /// nothing if the task is not placed there.
    fn end(
        &mut self,
        id: TaskId,
        worker: &WorkerId,
        state: TaskState,
        out: &mut Vec<Effect>,
    ) {
        let Some(job) = self.jobs.get_mut(&id.job) else { return };
        let Some(size) = job.spec.task_group(id.index).map(|g| g.size())
        else {
            return;
        };
        let task = &mut job.tasks[id.index as usize];
        if !task.state.is_placed() || task.worker.as_ref() != Some(worker) {
            return;
        }
        task.state = state;
        if let Some(team) = self.teams.get_mut(&job.spec.team) {
            team.running = team.running.minus(&size);
        }
        if let Some(worker) = self.workers.get_mut(worker) {
            worker.committed = worker.committed.minus(&size);
        }
        if state == TaskState::Waiting {
            self.waiting.insert(id.job);
        }
        self.settle(id.job, out);
    }

    /// Finishes a job once all its tasks have ended.
    fn settle(&mut self, id: JobId, out: &mut Vec<Effect>) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        if job.ended || !job.tasks.iter().all(|t| t.state.is_final()) {
            return;
        }
        job.ended = true;
        let done = job.tasks.iter().all(|t| t.state == TaskState::Done);
        let state = match (done, job.cancelled) {
            (true, _) => JobState::Done,
            (false, true) => JobState::Cancelled,
            (false, false) => JobState::Failed,
        };
        self.waiting.remove(&id);
        out.push(Effect::Finished { job: id, state });
    }

    fn place_waiting(&mut self, out: &mut Vec<Effect>) {
        let mut unplaceable = UnplaceableSizes::new();
        for id in self.waiting.clone() {
            self.place_job(id, &mut unplaceable, out);
        }
    }

    /// Starts the waiting tasks of a job in order, up to the first that can't
    /// be placed. If the job asked for all tasks at once, starts all or none.
    fn place_job(
        &mut self,
        id: JobId,
        unplaceable: &mut UnplaceableSizes,
        out: &mut Vec<Effect>,
    ) {
        let job = &self.jobs[&id];
        if job.held {
            return;
        }
        let spec = job.spec.clone();
        let waiting: Vec<u32> = (0..job.tasks.len() as u32)
            .filter(|&index| {
                job.tasks[index as usize].state == TaskState::Waiting
            })
            .collect();
        let mut placed = Vec::new();
        for &index in &waiting {
            let Some(worker) = self.choose(&spec, index, unplaceable) else {
                break;
            };
            self.commit(&spec, index, &worker);
            placed.push((index, worker));
        }
        if spec.all_at_once && placed.len() < waiting.len() {
            for (index, worker) in placed {
                self.uncommit(&spec, index, &worker);
            }
            return;
        }
        if placed.len() == waiting.len() {
            self.waiting.remove(&id);
        }
        for (index, worker) in placed {
            self.start(id, index, worker, out);
        }
    }

    /// Returns the first worker with room for a task, if its team's allotment
    /// allows the task.
    fn choose(
        &self,
        spec: &JobSpec,
        index: u32,
        unplaceable: &mut UnplaceableSizes,
    ) -> Option<WorkerId> {
        let size = spec.task_group(index)?.size();
        let team = self.teams.get(&spec.team)?;
        if !team.running.plus(&size).fits_in(&team.allotment) {
            return None;
        }
        let data_centre = spec.data_centre.as_ref();
        let is_unplaceable = unplaceable
            .iter()
            .any(|(other, at)| *other == size && at.as_ref() == data_centre);
        if is_unplaceable {
            return None;
        }
        let found = self.workers.values().find(|worker| {
            !worker.blocked
                && data_centre.is_none_or(|at| *at == worker.shape.data_centre)
                && worker.committed.plus(&size).fits_in(&worker.shape.held)
        });
        // Room never grows during a pass, except when the assignments of a
        // gang are undone, which frees only what was free before. So a size
        // without room stays without room until the pass ends.
        if found.is_none() && !spec.all_at_once {
            unplaceable.push((size, spec.data_centre.clone()));
        }
        Some(found?.shape.worker.clone())
    }

    /// Counts the size of a task for its team and its worker.
    fn commit(&mut self, spec: &JobSpec, index: u32, worker: &WorkerId) {
        let Some(group) = spec.task_group(index) else { return };
        let size = group.size();
        if let Some(team) = self.teams.get_mut(&spec.team) {
            team.running = team.running.plus(&size);
        }
        if let Some(worker) = self.workers.get_mut(worker) {
            worker.committed = worker.committed.plus(&size);
        }
    }

    /// Undoes [`FirstFit::commit`] for a gang that can't start.
    fn uncommit(&mut self, spec: &JobSpec, index: u32, worker: &WorkerId) {
        let Some(group) = spec.task_group(index) else { return };
        let size = group.size();
        if let Some(team) = self.teams.get_mut(&spec.team) {
            team.running = team.running.minus(&size);
        }
        if let Some(worker) = self.workers.get_mut(worker) {
            worker.committed = worker.committed.minus(&size);
        }
    }

    fn start(
        &mut self,
        id: JobId,
        index: u32,
        worker: WorkerId,
        out: &mut Vec<Effect>,
    ) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let Some(group) = job.spec.task_group(index) else { return };
        out.push(Effect::Start {
            task: TaskId::new(id, index),
            worker: worker.clone(),
            attempt: job.tasks[index as usize].starts + 1,
            size: group.size(),
            run_time_ms: group.run_time_ms,
            idempotent: group.idempotent,
        });
        let task = &mut job.tasks[index as usize];
        task.state = TaskState::Running;
        task.starts += 1;
        task.worker = Some(worker);
    }
}
