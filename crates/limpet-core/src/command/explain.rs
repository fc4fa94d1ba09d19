//! Explanations for `why` queries, as sentences with the most important reason
//! first.

use super::{CellView, CommandAnswer, Subject, TableCell, Topic, suggest};
use crate::{
    Error, ErrorKind, JobId, Result, TaskId, TaskState, TeamName, WorkerId,
    scheduler::{JobView, TaskView, WorkerView},
};

/// The most sentences in the answer to a `why` query.
pub(super) const LINES_LIMIT: usize = 10;

/// Explains a subject from the view of one instance.
///
/// `team` is the only team whose objects are visible, or `None` for all.
///
/// # Errors
///
/// Returns [`ErrorKind::NotFound`] where the view doesn't have the subject or
/// it isn't visible.
pub(super) fn explain(
    subject: &Subject,
    view: &CellView,
    team: Option<&TeamName>,
) -> Result<Vec<String>> {
    let visible = |owner: &TeamName| team.is_none_or(|team| team == owner);
    let not_found =
        || Error::new(ErrorKind::NotFound, format!("no {subject} is known"));
    let mut lines = match subject {
        Subject::Job(job) => find_job(view, *job)
            .filter(|job| visible(&job.team))
            .map(|job| explain_job(job, view)),
        Subject::Task(task) => find_task(view, *task)
            .filter(|task| visible(&task.team))
            .map(|task| explain_task(task, view)),
        Subject::Worker(worker) => find_worker(view, worker)
            .map(|worker| explain_worker(worker, view)),
        Subject::Refusal(refusal) => explain_refusal(refusal, view, team),
        // The resources that a team uses are a sum over the shards, so
        // `explain_team` explains it from the merged table.
        Subject::Team(_) => None,
    }
    .ok_or_else(not_found)?;
    lines.truncate(LINES_LIMIT);
    Ok(lines)
}

fn find_job(view: &CellView, id: JobId) -> Option<&JobView> {
    view.jobs.iter().find(|job| job.job == id)
}

fn find_task(view: &CellView, id: TaskId) -> Option<&TaskView> {
    view.tasks.iter().find(|task| task.task == id)
}

fn find_worker<'a>(
    view: &'a CellView,
    id: &WorkerId,
) -> Option<&'a WorkerView> {
    view.workers.iter().find(|worker| worker.worker == *id)
}

/// Returns the scheduler's own explanation of the subject, where the view has
/// one. It knows more than the tables of the view do.
fn scheduler_lines(view: &CellView) -> Option<Vec<String>> {
    view.explanation.as_ref().map(|explanation| explanation.lines.clone())
}

fn explain_job(job: &JobView, view: &CellView) -> Vec<String> {
    let mut lines = scheduler_lines(view).unwrap_or_else(|| {
        vec![format!("job {} is {}", job.job, job.state), job.reason.clone()]
    });
    if job.held {
        lines.truncate(LINES_LIMIT - 1);
        lines.push(format!(
            "an operator holds it; `release job {}` lets it go on",
            job.job
        ));
    }
    lines
}

fn explain_task(task: &TaskView, view: &CellView) -> Vec<String> {
    if let Some(lines) = scheduler_lines(view) {
        return lines;
    }
    let id = task.task;
    let mut lines = vec![format!("task {id} is {}", task.state)];
    match (task.state, &task.worker) {
        (TaskState::Waiting, _) => {
            let job = find_job(view, id.job);
            lines.extend(job.map(|job| job.reason.clone()));
            lines.push(format!("`why job {}` tells more", id.job));
        }
        (TaskState::Starting | TaskState::Stopping, Some(worker)) => {
            lines.push(format!(
                "a command is on its way to worker {worker}, whose answer \
                 isn't known yet; `why worker {worker}` tells more"
            ));
        }
        (TaskState::Unknown, worker) => {
            lines.extend(worker.as_ref().map(|worker| {
                format!("worker {worker} never reported its outcome")
            }));
            lines.push(
                "it isn't idempotent, so it is never started again; if you \
                 know that it did not run, submit the job again"
                    .to_owned(),
            );
        }
        (_, Some(worker)) => lines.push(format!("on worker {worker}")),
        (_, None) => {}
    }
    lines.push(format!("it asks for {}", task.size));
    if task.starts > 0 {
        lines.push(format!("starts so far: {}", task.starts));
    }
    lines
}

fn explain_worker(worker: &WorkerView, view: &CellView) -> Vec<String> {
    let id = &worker.worker;
    let drained = view.config.drained_workers.contains(id);
    if let Some(mut lines) = scheduler_lines(view) {
        if drained {
            lines.insert(0, drained_line(id));
        }
        return lines;
    }
    let mut lines = vec![match worker.state.as_str() {
        "ready" if drained => drained_line(id),
        "ready" => format!("worker {id} takes tasks where they fit"),
        "leaving" => format!(
            "worker {id} takes no new tasks because the platform says that \
             it is leaving"
        ),
        "suspected" => format!(
            "worker {id} takes no new tasks because it doesn't answer or \
             fails what it starts"
        ),
        "probation" => format!(
            "worker {id} takes one task at a time until one has succeeded"
        ),
        state => format!("worker {id} is {state}"),
    }];
    if drained && worker.state != "ready" {
        lines.push(drained_line(id));
    }
    lines.push(format!("it holds {}", worker.held));
    lines.push(format!("{} is committed", worker.committed));
    let free = worker.held.minus(&worker.committed);
    lines.push(format!("{free} is free"));
    lines.push(format!(
        "tasks on it: {}; `show tasks where worker = \"{id}\"` lists them",
        worker.tasks
    ));
    lines
}

fn drained_line(id: &WorkerId) -> String {
    format!(
        "worker {id} takes no new tasks because an operator drained it; \
         `release worker {id}` puts it in use again"
    )
}

/// Explains a refusal; `None` where the instance has no refusal with this id
/// that is visible to `team`.
fn explain_refusal(
    id: &str,
    view: &CellView,
    team: Option<&TeamName>,
) -> Option<Vec<String>> {
    let refusal =
        view.refusals.iter().find(|refusal| refusal.refusal == id).filter(
            |refusal| team.is_none() || refusal.team.as_ref() == team,
        )?;
    let response = refusal.kind.response();
    let mut lines = vec![
        format!("{}: {}", response.code, refusal.message),
        refusal.kind.remedy().to_owned(),
    ];
    lines.push(match response.run {
        crate::RunStatus::NotRun => "the request did not run".to_owned(),
        crate::RunStatus::Ran => "the request ran".to_owned(),
        crate::RunStatus::Unknown => "the request may have run".to_owned(),
    });
    lines.extend(
        response
            .retry_after_ms
            .map(|ms| format!("a retry may succeed after {ms} ms")),
    );
    lines.push(format!("asked for: {}", refusal.asked));
    let key = refusal.key.as_ref();
    lines.push(
        key.map_or("without a key".to_owned(), |key| {
            format!("with key {key}")
        }),
    );
    lines.push(format!("refused by instance {}", refusal.instance));
    Some(lines)
}

/// Checks that the configuration has a team.
///
/// # Errors
///
/// Returns [`ErrorKind::UnknownTeam`] where it doesn't, with a team of a
/// similar name where there is one.
pub(super) fn check_team(team: &TeamName, view: &CellView) -> Result<()> {
    let teams = &view.config.teams;
    if teams.contains_key(team) {
        return Ok(());
    }
    let known = teams.keys().map(TeamName::as_str);
    let hint = match suggest(team.as_str(), known) {
        None => String::new(),
        Some(suggestion) => format!("; did you mean `{suggestion}`?"),
    };
    Err(Error::new(ErrorKind::UnknownTeam, format!("no team `{team}`{hint}")))
}

/// Explains what a team uses, from its row in the merged table of teams.
pub(super) fn explain_team(
    team: &TeamName,
    answer: &CommandAnswer,
) -> Vec<String> {
    let Some(row) = answer.rows.first() else { return Vec::new() };
    let cell = |name: &str| {
        let column = Topic::Teams.get_column(name);
        column.and_then(|column| row.get(column.index())).cloned()
    };
    let number = |name: &str| cell(name).and_then(|cell| cell.as_f64());
    let mut lines = Vec::new();
    for (resource, unit) in [
        ("cores", "cores"),
        ("memory_mb", "MB"),
        ("accelerators", "accelerators"),
    ] {
        let running = number(&format!("running_{resource}")).unwrap_or(0.0);
        let limit = number(&format!("limit_{resource}"));
        lines.push(describe_usage(running, limit, unit));
    }
    // The resource that is closest to its limit comes first.
    lines.sort_by(|a, b| b.0.total_cmp(&a.0));
    let mut lines: Vec<String> =
        lines.into_iter().map(|(_, line)| line).collect();
    let waiting = number("waiting_jobs").unwrap_or(0.0);
    lines.push(format!("waiting jobs: {waiting}"));
    let share = cell("share").unwrap_or(TableCell::Empty);
    lines.push(format!("its share when the cell is full is {share}"));
    lines.push(format!(
        "`set limit of team {team} to N cores` changes the limit, `set share \
         of team {team} to N` the share"
    ));
    lines
}

/// Returns how close a resource is to its limit, from 0 to infinity, and a
/// sentence about it.
fn describe_usage(
    running: f64,
    limit: Option<f64>,
    unit: &str,
) -> (f64, String) {
    match limit {
        None => {
            (0.0, format!("the team uses {running} {unit}, without a limit"))
        }
        Some(limit) if running >= limit => (
            f64::INFINITY,
            format!(
                "the team is at its limit of {limit} {unit}: nothing starts"
            ),
        ),
        Some(limit) => (
            running / limit,
            format!("the team uses {running} {unit} of its limit of {limit}"),
        ),
    }
}
