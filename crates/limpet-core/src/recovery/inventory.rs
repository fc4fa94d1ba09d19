use std::collections::BTreeMap;

use crate::{
    TaskId, TaskOutcome, WorkerId,
    journal::{Attempt, Record, ShardRecord, TaskRecord},
    scheduler::Event,
};

/// A task that a worker reports.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct InventoryTask {
    /// The attempt.
    pub attempt: Attempt,
    /// How it ended; `None` while it runs.
    pub outcome: Option<TaskOutcome>,
}

/// What a worker answered to the first request of a new epoch. From then
/// on it refuses every start of an earlier owner.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Inventory {
    /// Its tasks.
    pub tasks: BTreeMap<TaskId, InventoryTask>,
}

/// What an inventory or a lapse says of one task.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Finding {
    /// What to journal before the worker is told anything.
    pub record: Option<Record>,
    /// What to tell the scheduler.
    pub event: Event,
}

/// Compares what was claimed for a worker with what the worker reports;
/// `None` stands for a worker whose leases have lapsed.
///
/// A claimed task that the worker doesn't know was never started there, or
/// ran in a process of the worker that is gone. A task that is idempotent
/// may run again in both cases. One that isn't ends as stopped, which the
/// scheduler takes for unknown, and is never started again.
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

/// Returns the events that bring a new scheduler to the recorded state.
///
/// Placement is paused first; the caller resumes it once the allotments are
/// in, and needs no worker's inventory for that: tasks that may run are
/// entered at their workers before anybody is asked, so that their room
/// stays taken until the worker's inventory or lapse says otherwise.
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
