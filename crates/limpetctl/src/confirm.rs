use std::io::{self, BufRead, IsTerminal, Write};

use limpet_core::command::{Change, Command, CommandAnswer};

use crate::{Client, Failure, Options};

/// Asks the operator before a change that hits more tasks than the options
/// allow without a question.
pub(crate) async fn confirm(
    client: &Client,
    options: &Options,
    change: &Change,
) -> Result<(), Failure> {
    if options.yes || change.dry_run || !change.action.may_affect_tasks() {
        return Ok(());
    }
    let dry_run = Change { dry_run: true, ..change.clone() };
    let text = Command::Change(dry_run).to_string();
    let answer = client.command(&text).await?;
    let tasks = answer.affected_tasks.unwrap_or(0);
    if tasks <= options.confirm_above_tasks {
        return Ok(());
    }
    if io::stdin().is_terminal() && ask(&answer, tasks)? {
        return Ok(());
    }
    Err(Failure::Usage(format!(
        "not done: it hits {tasks} tasks, more than {} needs --yes",
        options.confirm_above_tasks
    )))
}

fn ask(answer: &CommandAnswer, tasks: u64) -> io::Result<bool> {
    let mut err = io::stderr().lock();
    for line in &answer.lines {
        writeln!(err, "{line}")?;
    }
    write!(err, "This hits {tasks} tasks. Go on? [y/N] ")?;
    err.flush()?;
    let mut reply = String::new();
    io::stdin().lock().read_line(&mut reply)?;
    Ok(matches!(reply.trim(), "y" | "Y" | "yes"))
}
