//! The command line of the limpetspur daemon.

use std::path::{Path, PathBuf};

use bpaf::Bpaf;
use eyre::{Result, eyre};
use limpet_entry::{EntrySettings, SETTINGS_VARIABLE, run_entry};
use limpetd::{
    Settings, abort_on_panic_in_this_thread, build_json_lines_logger,
    build_logger, run_daemon,
};

/// Serves callers and operators as one entry instance of a cell.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version)]
enum Arguments {
    /// Serve as an entry instance on the users' platform
    #[bpaf(command)]
    Entry {
        /// Read the settings from this TOML file instead of the one that
        /// LIMPETSPUR_CONFIG names
        #[bpaf(long("settings"), argument("FILE"))]
        settings: Option<PathBuf>,
        /// Only check the settings
        check: bool,
    },
    // Parsed without a subcommand: serve as an entry instance of a cell.
    Cell {
        /// Read the settings from this TOML file
        #[bpaf(long("settings"), argument("FILE"), complete_shell(bpaf::ShellComp::File { mask: Some("*.toml") }))]
        settings: PathBuf,
        /// Only check the settings
        check: bool,
        /// Print the effective settings, defaults included
        print_settings: bool,
    },
}

fn main() -> Result<()> {
    match arguments().run() {
        Arguments::Entry { settings, check } => run_as_entry(settings, check),
        Arguments::Cell { settings, check, print_settings } => {
            run_as_cell(&settings, check, print_settings)
        }
    }
}

/// Runs an entry instance on the users' platform.
fn run_as_entry(path: Option<PathBuf>, check: bool) -> Result<()> {
    let path = path
        .or_else(|| std::env::var_os(SETTINGS_VARIABLE).map(PathBuf::from))
        .ok_or_else(|| eyre!("{SETTINGS_VARIABLE} names no settings file"))?;
    let settings = EntrySettings::from_file(&path)
        .map_err(|err| eyre!("{}", err.message()))?;
    if check {
        return Ok(());
    }
    let (log, guard) = build_json_lines_logger(&settings.log);
    abort_on_panic_in_this_thread();
    let run = run_entry(settings, path, log);
    let result = actix_rt::System::new().block_on(run);
    // Writes the log lines that are still queued.
    drop(guard);
    result.map_err(|err| eyre!("{err}"))
}

/// Runs an entry instance of a cell.
fn run_as_cell(path: &Path, check: bool, print_settings: bool) -> Result<()> {
    let settings =
        Settings::from_file(path).map_err(|err| eyre!("{}", err.message()))?;
    if print_settings {
        print!("{}", settings.to_toml());
    }
    if check || print_settings {
        return Ok(());
    }
    let (log, guard) = build_logger(&settings.log);
    abort_on_panic_in_this_thread();
    let result = actix_rt::System::new().block_on(run_daemon(settings, log));
    // Writes the log lines that are still queued.
    drop(guard);
    result.map_err(|err| eyre!("{err}"))
}
