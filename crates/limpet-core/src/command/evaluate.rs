use super::{
    Aggregate, CellView, Column, Command, CommandAnswer, Condition, FanOut,
    JobSelector, Part, Show, Subject, TableCell, Topic,
    explain::{check_team, explain},
    merge::order_and_limit,
    merge::sum_groups,
    merge_parts,
    rows::{Row, job_row, rows},
    show::COUNT,
};
use crate::{Error, ErrorKind, JobId, Result, TeamName, scheduler::JobView};

/// Answers a question from what one instance knows.
///
/// # Errors
///
/// [`ErrorKind::NotFound`] where a `why` is about something unknown, and
/// [`ErrorKind::InvalidRequest`] for a change, which is no question.
pub fn evaluate(
    command: &Command,
    view: &CellView,
    team: Option<&TeamName>,
) -> Result<CommandAnswer> {
    let part = Part::Answered(evaluate_part(command, view, team)?);
    merge_parts(command, vec![part])
}

/// Answers the part of a question that one instance knows, so that it can be
/// merged with the other parts.
///
/// `team` is the only team whose things may be seen, where the asker is
/// confined to one.
///
/// # Errors
///
/// As for [`evaluate`].
pub fn evaluate_part(
    command: &Command,
    view: &CellView,
    team: Option<&TeamName>,
) -> Result<CommandAnswer> {
    match command {
        Command::Show(show) => Ok(show_part(show, view, team)),
        Command::Why(subject) => why_part(subject, view, team),
        Command::Change(_) => Err(Error::new(
            ErrorKind::InvalidRequest,
            "a change can't be answered from a view",
        )),
    }
}

fn show_part(
    show: &Show,
    view: &CellView,
    team: Option<&TeamName>,
) -> CommandAnswer {
    let mut rows = rows(show.topic, view);
    if let Some(team) = team {
        keep_team(&mut rows, show.topic, team);
    }
    let columns = show.topic.columns().map(|c| c.to_string()).collect();
    if show.topic.fan_out() == FanOut::SummedShards {
        // What a row sums up to is known only when all parts are there.
        return CommandAnswer { columns, rows, ..CommandAnswer::default() };
    }
    let rows = narrow(show, rows);
    CommandAnswer {
        columns: show.column_names(),
        rows,
        ..CommandAnswer::default()
    }
}

fn keep_team(rows: &mut Vec<Row>, topic: Topic, team: &TeamName) {
    if let Some(column) = topic.get_column("team") {
        rows.retain(|row| {
            matches!(&row[column.index()], TableCell::Text(t) if t == team.as_str())
        });
    }
}

/// Filters rows and sums them up, or takes the first ones of the order.
pub(super) fn narrow(show: &Show, mut rows: Vec<Row>) -> Vec<Row> {
    if let Some(condition) = &show.condition {
        rows.retain(|row| condition.matches(row));
    }
    match &show.aggregate {
        // An order and limit here could drop a group that is large in sum.
        Some(aggregate) => aggregate_rows(aggregate, &rows),
        None => {
            order_and_limit(show, &mut rows);
            rows
        }
    }
}

fn aggregate_rows(aggregate: &Aggregate, rows: &[Row]) -> Vec<Row> {
    let pick = |row: &Row, columns: &[Column]| -> Row {
        columns.iter().map(|column| row[column.index()].clone()).collect()
    };
    let narrowed = rows.iter().map(|row| {
        let mut cells = pick(row, &aggregate.groups);
        if aggregate.sums.is_empty() {
            cells.push(TableCell::Number(1));
        }
        cells.extend(pick(row, &aggregate.sums));
        cells
    });
    sum_groups(narrowed, aggregate.groups.len())
}

fn why_part(
    subject: &Subject,
    view: &CellView,
    team: Option<&TeamName>,
) -> Result<CommandAnswer> {
    if let Subject::Team(asked) = subject {
        check_team(asked, view)?;
        let rows = rows(Topic::Teams, view);
        return Ok(CommandAnswer { rows, ..CommandAnswer::default() });
    }
    let lines = explain(subject, view, team)?;
    Ok(CommandAnswer { lines, ..CommandAnswer::default() })
}

/// Returns the jobs of the view that a change is about.
pub fn matching_jobs(
    choice: &JobSelector,
    view: &CellView,
    team: Option<&TeamName>,
) -> Vec<JobId> {
    let chosen = |job: &&JobView| match choice {
        JobSelector::Id(id) => job.job == *id,
        JobSelector::Where(condition) => matches_job(condition, job, view),
    };
    view.jobs
        .iter()
        .filter(|job| team.is_none_or(|team| job.team == *team))
        .filter(chosen)
        .map(|job| job.job)
        .collect()
}

fn matches_job(condition: &Condition, job: &JobView, view: &CellView) -> bool {
    condition.matches(&job_row(job, view.now))
}

/// Returns the position in the answer of the column that an order names.
pub(super) fn order_index(show: &Show, column: Option<Column>) -> usize {
    let name = column.map_or(COUNT, Column::name);
    let names = show.column_names();
    names.iter().position(|known| known == name).unwrap_or(0)
}
