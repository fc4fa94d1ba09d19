use std::collections::BTreeMap;

use crate::{
    Error, ErrorKind, JobId, JobSpec, JobState, QueueName, Resources, TaskId,
    TaskOutcome, TaskState, TeamName, TimeMs, WorkerId,
    config::QueueConfig,
    scheduler::{
        Decision, Effect, Event, Explanation, JobView, QueueView, StopReason,
        TaskView, TeamView, WorkerShape, WorkerView,
    },
};

/// Places the tasks of one shard in the order in which their jobs arrived,
/// each on the first worker that it fits.
#[derive(Clone, Debug, Default)]
pub struct Scheduler {
    jobs: BTreeMap<JobId, Job>,
    workers: BTreeMap<WorkerId, Worker>,
    teams: BTreeMap<TeamName, Team>,
    queues: BTreeMap<QueueName, QueueConfig>,
    paused: bool,
}

#[derive(Clone, Debug)]
struct Job {
    spec: JobSpec,
    state: JobState,
    held: bool,
    cancelled: bool,
    accepted_at: TimeMs,
    started_at: Option<TimeMs>,
    ended_at: Option<TimeMs>,
    tasks: Vec<Task>,
    reason: String,
}

#[derive(Clone, Debug)]
struct Task {
    state: TaskState,
    worker: Option<WorkerId>,
    starts: u32,
    started_at: Option<TimeMs>,
}

#[derive(Clone, Debug)]
struct Worker {
    shape: WorkerShape,
    committed: Resources,
    tasks: u32,
    leaving: bool,
    suspected: bool,
}

#[derive(Clone, Debug)]
struct Team {
    weight: u32,
    allotment: Resources,
    running: Resources,
}

impl Default for Team {
    fn default() -> Team {
        Team {
            weight: 1,
            allotment: Resources::ZERO,
            running: Resources::ZERO,
        }
    }
}

impl Scheduler {
    /// Returns a scheduler without workers, teams or jobs.
    pub fn new() -> Scheduler {
        Scheduler::default()
    }

    /// Says whether a job could ever run here, before it is accepted.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::UnknownQueue`] where the queue doesn't exist,
    /// [`ErrorKind::NeverFits`] where no worker that the shard has had is
    /// large enough for one of its tasks, and [`ErrorKind::InvalidJob`]
    /// where a size is out of range.
    pub fn admit(&self, spec: &JobSpec) -> crate::Result<()> {
        spec.validate()?;
        if !self.queues.contains_key(&spec.queue) {
            return Err(Error::new(
                ErrorKind::UnknownQueue,
                format!("no queue `{}`", spec.queue),
            ));
        }
        for group in &spec.tasks {
            let fits = self.workers.values().any(|worker| {
                group.size().fits_in(&worker.shape.held)
                    && spec.data_centre.as_ref().is_none_or(|data_centre| {
                        *data_centre == worker.shape.data_centre
                    })
            });
            if !fits {
                return Err(Error::new(
                    ErrorKind::NeverFits,
                    format!(
                        "`{}` asks for {}, which no worker holds",
                        group.name,
                        group.size()
                    ),
                ));
            }
        }
        Ok(())
    }

    /// Takes an event in and returns what has to be done because of it.
    pub fn handle(&mut self, event: &Event, now: TimeMs) -> Vec<Effect> {
        let mut effects = Vec::new();
        match event {
            Event::JobAccepted { job, spec } => {
                self.accept_job(*job, spec, now)
            }
            Event::JobCancelled { job } => {
                self.cancel_job(*job, now, &mut effects)
            }
            Event::JobHeld { job, held } => {
                if let Some(job) = self.jobs.get_mut(job) {
                    job.held = *held;
                }
            }
            Event::WorkerJoined { shape } => self.join_worker(shape),
            Event::WorkerLeaving { worker } => {
                if let Some(worker) = self.workers.get_mut(worker) {
                    worker.leaving = true;
                }
            }
            Event::WorkerSuspected { worker } => {
                if let Some(worker) = self.workers.get_mut(worker) {
                    worker.suspected = true;
                }
            }
            Event::WorkerAnswered { worker } => {
                if let Some(worker) = self.workers.get_mut(worker) {
                    worker.suspected = false;
                }
            }
            Event::WorkerLapsed { worker } => {
                self.lapse_worker(worker, now, &mut effects)
            }
            Event::TaskRunning { task, worker } => {
                self.adopt_task(*task, worker, now, &mut effects)
            }
            Event::TaskNotStarted { task, worker } => {
                if self.is_placed_on(*task, worker) {
                    self.release(*task, TaskState::Waiting, now, &mut effects);
                }
            }
            Event::TaskEnded { task, worker, outcome } => {
                if self.is_placed_on(*task, worker) {
                    self.end_task(*task, *outcome, now, &mut effects);
                }
            }
            Event::AllotmentChanged { team, allotment } => {
                self.teams.entry(team.clone()).or_default().allotment =
                    *allotment;
            }
            Event::ShareChanged { team, weight } => {
                self.teams.entry(team.clone()).or_default().weight = *weight;
            }
            Event::QueueChanged { queue, config } => {
                self.queues.insert(queue.clone(), config.clone());
            }
            Event::PlacementPaused { paused } => self.paused = *paused,
            Event::TaskClaimed { task, worker, .. } => {
                let waits = self
                    .task_mut(*task)
                    .is_some_and(|task| task.state == TaskState::Waiting);
                if waits {
                    self.commit(*task, worker, TaskState::Starting, now);
                }
            }
            Event::UsageReported { .. } | Event::Tick => {}
        }
        if !self.paused {
            self.place_waiting(now, &mut effects);
        }
        effects
    }

    fn accept_job(&mut self, job: JobId, spec: &JobSpec, now: TimeMs) {
        let task = Task {
            state: TaskState::Waiting,
            worker: None,
            starts: 0,
            started_at: None,
        };
        self.jobs.entry(job).or_insert_with(|| Job {
            spec: spec.clone(),
            state: JobState::Waiting,
            held: false,
            cancelled: false,
            accepted_at: now,
            started_at: None,
            ended_at: None,
            tasks: vec![task; spec.task_count() as usize],
            reason: "accepted".to_owned(),
        });
    }

    fn join_worker(&mut self, shape: &WorkerShape) {
        let worker =
            self.workers.entry(shape.worker.clone()).or_insert_with(|| {
                Worker {
                    shape: shape.clone(),
                    committed: Resources::ZERO,
                    tasks: 0,
                    leaving: false,
                    suspected: false,
                }
            });
        worker.shape = shape.clone();
        worker.leaving = false;
    }

    fn cancel_job(
        &mut self,
        id: JobId,
        now: TimeMs,
        effects: &mut Vec<Effect>,
    ) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        if job.state.is_final() {
            return;
        }
        job.cancelled = true;
        for (index, task) in job.tasks.iter_mut().enumerate() {
            match (task.state, &task.worker) {
                (TaskState::Waiting, _) => task.state = TaskState::Cancelled,
                (state, Some(worker)) if state.is_placed() => {
                    task.state = TaskState::Stopping;
                    effects.push(Effect::Stop {
                        task: TaskId::new(id, index as u32),
                        worker: worker.clone(),
                        reason: StopReason::Cancelled,
                    });
                }
                _ => {}
            }
        }
        self.settle_job(id, now, effects);
    }

    fn lapse_worker(
        &mut self,
        worker: &WorkerId,
        now: TimeMs,
        effects: &mut Vec<Effect>,
    ) {
        let lost: Vec<TaskId> = self
            .tasks()
            .into_iter()
            .filter(|task| {
                task.state.is_placed() && task.worker.as_ref() == Some(worker)
            })
            .map(|task| task.task)
            .collect();
        for task in lost {
            self.end_task(task, TaskOutcome::Stopped, now, effects);
        }
        self.workers.remove(worker);
    }

    fn adopt_task(
        &mut self,
        task: TaskId,
        worker: &WorkerId,
        now: TimeMs,
        effects: &mut Vec<Effect>,
    ) {
        if self.is_placed_on(task, worker) {
            if let Some(found) = self.task_mut(task)
                && found.state == TaskState::Starting
            {
                found.state = TaskState::Running;
            }
            return;
        }
        let waits = self
            .task_mut(task)
            .is_some_and(|found| found.state == TaskState::Waiting);
        if waits {
            self.commit(task, worker, TaskState::Running, now);
        } else {
            effects.push(Effect::Stop {
                task,
                worker: worker.clone(),
                reason: StopReason::Stray,
            });
        }
    }

    fn end_task(
        &mut self,
        task: TaskId,
        outcome: TaskOutcome,
        now: TimeMs,
        effects: &mut Vec<Effect>,
    ) {
        let Some(job) = self.jobs.get(&task.job) else { return };
        let idempotent = job
            .spec
            .task_group(task.index)
            .is_some_and(|group| group.idempotent);
        let next = match outcome {
            TaskOutcome::Done => TaskState::Done,
            _ if job.cancelled => TaskState::Cancelled,
            TaskOutcome::Failed => TaskState::Failed,
            TaskOutcome::Checkpointed => TaskState::Waiting,
            TaskOutcome::Stopped if idempotent => TaskState::Waiting,
            TaskOutcome::Stopped => TaskState::Unknown,
        };
        self.release(task, next, now, effects);
    }

    /// Places every waiting task that fits somewhere, in order of arrival.
    fn place_waiting(&mut self, now: TimeMs, effects: &mut Vec<Effect>) {
        let waiting: Vec<JobId> = self
            .jobs
            .iter()
            .filter(|(_, job)| !job.state.is_final() && !job.held)
            .map(|(&id, _)| id)
            .collect();
        for id in waiting {
            self.place_job(id, now, effects);
        }
    }

    fn place_job(
        &mut self,
        id: JobId,
        now: TimeMs,
        effects: &mut Vec<Effect>,
    ) {
        let job = &self.jobs[&id];
        let waiting: Vec<TaskId> = job
            .tasks
            .iter()
            .enumerate()
            .filter(|(_, task)| task.state == TaskState::Waiting)
            .map(|(index, _)| TaskId::new(id, index as u32))
            .collect();
        let all_at_once = job.spec.all_at_once;
        let mut placed = Vec::new();
        for &task in &waiting {
            match self.choose_worker(task) {
                Ok(worker) => {
                    self.commit(task, &worker, TaskState::Starting, now);
                    placed.push(task);
                }
                Err(reason) => {
                    if let Some(job) = self.jobs.get_mut(&id) {
                        job.reason = reason;
                    }
                    break;
                }
            }
        }
        if all_at_once && placed.len() < waiting.len() {
            for task in placed {
                self.undo(task);
            }
            return;
        }
        for task in placed {
            self.push_start(task, effects);
        }
    }

    fn choose_worker(&self, task: TaskId) -> Result<WorkerId, String> {
        let job = &self.jobs[&task.job];
        let group = job
            .spec
            .task_group(task.index)
            .ok_or("the task has no group".to_owned())?;
        let size = group.size();
        let team = self.teams.get(&job.spec.team).cloned().unwrap_or_default();
        if !team.running.plus(&size).fits_in(&team.allotment) {
            return Err(format!(
                "team `{}` is at its limit: {} of {}",
                job.spec.team, team.running, team.allotment
            ));
        }
        self.workers
            .values()
            .find(|worker| {
                !worker.leaving
                    && !worker.suspected
                    && job.spec.data_centre.as_ref().is_none_or(
                        |data_centre| *data_centre == worker.shape.data_centre,
                    )
                    && worker.committed.plus(&size).fits_in(&worker.shape.held)
            })
            .map(|worker| worker.shape.worker.clone())
            .ok_or_else(|| {
                format!(
                    "none of {} workers has room for {size}",
                    self.workers.len()
                )
            })
    }

    fn push_start(&self, id: TaskId, effects: &mut Vec<Effect>) {
        let job = &self.jobs[&id.job];
        let task = &job.tasks[id.index as usize];
        let (Some(worker), Some(group)) =
            (&task.worker, job.spec.task_group(id.index))
        else {
            return;
        };
        effects.push(Effect::Start {
            task: id,
            worker: worker.clone(),
            attempt: task.starts,
            size: group.size(),
            run_time_ms: group.run_time_ms,
            idempotent: group.idempotent,
        });
        effects.push(Effect::Decided(Decision {
            task: id,
            worker: Some(worker.clone()),
            reason: "first worker with room".to_owned(),
        }));
    }

    fn task_mut(&mut self, id: TaskId) -> Option<&mut Task> {
        self.jobs.get_mut(&id.job)?.tasks.get_mut(id.index as usize)
    }

    fn is_placed_on(&mut self, id: TaskId, worker: &WorkerId) -> bool {
        self.task_mut(id).is_some_and(|task| {
            task.state.is_placed() && task.worker.as_ref() == Some(worker)
        })
    }

    fn commit(
        &mut self,
        id: TaskId,
        worker: &WorkerId,
        state: TaskState,
        now: TimeMs,
    ) {
        let Some(job) = self.jobs.get_mut(&id.job) else { return };
        let Some(group) = job.spec.task_group(id.index) else { return };
        let size = group.size();
        let task = &mut job.tasks[id.index as usize];
        task.state = state;
        task.worker = Some(worker.clone());
        task.starts += 1;
        task.started_at = Some(now);
        job.started_at.get_or_insert(now);
        job.state = JobState::Running;
        job.reason = "running".to_owned();
        let team = self.teams.entry(job.spec.team.clone()).or_default();
        team.running = team.running.plus(&size);
        if let Some(worker) = self.workers.get_mut(worker) {
            worker.committed = worker.committed.plus(&size);
            worker.tasks += 1;
        }
    }

    /// Takes back a commitment whose start never left.
    fn undo(&mut self, id: TaskId) {
        self.free(id);
        let Some(task) = self.task_mut(id) else { return };
        task.state = TaskState::Waiting;
        task.worker = None;
        task.starts -= 1;
        task.started_at = None;
        let Some(job) = self.jobs.get_mut(&id.job) else { return };
        if job.tasks.iter().all(|task| task.starts == 0) {
            job.started_at = None;
            job.state = JobState::Waiting;
        }
    }

    fn free(&mut self, id: TaskId) {
        let Some(job) = self.jobs.get(&id.job) else { return };
        let Some(group) = job.spec.task_group(id.index) else { return };
        let size = group.size();
        let team = self.teams.entry(job.spec.team.clone()).or_default();
        team.running = team.running.minus(&size);
        if let Some(worker) = job.tasks[id.index as usize]
            .worker
            .as_ref()
            .and_then(|worker| self.workers.get_mut(worker))
        {
            worker.committed = worker.committed.minus(&size);
            worker.tasks -= 1;
        }
    }

    fn release(
        &mut self,
        id: TaskId,
        next: TaskState,
        now: TimeMs,
        effects: &mut Vec<Effect>,
    ) {
        self.free(id);
        let cancelled =
            self.jobs.get(&id.job).is_some_and(|job| job.cancelled);
        if let Some(task) = self.task_mut(id) {
            task.state = match next {
                TaskState::Waiting if cancelled => TaskState::Cancelled,
                next => next,
            };
        }
        self.settle_job(id.job, now, effects);
    }

    fn settle_job(
        &mut self,
        id: JobId,
        now: TimeMs,
        effects: &mut Vec<Effect>,
    ) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let all_final = job.tasks.iter().all(|task| task.state.is_final());
        if !all_final {
            let running = job.tasks.iter().any(|task| task.state.is_placed());
            job.state =
                if running { JobState::Running } else { JobState::Waiting };
            return;
        }
        let all_done =
            job.tasks.iter().all(|task| task.state == TaskState::Done);
        job.state = match (all_done, job.cancelled) {
            (true, _) => JobState::Done,
            (false, true) => JobState::Cancelled,
            (false, false) => JobState::Failed,
        };
        job.reason = job.state.as_str().to_owned();
        job.ended_at = Some(now);
        effects.push(Effect::Finished { job: id, state: job.state });
    }

    /// Returns every job, by number.
    pub fn jobs(&self) -> Vec<JobView> {
        self.jobs.iter().map(|(&id, job)| job.view(id)).collect()
    }

    /// Returns one job.
    pub fn get_job(&self, id: JobId) -> Option<JobView> {
        self.jobs.get(&id).map(|job| job.view(id))
    }

    /// Returns every task of every job.
    pub fn tasks(&self) -> Vec<TaskView> {
        self.jobs
            .iter()
            .flat_map(|(&id, job)| {
                (0..job.tasks.len())
                    .map(move |index| job.task_view(id, index as u32))
            })
            .collect()
    }

    /// Returns every worker.
    pub fn workers(&self) -> Vec<WorkerView> {
        self.workers.values().map(Worker::view).collect()
    }

    /// Returns every team.
    pub fn teams(&self) -> Vec<TeamView> {
        self.teams
            .iter()
            .map(|(name, team)| TeamView {
                team: name.clone(),
                weight: team.weight,
                allotment: team.allotment,
                running: team.running,
                waiting_jobs: self
                    .jobs
                    .values()
                    .filter(|job| {
                        job.spec.team == *name
                            && job.state == JobState::Waiting
                    })
                    .count() as u32,
            })
            .collect()
    }

    /// Returns every queue.
    pub fn queues(&self) -> Vec<QueueView> {
        self.queues
            .iter()
            .map(|(name, config)| {
                let jobs =
                    || self.jobs.values().filter(|j| j.spec.queue == *name);
                QueueView {
                    queue: name.clone(),
                    policy: config.policy,
                    waiting_jobs: jobs()
                        .filter(|job| job.state == JobState::Waiting)
                        .count() as u32,
                    running_tasks: jobs().map(Job::running).sum(),
                }
            })
            .collect()
    }

    /// Says why a job is in the state that it is in.
    pub fn explain_job(&self, id: JobId) -> Option<Explanation> {
        let job = self.jobs.get(&id)?;
        let mut lines = vec![format!("job {id} is {}", job.state)];
        lines.push(job.reason.clone());
        Some(Explanation { lines })
    }
}

impl Job {
    fn running(&self) -> u32 {
        self.tasks.iter().filter(|task| task.state.is_placed()).count() as u32
    }

    fn view(&self, id: JobId) -> JobView {
        JobView {
            job: id,
            name: self.spec.name.clone(),
            team: self.spec.team.clone(),
            queue: self.spec.queue.clone(),
            state: self.state,
            urgent: self.spec.urgent,
            all_at_once: self.spec.all_at_once,
            held: self.held,
            tasks: self.tasks.len() as u32,
            running: self.running(),
            done: self
                .tasks
                .iter()
                .filter(|task| task.state == TaskState::Done)
                .count() as u32,
            accepted_at: self.accepted_at,
            started_at: self.started_at,
            ended_at: self.ended_at,
            reason: self.reason.clone(),
        }
    }

    fn task_view(&self, id: JobId, index: u32) -> TaskView {
        let task = &self.tasks[index as usize];
        TaskView {
            task: TaskId::new(id, index),
            team: self.spec.team.clone(),
            state: task.state,
            worker: task.worker.clone(),
            size: self
                .spec
                .task_group(index)
                .map_or(Resources::ZERO, |group| group.size()),
            starts: task.starts,
            started_at: task.started_at,
        }
    }
}

impl Worker {
    fn view(&self) -> WorkerView {
        let state = match (self.leaving, self.suspected) {
            (true, _) => "leaving",
            (false, true) => "suspected",
            (false, false) => "ready",
        };
        WorkerView {
            worker: self.shape.worker.clone(),
            data_centre: self.shape.data_centre.clone(),
            rack: self.shape.rack.clone(),
            state: state.to_owned(),
            held: self.shape.held,
            committed: self.committed,
            used: Resources::ZERO,
            tasks: self.tasks,
        }
    }
}
