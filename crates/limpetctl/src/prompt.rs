use std::{env, path::PathBuf};

use rustyline::{DefaultEditor, error::ReadlineError};

use crate::{ExitStatus, Failure, session::Session};

/// The file of the history below the home directory.
const HISTORY_FILE: &str = ".limpetctl_history";
/// The most commands that the history keeps.
const HISTORY_LIMIT: usize = 1_000;
const PROMPT: &str = "limpet> ";

/// Reads commands from the terminal until its end, or `exit`.
pub(crate) async fn prompt(
    session: &Session<'_>,
) -> Result<ExitStatus, Failure> {
    let mut editor = open_editor().map_err(to_failure)?;
    let history = history_path();
    if let Some(path) = &history {
        // A first run has no history yet.
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
        eprintln!("history not kept in {}: {err}", path.display());
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
    Failure::Usage(format!("the prompt can't be shown: {err}"))
}
