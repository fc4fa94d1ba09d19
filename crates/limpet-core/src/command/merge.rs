//! Merges the replies of several instances into one answer.

use std::{cmp::Ordering, collections::HashMap};

use super::{
    Command, CommandAnswer, Direction, FanOut, Show, Subject, TableCell,
    Topic,
    evaluate::{filter_and_aggregate, order_column_index},
    explain::explain_team,
    rows::Row,
};
use crate::{Error, ErrorKind, Result, TeamName};

/// The reply of one instance that was asked for its part of an answer.
#[derive(Clone, Debug, PartialEq)]
pub enum Part {
    /// The instance answered with its part.
    Answered(CommandAnswer),
    /// The instance refused, for instance because it doesn't know the
    /// subject.
    Refused(Error),
    /// The instance could not be reached. The text names what is missing, as
    /// in `shard 2 (owner mand-1)`.
    Missing(String),
}

/// Merges the parts of an answer.
///
/// Counts, sums, order and limit apply to the whole cell. The parts of the
/// cell that could not be reached are listed in `missing`.
///
/// # Errors
///
/// Where no part answers a `why` query, returns the first refusal, or
/// [`ErrorKind::ShardUnreachable`] where a missing part may know the subject.
pub fn merge_parts(
    command: &Command,
    parts: Vec<Part>,
) -> Result<CommandAnswer> {
    let mut merged = CommandAnswer::default();
    let mut first_refusal = None;
    let mut answered = false;
    for part in parts {
        match part {
            Part::Answered(answer) => {
                answered = true;
                merged.rows.extend(answer.rows);
                merged.lines.extend(answer.lines);
                merged.missing.extend(answer.missing);
                merged.revision = merged.revision.max(answer.revision);
            }
            Part::Refused(err) => first_refusal = first_refusal.or(Some(err)),
            Part::Missing(name) => merged.missing.push(name),
        }
    }
    match command {
        Command::Show(show) => {
            // The table lacks the rows of a part that was refused, just as
            // those of a part that could not be reached.
            merged.missing.extend(first_refusal.map(|err| err.to_string()));
            merged.missing.sort();
            merged.columns = show.column_names();
            merged.rows = finish_rows(show, merged.rows);
            Ok(merged)
        }
        Command::Why(Subject::Team(team)) if answered => {
            merged.missing.sort();
            Ok(finish_team(team, merged))
        }
        _ if answered => {
            // Only one instance knows the subject, and it has answered.
            merged.missing.clear();
            Ok(merged)
        }
        _ => Err(unanswered(&merged.missing, first_refusal)),
    }
}

/// Explains a team from the rows of teams of all parts.
fn finish_team(team: &TeamName, merged: CommandAnswer) -> CommandAnswer {
    let all = Show::all(Topic::Teams);
    let mut rows = finish_rows(&all, merged.rows);
    rows.retain(|row| {
        matches!(&row[0], TableCell::Text(name) if name == team.as_str())
    });
    let answer = CommandAnswer { rows, ..CommandAnswer::default() };
    CommandAnswer {
        lines: explain_team(team, &answer),
        missing: merged.missing,
        ..CommandAnswer::default()
    }
}

/// Returns the error for a query that no part has answered.
fn unanswered(missing: &[String], first_refusal: Option<Error>) -> Error {
    let not_found =
        || Error::new(ErrorKind::NotFound, "no instance knows of it");
    if missing.is_empty() {
        return first_refusal.unwrap_or_else(not_found);
    }
    Error::new(
        ErrorKind::ShardUnreachable,
        format!("no answer yet from {}", missing.join(", ")),
    )
}

/// Merges the rows of all parts, and applies what could not be applied before
/// the merge: aggregates, order and limit, and for summed topics also the
/// condition.
fn finish_rows(show: &Show, mut rows: Vec<Row>) -> Vec<Row> {
    if show.topic.fan_out() == FanOut::SummedShards {
        rows = filter_and_aggregate(show, sum_shard_rows(show, rows));
    }
    if let Some(aggregate) = &show.aggregate {
        rows = sum_groups(rows.into_iter(), aggregate.groups.len());
        if rows.is_empty() && aggregate.groups.is_empty() {
            // Without groups, the count or sum of no rows is 0.
            rows.push(vec![TableCell::Number(0); show.column_names().len()]);
        }
    }
    order_and_limit(show, &mut rows);
    rows
}

/// Merges the rows of several shards that have the same first cell.
///
/// Cells of the columns `running_…` and `waiting_…` are summed. The other
/// cells come from the configuration and are the same in each shard, so the
/// first is kept.
fn sum_shard_rows(show: &Show, rows: Vec<Row>) -> Vec<Row> {
    let is_summed = |name: &str| {
        name.starts_with("running_") || name.starts_with("waiting_")
    };
    let summed: Vec<bool> =
        show.topic.columns().map(|column| is_summed(column.name())).collect();
    let mut positions: HashMap<String, usize> = HashMap::new();
    let mut merged: Vec<Row> = Vec::new();
    for row in rows {
        let position =
            *positions.entry(row[0].to_string()).or_insert(merged.len());
        match merged.get_mut(position) {
            None => merged.push(row),
            Some(total) => add_row(total, &row, &summed),
        }
    }
    merged
}

/// Adds the cells of the summed columns of `row` to those of `total`.
fn add_row(total: &mut Row, row: &Row, summed: &[bool]) {
    let cells = total.iter_mut().zip(row).zip(summed);
    for ((cell, other), summed) in cells {
        if *summed {
            *cell = cell.plus(other);
        }
    }
}

/// Merges rows whose first `groups` cells are the same, by adding their other
/// cells. Groups stay in the order of their first rows.
pub(super) fn sum_groups(
    rows: impl Iterator<Item = Row>,
    groups: usize,
) -> Vec<Row> {
    let mut positions: HashMap<String, usize> = HashMap::new();
    let mut merged: Vec<Row> = Vec::new();
    for row in rows {
        let key = format!("{:?}", &row[..groups]);
        let position = *positions.entry(key).or_insert(merged.len());
        match merged.get_mut(position) {
            None => merged.push(row),
            Some(total) => {
                let cells = total.iter_mut().zip(row).skip(groups);
                cells.for_each(|(cell, other)| *cell = cell.plus(&other));
            }
        }
    }
    merged
}

/// Sorts the rows of an answer and truncates them to the limit.
///
/// Rows that are equal by the given order are sorted by all their cells, so
/// that the answer doesn't depend on the order in which parts arrive.
pub(super) fn order_and_limit(show: &Show, rows: &mut Vec<Row>) {
    let order: Vec<(usize, Direction)> = show
        .order
        .iter()
        .map(|order| (order_column_index(show, order.column), order.direction))
        .collect();
    rows.sort_by(|a, b| {
        let ordered = order.iter().map(|&(idx, direction)| {
            let ordering = a[idx].total_cmp(&b[idx]);
            match direction {
                Direction::Ascending => ordering,
                Direction::Descending => ordering.reverse(),
            }
        });
        let ties = a.iter().zip(b).map(|(a, b)| TableCell::total_cmp(a, b));
        ordered.chain(ties).find(|o| o.is_ne()).unwrap_or(Ordering::Equal)
    });
    if let Some(limit) = show.limit {
        rows.truncate(usize::try_from(limit).unwrap_or(usize::MAX));
    }
}
