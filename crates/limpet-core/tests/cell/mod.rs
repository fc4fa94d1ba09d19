//! Builders for events, and a simulated cell that carries out the effects of a
//! scheduler and checks them.

#![allow(dead_code)]

use std::collections::BTreeMap;

use limpet_core::{
    DataCentre, JobId, JobSpec, QueueName, Rack, Resources, TaskId,
    TaskOutcome, TaskSpec, TeamName, TimeMs, WorkerId,
    check::PlacementChecks,
    config::{QueueConfig, QueuePolicy},
    scheduler::{Effect, Event, Scheduler, SchedulerOptions, WorkerShape},
};

pub fn team(name: &str) -> TeamName {
    TeamName::new(name).unwrap()
}

pub fn worker(name: &str) -> WorkerId {
    WorkerId::new(name).unwrap()
}

pub fn task(job: u64, index: u32) -> TaskId {
    TaskId::new(JobId::new(job), index)
}

pub fn shape(name: &str, rack: &str, held: Resources) -> WorkerShape {
    WorkerShape {
        worker: worker(name),
        data_centre: DataCentre::new("athens").unwrap(),
        rack: Rack::new(rack).unwrap(),
        held,
    }
}

/// Returns a job of `count` tasks with `cores` cores and as many GiB of memory
/// each.
pub fn job(team_name: &str, queue: &str, count: u32, cores: u64) -> JobSpec {
    JobSpec {
        name: "job".to_owned(),
        team: team(team_name),
        queue: QueueName::new(queue).unwrap(),
        urgent: false,
        all_at_once: false,
        data_centre: None,
        tasks: vec![TaskSpec {
            name: "task".to_owned(),
            count,
            cores_milli: cores * 1000,
            memory_mb: cores * 1024,
            accelerators: 0,
            run_time_ms: Some(60_000),
            idempotent: true,
            can_checkpoint: false,
        }],
    }
}

/// A scheduler with the checks of its effects and the tasks placed so far.
pub struct Cell {
    pub scheduler: Scheduler,
    pub checks: PlacementChecks,
    pub now: TimeMs,
    /// The worker on which each task is placed.
    pub placed: BTreeMap<TaskId, WorkerId>,
    /// The effects of the last event.
    pub last_effects: Vec<Effect>,
}

impl Cell {
    /// Returns a cell with the queues `service`, `batch` and `gang` and
    /// unlimited allotments for the teams `one`, `two` and `three`.
    pub fn new(options: SchedulerOptions) -> Cell {
        let mut cell = Cell {
            scheduler: Scheduler::with_options(options),
            checks: PlacementChecks::default(),
            now: TimeMs::ZERO,
            placed: BTreeMap::new(),
            last_effects: Vec::new(),
        };
        for policy in
            [QueuePolicy::Service, QueuePolicy::Batch, QueuePolicy::Gang]
        {
            cell.handle(Event::QueueChanged {
                queue: QueueName::new(policy.as_str()).unwrap(),
                config: QueueConfig {
                    policy,
                    open: false,
                    stop_over_size: false,
                },
            });
        }
        for name in ["one", "two", "three"] {
            cell.set_allotment(name, Resources::UNLIMITED);
        }
        cell
    }

    /// Passes an event to the scheduler, checks the effects and records the
    /// started tasks.
    pub fn handle(&mut self, event: Event) {
        self.checks.observe_event(&event);
        match &event {
            Event::TaskEnded { task, worker, .. }
            | Event::TaskNotStarted { task, worker }
                if self.placed.get(task) == Some(worker) =>
            {
                self.placed.remove(task);
            }
            Event::WorkerLapsed { worker } => {
                self.placed.retain(|_, place| place != worker);
            }
            _ => {}
        }
        let effects = self.scheduler.handle(&event, self.now);
        let mut violations = self.checks.observe_effects(&effects);
        let views = self.scheduler.jobs();
        violations.extend(self.checks.job_retention.compare(&views));
        assert_eq!(violations, [], "after {event:?}");
        // A task that was reported as running is on that worker, unless the
        // scheduler orders it to stop.
        if let Event::TaskRunning { task, worker } = &event
            && effects.is_empty()
        {
            self.placed.insert(*task, worker.clone());
        }
        for effect in &effects {
            if let Effect::Start { task, worker, .. } = effect {
                self.placed.insert(*task, worker.clone());
            }
        }
        self.last_effects = effects;
    }

    pub fn set_allotment(&mut self, name: &str, allotment: Resources) {
        self.handle(Event::AllotmentChanged { team: team(name), allotment });
    }

    /// Adds a worker with `cores` cores and as many GiB of memory.
    pub fn join(&mut self, name: &str, rack: &str, cores: u64) {
        let held = Resources::new(cores * 1000, cores * 1024, 0);
        self.handle(Event::WorkerJoined { shape: shape(name, rack, held) });
    }

    /// Accepts a job with this id.
    pub fn submit(&mut self, id: u64, spec: JobSpec) {
        self.handle(Event::JobAccepted { job: JobId::new(id), spec });
    }

    /// Confirms the start of every placed task.
    pub fn confirm_all(&mut self) {
        for (task, worker) in self.placed.clone() {
            self.handle(Event::TaskRunning { task, worker });
        }
    }

    /// Ends a placed task with this outcome.
    pub fn end(&mut self, task: TaskId, outcome: TaskOutcome) {
        let worker = self.placed[&task].clone();
        self.handle(Event::TaskEnded { task, worker, outcome });
    }

    /// Advances the time by `ms` milliseconds and carries out the effects.
    /// Tasks stop and checkpoint without delay.
    pub fn advance(&mut self, ms: u64) {
        self.now = self.now.plus_ms(ms);
        self.handle(Event::Tick);
        self.carry_out_stops();
    }

    /// Ends the tasks that the last effects order to stop or checkpoint, and
    /// those that the effects of these ends order to stop in turn.
    pub fn carry_out_stops(&mut self) {
        let mut effects = self.last_effects.clone();
        while let Some(effect) = effects.pop() {
            let (task, outcome) = match effect {
                Effect::Stop { task, .. } => (task, TaskOutcome::Stopped),
                Effect::Checkpoint { task, .. } => {
                    (task, TaskOutcome::Checkpointed)
                }
                _ => continue,
            };
            if self.placed.contains_key(&task) {
                self.end(task, outcome);
                effects.extend(self.last_effects.clone());
            }
        }
    }

    /// Returns how many tasks of a job are placed.
    pub fn running(&self, id: u64) -> usize {
        self.placed.keys().filter(|task| task.job.get() == id).count()
    }

    /// Returns the lines of the explanation of a job.
    pub fn explain(&self, id: u64) -> String {
        let explanation = self.scheduler.explain_job(JobId::new(id)).unwrap();
        explanation.lines.join("\n")
    }
}
