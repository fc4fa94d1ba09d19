use std::{fs, io};

use limpet_core::command::{
    Action, Change, Command, CommandAnswer, TableCell,
};

use crate::{
    Client, Failure, Options, confirm::confirm, format_syntax_error,
    output::Output, progress, watch,
};

/// The prefix of a command that is to be repeated. The instance gets only the
/// command behind it.
const WATCH_PREFIX: &str = "watch ";

/// Runs commands one after the other, with one client and one output.
pub(crate) struct Session<'a> {
    options: &'a Options,
    client: Client,
    output: Output,
}

impl<'a> Session<'a> {
    /// Returns a session with the address, key and output of `options`.
    ///
    /// Reads the key file but makes no request.
    ///
    /// # Errors
    ///
    /// [`Failure::Usage`] if the key file can't be read.
    pub(crate) fn new(options: &'a Options) -> Result<Session<'a>, Failure> {
        let key = match &options.key_file {
            None => None,
            Some(path) => Some(fs::read_to_string(path).map_err(|err| {
                Failure::Usage(format!(
                    "cannot read key file {}: {err}",
                    path.display()
                ))
            })?),
        };
        let client =
            Client::new(&options.address, key.as_deref(), options.timeout_ms);
        Ok(Session { options, client, output: Output::new(options) })
    }

    /// Runs one command and prints its answer.
    ///
    /// The prefix `watch` repeats the command behind it and prints each
    /// answer. With [`Options::wait`], the call returns only once the effects
    /// of a change are complete.
    ///
    /// # Errors
    ///
    /// [`Failure::Usage`] for a syntax error, before any request, and any
    /// failure of the requests or of the output.
    pub(crate) async fn execute(&self, text: &str) -> Result<(), Failure> {
        let text = text.trim();
        if let Some(repeated) = text.strip_prefix(WATCH_PREFIX) {
            parse(repeated)?;
            return watch::watch(
                &self.client,
                &self.output,
                self.options,
                repeated,
            )
            .await;
        }
        let command = parse(text)?;
        let answer = self.request_answer(&command, text).await?;
        self.output.print(&answer)?;
        match command.as_change() {
            Some(change) if self.options.wait && !change.dry_run => {
                progress::wait(&self.client, self.options, &change.action)
                    .await
            }
            _ => Ok(()),
        }
    }

    /// Sends a command and returns its answer. A change that needs the
    /// operator's confirmation is sent only after that.
    async fn request_answer(
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

    /// Submits a job file, or only checks it in a dry run. The answer of a
    /// submission has the job and its shard as its only row.
    async fn submit(
        &self,
        file: &str,
        change: &Change,
    ) -> Result<CommandAnswer, Failure> {
        let job = read_job(file).map_err(|err| {
            Failure::Usage(format!("cannot read job file {file}: {err}"))
        })?;
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

/// Returns the text of a job file, or of the standard input for `-`.
fn read_job(file: &str) -> io::Result<String> {
    match file {
        "-" => io::read_to_string(io::stdin()),
        path => fs::read_to_string(path),
    }
}

fn parse(text: &str) -> Result<Command, Failure> {
    text.parse().map_err(|err| Failure::Usage(format_syntax_error(text, &err)))
}
