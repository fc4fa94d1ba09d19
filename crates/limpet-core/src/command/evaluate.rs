//! Evaluates queries on the view of one instance.

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

/// Answers a query completely from the view of one instance.
///
/// `team` restricts the answer as for [`evaluate_part`].
///
/// # Errors
///
/// Returns [`ErrorKind::NotFound`] or [`ErrorKind::UnknownTeam`] where the
/// subject of a `why` is unknown, and [`ErrorKind::InvalidRequest`] where the
/// command is a change and not a query.
pub fn evaluate(
    command: &Command,
    view: &CellView,
    team: Option<&TeamName>,
) -> Result<CommandAnswer> {
    let part = Part::Answered(evaluate_part(command, view, team)?);
    merge_parts(command, vec![part])
}

/// Answers the part of a query that one instance has the data for, to be
/// merged with the other parts by [`merge_parts`].
///
/// `team` is the only team whose jobs, tasks, keys and refusals are visible,
/// or `None` for all teams. Tables without a team column aren't restricted.
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
        Command::Show(show) => Ok(evaluate_show(show, view, team)),
        Command::Why(subject) => evaluate_why(subject, view, team),
        Command::Change(_) => Err(Error::new(
            ErrorKind::InvalidRequest,
            "the command is a change, expected a query",
        )),
    }
}

/// Returns the rows of a table that the view has, filtered and aggregated as
/// far as is possible before the merge.
fn evaluate_show(
    show: &Show,
    view: &CellView,
    team: Option<&TeamName>,
) -> CommandAnswer {
    let mut rows = rows(show.topic, view);
    if let Some(team) = team {
        retain_team(&mut rows, show.topic, team);
    }
    let columns = show.topic.columns().map(|c| c.to_string()).collect();
    if show.topic.fan_out() == FanOut::SummedShards {
        // Each row is only the summand of one shard, so conditions and
        // aggregates can't be applied before the parts are merged.
        return CommandAnswer { columns, rows, ..CommandAnswer::default() };
    }
    let rows = filter_and_aggregate(show, rows);
    CommandAnswer {
        columns: show.column_names(),
        rows,
        ..CommandAnswer::default()
    }
}

/// Removes the rows of other teams, where the table has a team column.
fn retain_team(rows: &mut Vec<Row>, topic: Topic, team: &TeamName) {
    if let Some(column) = topic.get_column("team") {
        rows.retain(|row| {
            matches!(
                &row[column.index()],
                TableCell::Text(t) if t == team.as_str()
            )
        });
    }
}

/// Applies the condition of a query, and then either its aggregate or its
/// order and limit.
pub(super) fn filter_and_aggregate(
    show: &Show,
    mut rows: Vec<Row>,
) -> Vec<Row> {
    if let Some(condition) = &show.condition {
        rows.retain(|row| condition.matches(row));
    }
    match &show.aggregate {
        // The order and limit apply after the merge: applied here, they could
        // drop a group that is small in this part but large in the sum.
        Some(aggregate) => aggregate_rows(aggregate, &rows),
        None => {
            order_and_limit(show, &mut rows);
            rows
        }
    }
}

/// Counts or sums rows by group. A row of the result has the columns to group
/// by and then the count or the sums.
fn aggregate_rows(aggregate: &Aggregate, rows: &[Row]) -> Vec<Row> {
    let project = |row: &Row, columns: &[Column]| -> Row {
        columns.iter().map(|column| row[column.index()].clone()).collect()
    };
    let projected = rows.iter().map(|row| {
        let mut cells = project(row, &aggregate.groups);
        if aggregate.sums.is_empty() {
            cells.push(TableCell::Number(1));
        }
        cells.extend(project(row, &aggregate.sums));
        cells
    });
    sum_groups(projected, aggregate.groups.len())
}

/// Explains a subject, or returns the rows from which a team is explained
/// after the merge.
fn evaluate_why(
    subject: &Subject,
    view: &CellView,
    team: Option<&TeamName>,
) -> Result<CommandAnswer> {
    if let Subject::Team(name) = subject {
        check_team(name, view)?;
        let rows = rows(Topic::Teams, view);
        return Ok(CommandAnswer { rows, ..CommandAnswer::default() });
    }
    let lines = explain(subject, view, team)?;
    Ok(CommandAnswer { lines, ..CommandAnswer::default() })
}

/// Returns the jobs of the view that a change applies to.
///
/// Where `team` is given, only jobs of this team are returned.
pub fn matching_jobs(
    selector: &JobSelector,
    view: &CellView,
    team: Option<&TeamName>,
) -> Vec<JobId> {
    let selected = |job: &&JobView| match selector {
        JobSelector::Id(id) => job.job == *id,
        JobSelector::Where(condition) => matches_job(condition, job, view),
    };
    view.jobs
        .iter()
        .filter(|job| team.is_none_or(|team| job.team == *team))
        .filter(selected)
        .map(|job| job.job)
        .collect()
}

fn matches_job(condition: &Condition, job: &JobView, view: &CellView) -> bool {
    condition.matches(&job_row(job, view.now))
}

/// Returns the position in the answer of the column to order by, where `None`
/// stands for the count of an aggregate.
pub(super) fn order_column_index(
    show: &Show,
    column: Option<Column>,
) -> usize {
    let name = column.map_or(COUNT, Column::name);
    let names = show.column_names();
    names.iter().position(|other| other == name).unwrap_or(0)
}
