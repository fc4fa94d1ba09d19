use std::time::Duration;

use limpet_core::command::{
    Action, CommandAnswer, DrainTarget, JobSelector, TableCell,
};

use crate::{Client, Failure, Options};

/// Stays until nothing of what a change stops is left, and tells what is.
pub(crate) async fn wait(
    client: &Client,
    options: &Options,
    action: &Action,
) -> Result<(), Failure> {
    let Some(question) = remaining_question(action) else { return Ok(()) };
    let mut last = None;
    loop {
        let answer = client.command(&question).await?;
        let left = remaining(&answer);
        if last != Some(left) {
            eprintln!("{}", describe(left, &answer));
        }
        if left == 0 && answer.missing.is_empty() {
            return Ok(());
        }
        last = Some(left);
        let every = Duration::from_millis(options.every_ms);
        actix_rt::time::sleep(every).await;
    }
}

/// Returns the command that tells how much is left to be stopped.
fn remaining_question(action: &Action) -> Option<String> {
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

fn remaining(answer: &CommandAnswer) -> i64 {
    let cells = answer.rows.iter().flatten();
    let numbers = cells.map(|cell| match cell {
        TableCell::Number(number) => *number,
        _ => 0,
    });
    numbers.sum()
}

fn describe(left: i64, answer: &CommandAnswer) -> String {
    if answer.missing.is_empty() {
        return format!("{left} left");
    }
    format!("{left} left, unknown for {}", answer.missing.join(", "))
}
