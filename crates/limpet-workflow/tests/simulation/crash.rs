//! Workers that crash, and tasks that crash them.

use std::collections::BTreeSet;

use limpet_workflow::{JobKey, StartOrder, TaskKey};

use super::{Event, Simulation, worker::FakeWorker};

/// How long after a crash the platform's list drops the worker.
const UNLIST_MS: u64 = 3_500;
/// How long a worker that has crashed stays away.
const DOWN_MS: u64 = 5_000;

/// The tasks that crash the workers that start them.
#[derive(Clone, Debug)]
pub struct Deadly {
    /// The jobs of which all tasks do.
    pub jobs: BTreeSet<JobKey>,
    pub tasks: BTreeSet<TaskKey>,
    /// How long after the start of the run.
    pub after_ms: u64,
    /// Whether a worker comes back under its id, and not under a new one.
    pub keeps_id: bool,
    /// Whether hosts drop packets meanwhile, and don't refuse connections.
    pub silent: bool,
}

impl Default for Deadly {
    fn default() -> Deadly {
        Deadly {
            jobs: BTreeSet::new(),
            tasks: BTreeSet::new(),
            after_ms: 50,
            keeps_id: false,
            silent: false,
        }
    }
}

impl Simulation {
    /// Returns whether a task crashes the workers that start it.
    pub(super) fn is_deadly(&self, task: TaskKey) -> bool {
        self.deadly.jobs.contains(&task.step.job)
            || self.deadly.tasks.contains(&task)
    }

    /// Schedules the crash that a run causes, if its task is deadly.
    pub(super) fn schedule_crash(&mut self, order: &StartOrder) {
        let task = order.task;
        if !self.is_deadly(task) {
            return;
        }
        let number = order.worker as usize;
        let incarnation = self.workers[number].incarnation;
        let crash = Event::Crash { number, incarnation, task, run: order.run };
        self.at(self.deadly.after_ms, crash);
    }

    /// Crashes a worker under a deadly task.
    pub(super) fn crash_under(&mut self, number: usize, task: TaskKey) {
        if !self.workers[number].disconnected {
            self.history.record_crash(task);
            self.crash_worker(number);
        }
    }

    /// Ends the process of a worker. A new life of its machine comes later.
    pub fn crash_worker(&mut self, number: usize) {
        if self.workers[number].disconnected {
            return;
        }
        let id = self.workers[number].id.clone();
        let lost = std::mem::take(&mut self.workers[number].runs);
        for (task, run) in &lost {
            self.history.end(&id, *task, run.run);
        }
        let lost: Vec<TaskKey> = lost.into_keys().collect();
        self.crashes.push((self.now_ms, lost));
        self.workers[number].disconnected = true;
        self.workers[number].has_crashed = true;
        self.workers[number].refuses = !self.deadly.silent;
        if !self.deadly.keeps_id {
            self.at(UNLIST_MS, Event::Unlist(number));
        }
        self.at(DOWN_MS, Event::Return(number));
    }

    /// Starts a new life of the machine of a worker that has crashed.
    pub(super) fn return_worker(&mut self, number: usize) {
        if !self.workers[number].has_crashed {
            return;
        }
        if self.deadly.keeps_id {
            self.restart_worker(number);
            return;
        }
        let old = &self.workers[number];
        let id = format!("w{}", self.workers.len());
        let mut next = FakeWorker::new(id, old.capacity);
        next.labels = old.labels.clone();
        next.data_centre = old.data_centre.clone();
        next.machine = old.machine.clone();
        next.incarnation = old.incarnation + 1;
        self.workers.push(next);
        self.polled_ms.push(0);
        let listing = self.listing(self.workers.len() - 1);
        let now = self.now();
        if !self.is_loading() {
            self.engine.set_listing(listing, now);
        }
    }

    /// Returns the number of crashes under a task.
    pub fn crashes_under(&self, task: TaskKey) -> usize {
        self.crashes.iter().filter(|(_, lost)| lost.contains(&task)).count()
    }

    /// Returns the number of starts of a task.
    pub fn starts_of(&self, task: TaskKey) -> usize {
        self.starts.iter().filter(|(_, started, _)| *started == task).count()
    }
}
