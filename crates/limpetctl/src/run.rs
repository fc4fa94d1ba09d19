use std::{
    fs,
    io::{self, IsTerminal},
};

use crate::{
    ExitStatus, Failure, Options, config_check::check_config_file,
    prompt::prompt, script::statements, session::Session,
};

/// Runs the command, the script or the prompt that the command line asks for,
/// and returns the exit status.
///
/// Answers go to the standard output; failures and progress go to the
/// standard error. Starts an actix system, so it can't be called from within
/// one.
pub fn run(options: &Options) -> ExitStatus {
    let result = match &options.config_check {
        Some(check) => check_config_file(check, options),
        None => actix_rt::System::new().block_on(run_async(options)),
    };
    result.unwrap_or_else(|failure| {
        eprintln!("{failure}");
        failure.exit_status()
    })
}

async fn run_async(options: &Options) -> Result<ExitStatus, Failure> {
    let session = Session::new(options)?;
    if let Some(path) = &options.file {
        let script = fs::read_to_string(path).map_err(|err| {
            Failure::Usage(format!(
                "cannot read script {}: {err}",
                path.display()
            ))
        })?;
        return run_script(&session, &script).await;
    }
    if !options.command.is_empty() {
        session.execute(&join_words(&options.command)).await?;
        return Ok(ExitStatus::Done);
    }
    if io::stdin().is_terminal() {
        return prompt(&session).await;
    }
    run_script(&session, &io::read_to_string(io::stdin())?).await
}

/// Runs the commands of a script in order and stops at the first that fails,
/// because later commands may depend on it. Its line number and text are
/// printed to the standard error.
async fn run_script(
    session: &Session<'_>,
    script: &str,
) -> Result<ExitStatus, Failure> {
    for (line, statement) in statements(script) {
        if let Err(failure) = session.execute(&statement).await {
            eprintln!("line {line}: {statement}");
            return Err(failure);
        }
    }
    Ok(ExitStatus::Done)
}

/// Joins the words of the command line into one command.
///
/// The shell removes quotes, so a word that contains a space is quoted again.
/// A single word is taken as a whole command and stays as it is.
fn join_words(words: &[String]) -> String {
    if let [command] = words {
        return command.clone();
    }
    let quoted = words.iter().map(|word| match word.contains(' ') {
        true => format!("{word:?}"),
        false => word.clone(),
    });
    quoted.collect::<Vec<_>>().join(" ")
}
