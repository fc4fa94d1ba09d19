use std::{
    fs,
    io::{self, IsTerminal},
};

use crate::{
    ExitStatus, Failure, Options, prompt::prompt, script::statements,
    session::Session,
};

/// Does what the command line says and returns how it ended.
pub fn run(options: &Options) -> ExitStatus {
    let result = actix_rt::System::new().block_on(run_async(options));
    result.unwrap_or_else(|failure| {
        eprintln!("{failure}");
        failure.exit_status()
    })
}

async fn run_async(options: &Options) -> Result<ExitStatus, Failure> {
    let session = Session::new(options)?;
    if let Some(path) = &options.file {
        let script = fs::read_to_string(path).map_err(|err| {
            Failure::Usage(format!("{}: {err}", path.display()))
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

/// Carries out the commands of a script up to the first that fails, so that
/// no later one builds on what didn't happen.
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

/// Joins the words of the command line to one command.
///
/// The shell has taken away the quotes, so a word with blanks in it gets
/// them back, unless it is the whole command.
fn join_words(words: &[String]) -> String {
    if let [whole] = words {
        return whole.clone();
    }
    let quoted = words.iter().map(|word| match word.contains(' ') {
        true => format!("{word:?}"),
        false => word.clone(),
    });
    quoted.collect::<Vec<_>>().join(" ")
}
