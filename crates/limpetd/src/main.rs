//! The limpetspur daemon: one for each entry instance.

use std::path::PathBuf;

use bpaf::Bpaf;
use eyre::{Result, eyre};
use limpetd::{Settings, abort_on_panic_here, build_logger, run_daemon};

/// Serves callers and operators as one entry instance of a cell.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version)]
struct Arguments {
    /// Read the settings from this TOML file
    #[bpaf(long("settings"), argument("FILE"), complete_shell(bpaf::ShellComp::File { mask: Some("*.toml") }))]
    settings: PathBuf,
    /// Only check the settings
    check: bool,
    /// Print the effective settings, defaults included
    print_settings: bool,
}

fn main() -> Result<()> {
    let arguments = arguments().run();
    let settings = Settings::from_file(&arguments.settings)
        .map_err(|err| eyre!("{}", err.message()))?;
    if arguments.print_settings {
        print!("{}", settings.to_toml());
    }
    if arguments.check || arguments.print_settings {
        return Ok(());
    }
    let (log, guard) = build_logger(&settings.log);
    abort_on_panic_here();
    let result = actix_rt::System::new().block_on(run_daemon(settings, log));
    // Writes the lines that still wait.
    drop(guard);
    result.map_err(|err| eyre!("{err}"))
}
