use std::collections::BTreeMap;

use crate::{
    TaskId, TaskOutcome, WorkerId,
    journal::{Attempt, Record, ShardRecord, TaskRecord},
    scheduler::Event,
};

/// A task in a worker's [`Inventory`].
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct InventoryTask {
    /// The attempt that the worker started.
    pub attempt: Attempt,
    /// How the attempt ended; `None` while it is running.
    pub outcome: Option<TaskOutcome>,
}

/// The tasks of a worker, as it reports them in answer to the first request
/// of a new epoch. From then on the worker refuses starts by earlier owners.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Inventory {
    /// The tasks of the worker.
    pub tasks: BTreeMap<TaskId, InventoryTask>,
}

/// What follows for one task from a worker's inventory or from the expiry of
/// the worker's leases.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Finding {
    /// The record to write to the journal before the next request to the
    /// worker, if any.
    pub record: Option<Record>,
    /// The event to apply to the scheduler.
    pub event: Event,
}

/// Compares the tasks that the journal shows as claimed for a worker with
/// the worker's inventory, which is `None` if the worker's leases have
/// expired.
///
/// A claimed task that isn't in the inventory either was never started or
/// ran in an earlier process of the worker. It ends as stopped. The
/// scheduler starts an idempotent task again, while the outcome of any other
/// task becomes unknown and the task is never started again.
///
/// A running task in the inventory without a claim is reported to the
/// scheduler as running, which decides what becomes of it.
pub fn reconcile(
    record: &ShardRecord,
    worker: &WorkerId,
    inventory: Option<&Inventory>,
) -> Vec<Finding> {
    let mut findings: Vec<Finding> = record
        .open_tasks(worker)
        .map(|(task, claimed)| {
            let found = inventory
                .and_then(|inventory| inventory.tasks.get(&task))
                .filter(|found| found.attempt == claimed.attempt);
            finding(task, worker, claimed.attempt, found)
        })
        .collect();
    let unclaimed = inventory
        .into_iter()
        .flat_map(|inventory| &inventory.tasks)
        .filter(|(task, found)| {
            found.outcome.is_none() && !is_claimed(record, worker, task, found)
        })
        .map(|(&task, _)| Finding {
            record: None,
            event: Event::TaskRunning { task, worker: worker.clone() },
        });
    findings.extend(unclaimed);
    findings
}

fn is_claimed(
    record: &ShardRecord,
    worker: &WorkerId,
    task: &TaskId,
    found: &InventoryTask,
) -> bool {
    record.get_task(*task).is_some_and(|claimed| {
        claimed.is_open()
            && claimed.worker == *worker
            && claimed.attempt == found.attempt
    })
}

/// Returns the finding for a claimed attempt. `found` is its entry in the
/// worker's inventory; `None` if there is none or the leases have expired.
fn finding(
    task: TaskId,
    worker: &WorkerId,
    attempt: Attempt,
    found: Option<&InventoryTask>,
) -> Finding {
    let ended = |outcome| Finding {
        record: Some(Record::TaskEnded { task, attempt, outcome }),
        event: Event::TaskEnded { task, worker: worker.clone(), outcome },
    };
    match found {
        Some(InventoryTask { outcome: Some(outcome), .. }) => ended(*outcome),
        Some(_) => Finding {
            record: None,
            event: Event::TaskRunning { task, worker: worker.clone() },
        },
        None => ended(TaskOutcome::Stopped),
    }
}

/// Returns the events that restore the recorded state in a new scheduler.
///
/// The first event pauses placement. The caller resumes it once the
/// allotments are known and needn't wait for the inventories of workers:
/// a task that may be running occupies its worker from the start, until the
/// worker's inventory or the expiry of its leases shows that it isn't.
pub fn restore_events(record: &ShardRecord) -> Vec<Event> {
    let mut events = vec![Event::PlacementPaused { paused: true }];
    for (&job, finished) in &record.finished {
        let count = finished.spec.task_count();
        events.push(Event::JobRestored {
            job,
            spec: finished.spec.clone(),
            state: finished.state,
            tasks: (0..count).map(|at| finished.task_state(at)).collect(),
            ended_at: finished.at,
        });
    }
    for (&job, recorded) in &record.jobs {
        let spec = recorded.spec.clone();
        events.push(Event::JobAccepted { job, spec });
    }
    for (&job, recorded) in &record.jobs {
        for (&index, task) in &recorded.tasks {
            push_task_events(TaskId::new(job, index), task, &mut events);
        }
        if recorded.cancelled {
            events.push(Event::JobCancelled { job });
        }
        if recorded.held {
            events.push(Event::JobHeld { job, held: true });
        }
    }
    events
}

/// Adds the events that restore a task's last claimed attempt.
fn push_task_events(
    task: TaskId,
    recorded: &TaskRecord,
    events: &mut Vec<Event>,
) {
    if recorded.not_started {
        return;
    }
    let worker = recorded.worker.clone();
    events.push(Event::TaskClaimed {
        task,
        worker: worker.clone(),
        attempt: recorded.attempt.number,
    });
    if let Some(outcome) = recorded.outcome {
        events.push(Event::TaskEnded { task, worker, outcome });
    }
}
