use std::{cmp::Ordering, collections::HashMap};

use super::{
    Command, CommandAnswer, Direction, FanOut, Show, Subject, TableCell,
    Topic,
    evaluate::{narrow, order_index},
    explain::explain_team,
    rows::Row,
};
use crate::{Error, ErrorKind, Result, TeamName};

/// What came back from one instance that was asked for its part.
#[derive(Clone, Debug, PartialEq)]
pub enum Part {
    /// Its part of the answer.
    Answered(CommandAnswer),
    /// It answered that it doesn't know the thing.
    Refused(Error),
    /// It could not be reached; the text names what is missing, as in
    /// `shard 2 (owner mand-1)`.
    Missing(String),
}

/// Merges the parts of an answer into the whole one.
///
/// Counts, sums, order and limit are those of the whole cell. What could not
/// be reached is named in `missing`.
///
/// # Errors
///
/// The first refusal, where nobody knows the subject of a `why` and nothing
/// is missing; [`ErrorKind::ShardUnreachable`] where something is missing
/// that might know it.
pub fn merge_parts(
    command: &Command,
    parts: Vec<Part>,
) -> Result<CommandAnswer> {
    let mut merged = CommandAnswer::default();
    let mut refused = None;
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
            Part::Refused(err) => refused = refused.or(Some(err)),
            Part::Missing(what) => merged.missing.push(what),
        }
    }
    match command {
        Command::Show(show) => {
            // A part that was refused lacks in the table as one that could
            // not be reached does.
            merged.missing.extend(refused.map(|err| err.to_string()));
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
            // Whoever knows the thing has answered, so nothing is missing.
            merged.missing.clear();
            Ok(merged)
        }
        _ => Err(unanswered(&merged.missing, refused)),
    }
}

fn finish_team(team: &TeamName, merged: CommandAnswer) -> CommandAnswer {
    let all = Show::all(Topic::Teams);
    let mut rows = finish_rows(&all, merged.rows);
    rows.retain(
        |row| matches!(&row[0], TableCell::Text(name) if name == team.as_str()),
    );
    let answer = CommandAnswer { rows, ..CommandAnswer::default() };
    CommandAnswer {
        lines: explain_team(team, &answer),
        missing: merged.missing,
        ..CommandAnswer::default()
    }
}

fn unanswered(missing: &[String], refused: Option<Error>) -> Error {
    let not_found = || Error::new(ErrorKind::NotFound, "nobody knows of this");
    if missing.is_empty() {
        return refused.unwrap_or_else(not_found);
    }
    Error::new(
        ErrorKind::ShardUnreachable,
        format!("no answer yet from {}", missing.join(", ")),
    )
}

fn finish_rows(show: &Show, mut rows: Vec<Row>) -> Vec<Row> {
    if show.topic.fan_out() == FanOut::SummedShards {
        rows = narrow(show, sum_topic(show, rows));
    }
    if let Some(aggregate) = &show.aggregate {
        rows = sum_groups(rows.into_iter(), aggregate.groups.len());
        if rows.is_empty() && aggregate.groups.is_empty() {
            // The count and the sum of nothing are 0, not unknown.
            rows.push(vec![TableCell::Number(0); show.column_names().len()]);
        }
    }
    order_and_limit(show, &mut rows);
    rows
}

/// Sums the rows of one thing that come from several shards. What the
/// configuration decides is the same in each of them and is kept.
fn sum_topic(show: &Show, rows: Vec<Row>) -> Vec<Row> {
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
            Some(known) => add_row(known, &row, &summed),
        }
    }
    merged
}

fn add_row(known: &mut Row, row: &Row, summed: &[bool]) {
    let cells = known.iter_mut().zip(row).zip(summed);
    for ((cell, other), summed) in cells {
        if *summed {
            *cell = cell.plus(other);
        }
    }
}

/// Adds up rows whose first `groups` cells are the same, in the order in
/// which each group is first seen.
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
            Some(known) => {
                let cells = known.iter_mut().zip(row).skip(groups);
                cells.for_each(|(cell, other)| *cell = cell.plus(&other));
            }
        }
    }
    merged
}

/// Sorts rows of the answer and keeps as many as are asked for.
///
/// Rows that the order doesn't tell apart stay in their first column's
/// order, so that the answer doesn't depend on who was asked first.
pub(super) fn order_and_limit(show: &Show, rows: &mut Vec<Row>) {
    let order: Vec<(usize, Direction)> = show
        .order
        .iter()
        .map(|order| (order_index(show, order.column), order.direction))
        .collect();
    rows.sort_by(|a, b| {
        let ordered = order.iter().map(|&(index, direction)| {
            let ordering = a[index].total_cmp(&b[index]);
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
