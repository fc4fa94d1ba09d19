//! Sentences for `why`, the most binding reason first.

use super::{CellView, CommandAnswer, Subject, TableCell, Topic, suggest};
use crate::{
    Error, ErrorKind, JobId, Result, TaskId, TaskState, TeamName, WorkerId,
    scheduler::{JobView, TaskView, WorkerView},
};

/// The most sentences that an answer to `why` has.
pub(super) const LINES_LIMIT: usize = 10;

/// Explains a subject as far as one instance knows it.
pub(super) fn explain(
    subject: &Subject,
    view: &CellView,
    team: Option<&TeamName>,
) -> Result<Vec<String>> {
    let seen = |owner: &TeamName| team.is_none_or(|team| team == owner);
    let not_found =
        || Error::new(ErrorKind::NotFound, format!("no {subject} is known"));
    let mut lines = match subject {
        Subject::Job(job) => find_job(view, *job)
            .filter(|job| seen(&job.team))
            .map(|job| explain_job(job, view)),
        Subject::Task(task) => find_task(view, *task)
            .filter(|task| seen(&task.team))
            .map(|task| explain_task(task, view)),
        Subject::Worker(worker) => find_worker(view, worker)
            .map(|worker| explain_worker(worker, view)),
        Subject::Refusal(refusal) => explain_refusal(refusal, view, team),
        // The team's standing is a sum over the shards, so the answer is
        // made from the merged table.
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

/// Returns what the scheduler itself says, which knows best.
fn told(view: &CellView) -> Option<Vec<String>> {
    view.explanation.as_ref().map(|explanation| explanation.lines.clone())
}

fn explain_job(job: &JobView, view: &CellView) -> Vec<String> {
    let mut lines = told(view).unwrap_or_else(|| {
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
    if let Some(lines) = told(view) {
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
                format!("its outcome on worker {worker} was never told")
            }));
            lines.push(
                "it isn't idempotent, so it is never started again; if it \
                 surely did not run, submit the job anew"
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
    if let Some(mut lines) = told(view) {
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
            "worker {id} takes one task at a time until one has gone well"
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
        crate::RunStatus::NotRun => {
            "what was asked for did not run".to_owned()
        }
        crate::RunStatus::Ran => "what was asked for ran".to_owned(),
        crate::RunStatus::Unknown => {
            "what was asked for may have run".to_owned()
        }
    });
    lines.extend(
        response
            .retry_after_ms
            .map(|ms| format!("the same request may help after {ms} ms")),
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

/// Refuses a team that the configuration doesn't have.
pub(super) fn check_team(team: &TeamName, view: &CellView) -> Result<()> {
    let teams = &view.config.teams;
    if teams.contains_key(team) {
        return Ok(());
    }
    let known = teams.keys().map(TeamName::as_str);
    let hint = match suggest(team.as_str(), known) {
        None => String::new(),
        Some(meant) => format!("; did you mean `{meant}`?"),
    };
    Err(Error::new(ErrorKind::UnknownTeam, format!("no team `{team}`{hint}")))
}

/// Explains a team from its row of the merged table.
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
        lines.push(describe_use(running, limit, unit));
    }
    // The resource that is closest to its limit binds most.
    lines.sort_by(|a, b| b.0.total_cmp(&a.0));
    let mut lines: Vec<String> =
        lines.into_iter().map(|(_, line)| line).collect();
    let waiting = number("waiting_jobs").unwrap_or(0.0);
    lines.push(format!("jobs that wait: {waiting}"));
    let share = cell("share").unwrap_or(TableCell::Empty);
    lines.push(format!("its share when the cell is full is {share}"));
    lines.push(format!(
        "`set limit of team {team} to N cores` changes the limit, `set share \
         of team {team} to N` the share"
    ));
    lines
}

fn describe_use(
    running: f64,
    limit: Option<f64>,
    unit: &str,
) -> (f64, String) {
    match limit {
        None => {
            (0.0, format!("the team runs {running} {unit}, without a limit"))
        }
        Some(limit) if running >= limit => (
            f64::INFINITY,
            format!(
                "the team is at its limit of {limit} {unit}: nothing starts"
            ),
        ),
        Some(limit) => (
            running / limit,
            format!("the team runs {running} {unit} of its limit of {limit}"),
        ),
    }
}
