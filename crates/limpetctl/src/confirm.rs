use std::io::{self, BufRead, IsTerminal, Write};

use limpet_core::command::{Change, Command, CommandAnswer};

use crate::{Client, Failure, Options};

/// Asks the operator to confirm a change that affects more tasks than
/// [`Options::confirm_above_tasks`].
///
/// The number of tasks comes from a dry run of the change, so a change that
/// may affect tasks costs one more request. Returns at once with
/// [`Options::yes`] and for a dry run.
///
/// # Errors
///
/// [`Failure::Usage`] if the operator declines, or if the standard input
/// isn't a terminal to ask on; any failure of the dry run.
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
    if io::stdin().is_terminal() && ask_operator(&answer, tasks)? {
        return Ok(());
    }
    Err(Failure::Usage(format!(
        "not executed: the change affects {tasks} tasks, and more than \
         {} need --yes",
        options.confirm_above_tasks
    )))
}

/// Prints the lines of the dry run's answer and asks whether to go on.
/// Anything but `y`, `Y` or `yes` declines.
fn ask_operator(answer: &CommandAnswer, tasks: u64) -> io::Result<bool> {
    let mut stderr = io::stderr().lock();
    for line in &answer.lines {
        writeln!(stderr, "{line}")?;
    }
    write!(stderr, "This change affects {tasks} tasks. Continue? [y/N] ")?;
    stderr.flush()?;
    let mut reply = String::new();
    io::stdin().lock().read_line(&mut reply)?;
    Ok(matches!(reply.trim(), "y" | "Y" | "yes"))
}
