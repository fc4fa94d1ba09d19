//! The subcommands and their flags.

mod platform;
mod runner;

use bpaf::{Parser, construct};

use self::{platform::PlatformCommand, runner::RunnerCommand};

/// The stand-in to serve.
#[derive(Clone, Debug)]
pub enum Command {
    /// The platform's services and workers.
    Platform(PlatformCommand),
    /// A runner of a service.
    Runner(RunnerCommand),
}

/// Returns the parser of the command line.
pub fn command() -> impl Parser<Command> {
    let platform = platform::parser()
        .map(Command::Platform)
        .to_options()
        .descr("Serves the table, objects, directory and workers")
        .command("platform");
    let runner = runner::parser()
        .map(Command::Runner)
        .to_options()
        .descr("Serves requests as a runner of a service")
        .command("runner");
    construct!([platform, runner])
}

impl Command {
    /// Serves until the process is stopped.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be listened at or the server fails.
    pub fn run(self) -> eyre::Result<()> {
        match self {
            Command::Platform(command) => command.run(),
            Command::Runner(command) => command.run(),
        }
    }
}
