use std::time::Duration;

use limpet_core::command::{
    Action, CommandAnswer, DrainTarget, JobSelector, TableCell,
};

use crate::{Client, Failure, Options};

/// Waits until everything that a change stops has stopped, and prints the
/// count of what is left to the standard error whenever it changes.
///
/// The count is that of running tasks for a cancelled job or a drained
/// worker, and that of owned shards for a drained instance. An answer that
/// lacks a part of the cell doesn't end the wait. Returns at once for any
/// other change.
///
/// # Errors
///
/// Any failure of the query that counts what is left.
pub(crate) async fn wait(
    client: &Client,
    options: &Options,
    action: &Action,
) -> Result<(), Failure> {
    let Some(query) = remaining_query(action) else { return Ok(()) };
    let mut last_printed = None;
    loop {
        let answer = client.command(&query).await?;
        let left = remaining_count(&answer);
        if last_printed != Some(left) {
            eprintln!("{}", describe(left, &answer));
        }
        if left == 0 && answer.missing.is_empty() {
            return Ok(());
        }
        last_printed = Some(left);
        let interval = Duration::from_millis(options.every_ms);
        actix_rt::time::sleep(interval).await;
    }
}

/// Returns the query that counts what the change has not stopped yet; `None`
/// for a change that has nothing to wait for.
fn remaining_query(action: &Action) -> Option<String> {
    match action {
        Action::Cancel(JobSelector::Id(job)) => {
            Some(format!("show jobs where job = {job} sum running"))
        }
        Action::Cancel(JobSelector::Where(condition)) => Some(format!(
            "show jobs where ({condition}) and running > 0 sum running"
        )),
        Action::Drain(DrainTarget::Worker(worker)) => {
            Some(format!("show workers where worker = \"{worker}\" sum tasks"))
        }
        Action::Drain(DrainTarget::Instance(instance)) => {
            Some(format!("show shards where owner = \"{instance}\" count"))
        }
        _ => None,
    }
}

/// Returns the sum of all numbers in the answer, so 0 for no rows.
fn remaining_count(answer: &CommandAnswer) -> i64 {
    let cells = answer.rows.iter().flatten();
    let numbers = cells.map(|cell| match cell {
        TableCell::Number(number) => *number,
        _ => 0,
    });
    numbers.sum()
}

/// Returns the line of progress, with the parts of the cell that are not in
/// the count.
fn describe(left: i64, answer: &CommandAnswer) -> String {
    if answer.missing.is_empty() {
        return format!("{left} left");
    }
    format!("{left} left; no answer from {}", answer.missing.join(", "))
}
