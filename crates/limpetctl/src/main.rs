//! The operators' command-line client of the limpetspur cluster scheduler.

use std::process::ExitCode;

fn main() -> ExitCode {
    let options = limpetctl::options().run_or_exit();
    limpetctl::run(&options).into()
}
