use std::{fs, io};

use limpet_core::command::{
    Action, Change, Command, CommandAnswer, TableCell,
};

use crate::{
    Client, Failure, Options, confirm::confirm, output::Output, point_at,
    progress, watch,
};

/// The first word of a command that is asked again and again.
const WATCH: &str = "watch ";

/// Carries out commands one after the other.
pub(crate) struct Session<'a> {
    options: &'a Options,
    client: Client,
    output: Output,
}

impl<'a> Session<'a> {
    /// Returns a session under these options.
    ///
    /// # Errors
    ///
    /// [`Failure::Usage`] where the key file can't be read.
    pub(crate) fn new(options: &'a Options) -> Result<Session<'a>, Failure> {
        let key = match &options.key_file {
            None => None,
            Some(path) => Some(fs::read_to_string(path).map_err(|err| {
                Failure::Usage(format!("{}: {err}", path.display()))
            })?),
        };
        let client =
            Client::new(&options.address, key.as_deref(), options.timeout_ms);
        Ok(Session { options, client, output: Output::new(options) })
    }

    /// Carries out one command and prints its answer.
    pub(crate) async fn execute(&self, text: &str) -> Result<(), Failure> {
        let text = text.trim();
        if let Some(watched) = text.strip_prefix(WATCH) {
            parse(watched)?;
            return watch::watch(
                &self.client,
                &self.output,
                self.options,
                watched,
            )
            .await;
        }
        let command = parse(text)?;
        let answer = self.answer(&command, text).await?;
        self.output.print(&answer)?;
        match command.as_change() {
            Some(change) if self.options.wait && !change.dry_run => {
                progress::wait(&self.client, self.options, &change.action)
                    .await
            }
            _ => Ok(()),
        }
    }

    async fn answer(
        &self,
        command: &Command,
        text: &str,
    ) -> Result<CommandAnswer, Failure> {
        let Some(change) = command.as_change() else {
            return self.client.command(text).await;
        };
        if let Action::Submit { file } = &change.action {
            return self.submit(file, change).await;
        }
        confirm(&self.client, self.options, change).await?;
        self.client.command(text).await
    }

    async fn submit(
        &self,
        file: &str,
        change: &Change,
    ) -> Result<CommandAnswer, Failure> {
        let job = read_job(file)
            .map_err(|err| Failure::Usage(format!("{file}: {err}")))?;
        if change.dry_run {
            return self.client.check_job(job, change.if_revision).await;
        }
        let accepted = self.client.submit(job, change.if_revision).await?;
        Ok(CommandAnswer {
            columns: vec!["job".to_owned(), "shard".to_owned()],
            rows: vec![vec![
                TableCell::number(accepted.job.get()),
                TableCell::number(accepted.shard.get()),
            ]],
            ..CommandAnswer::default()
        })
    }
}

/// Reads a job file, or the standard input for `-`.
fn read_job(file: &str) -> io::Result<String> {
    match file {
        "-" => io::read_to_string(io::stdin()),
        path => fs::read_to_string(path),
    }
}

fn parse(text: &str) -> Result<Command, Failure> {
    text.parse().map_err(|err| Failure::Usage(point_at(text, &err)))
}
