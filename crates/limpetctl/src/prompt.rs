use std::{env, path::PathBuf};

use rustyline::{DefaultEditor, error::ReadlineError};

use crate::{ExitStatus, Failure, session::Session};

/// The file with the command history, in the home directory.
const HISTORY_FILE: &str = ".limpetctl_history";
/// The maximum number of commands in the history.
const HISTORY_LIMIT: usize = 1_000;
const PROMPT: &str = "limpet> ";

/// Reads commands from the terminal and runs them until `exit`, `quit` or the
/// end of the input.
///
/// A command that fails is reported and doesn't end the prompt. Ctrl-C
/// discards the current line.
///
/// # Errors
///
/// [`Failure::Usage`] if the terminal can't be set up or read.
pub(crate) async fn prompt(
    session: &Session<'_>,
) -> Result<ExitStatus, Failure> {
    let mut editor = open_editor().map_err(to_failure)?;
    let history = history_path();
    if let Some(path) = &history {
        // There is no history file before the first run.
        let _ = editor.load_history(path);
    }
    loop {
        match editor.readline(PROMPT) {
            Ok(line) if matches!(line.trim(), "exit" | "quit") => break,
            Ok(line) if line.trim().is_empty() => {}
            Ok(line) => {
                let _ = editor.add_history_entry(line.trim());
                if let Err(failure) = session.execute(&line).await {
                    eprintln!("{failure}");
                }
            }
            Err(ReadlineError::Interrupted) => {}
            Err(ReadlineError::Eof) => break,
            Err(err) => return Err(to_failure(err)),
        }
    }
    if let Some(path) = &history
        && let Err(err) = editor.save_history(path)
    {
        eprintln!(
            "cannot save the command history to {}: {err}",
            path.display()
        );
    }
    Ok(ExitStatus::Done)
}

fn open_editor() -> rustyline::Result<DefaultEditor> {
    let config = rustyline::Config::builder()
        .max_history_size(HISTORY_LIMIT)?
        .history_ignore_dups(true)?
        .build();
    DefaultEditor::with_config(config)
}

fn history_path() -> Option<PathBuf> {
    let home = env::var_os("HOME")?;
    Some(PathBuf::from(home).join(HISTORY_FILE))
}

fn to_failure(err: ReadlineError) -> Failure {
    Failure::Usage(format!("cannot read from the terminal: {err}"))
}
