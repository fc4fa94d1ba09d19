use std::collections::BTreeMap;

use limpet_core::{
    Epoch, TaskId, TaskOutcome, TimeMs, WorkerId, scheduler::WorkerShape,
};

use super::{
    options::EmbeddedOptions,
    worker::{Behaviour, MemoryWorker, TaskChange},
};
use crate::port::{WorkerReport, WorkerRequest};

/// A record of the start or the end of an attempt, made by the worker itself.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct TaskRecord {
    /// The worker that ran the attempt.
    pub worker: WorkerId,
    /// The task.
    pub task: TaskId,
    /// The epoch in which it was started.
    pub epoch: Epoch,
    /// The number of the attempt.
    pub attempt: u32,
    /// When it started or ended, on the platform's clock.
    pub at: TimeMs,
    /// How the attempt ended; `None` for a start.
    pub outcome: Option<TaskOutcome>,
}

/// The workers of a platform in memory, by name.
#[derive(Clone, Debug)]
pub struct MemoryWorkers {
    workers: BTreeMap<WorkerId, MemoryWorker>,
    behaviour: Behaviour,
    keep_records: bool,
    records: Vec<TaskRecord>,
}

impl MemoryWorkers {
    /// Returns the workers that the options describe.
    pub fn new(options: &EmbeddedOptions) -> MemoryWorkers {
        let behaviour = options.behaviour();
        let workers = options
            .shapes()
            .into_iter()
            .map(|shape| {
                let worker = shape.worker.clone();
                (worker, MemoryWorker::new(shape, behaviour))
            })
            .collect();
        MemoryWorkers {
            workers,
            behaviour,
            keep_records: options.keeps_records(),
            records: Vec::new(),
        }
    }

    /// Adds a worker, or replaces the one of that name by a new one.
    pub fn add(&mut self, shape: WorkerShape) {
        let worker = MemoryWorker::new(shape.clone(), self.behaviour);
        self.workers.insert(shape.worker, worker);
    }

    /// Returns a worker by name.
    pub fn get_mut(&mut self, worker: &str) -> Option<&mut MemoryWorker> {
        let worker = WorkerId::new(worker).ok()?;
        self.workers.get_mut(&worker)
    }

    /// Returns all workers, in ascending order of names.
    pub fn iter(&self) -> impl Iterator<Item = &MemoryWorker> {
        self.workers.values()
    }

    /// Carries out a request to a worker and returns its report, or `None` if
    /// there is no worker of that name.
    pub fn exchange(
        &mut self,
        worker: &str,
        request: &WorkerRequest,
        now: TimeMs,
    ) -> Option<WorkerReport> {
        let report = self.get_mut(worker)?.exchange(request, now);
        self.collect_records(worker);
        Some(report)
    }

    /// Restarts a worker: it stops all tasks and forgets their ends. It keeps
    /// its epochs, which a platform must store durably.
    pub fn restart(&mut self, worker: &str, now: TimeMs) {
        if let Some(found) = self.get_mut(worker) {
            found.advance(now);
            found.restart(now);
        }
        self.collect_records(worker);
    }

    /// Advances all workers to `now` and returns the starts and ends of all
    /// attempts so far. Empty unless [`EmbeddedOptions::keep_records`] is set.
    pub fn records(&mut self, now: TimeMs) -> &[TaskRecord] {
        let names: Vec<_> = self.workers.keys().cloned().collect();
        for worker in names {
            if let Some(found) = self.workers.get_mut(&worker) {
                found.advance(now);
            }
            self.collect_records(worker.as_str());
        }
        &self.records
    }

    /// Moves a worker's new starts and ends to the records, or drops them if
    /// no records are kept.
    fn collect_records(&mut self, worker: &str) {
        let Some(found) = self.get_mut(worker) else {
            return;
        };
        let changes = found.take_changes();
        let worker = found.shape().worker.clone();
        if self.keep_records {
            let record = |change: TaskChange| TaskRecord {
                worker: worker.clone(),
                task: change.task,
                epoch: change.attempt.epoch,
                attempt: change.attempt.number,
                at: change.at,
                outcome: change.outcome,
            };
            self.records.extend(changes.into_iter().map(record));
        }
    }
}
