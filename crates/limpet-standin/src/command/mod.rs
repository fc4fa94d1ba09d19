//! The subcommands and their flags.

mod platform;

use bpaf::Parser;

use self::platform::PlatformCommand;

/// What to stand in for.
#[derive(Clone, Debug)]
pub enum Command {
    /// The platform's services and workers.
    Platform(PlatformCommand),
}

/// Returns the parser of the command line.
pub fn command() -> impl Parser<Command> {
    platform::parser()
        .map(Command::Platform)
        .to_options()
        .descr("Serves the table, objects, list of members and workers")
        .command("platform")
}

impl Command {
    /// Runs until the process is told to end.
    pub fn run(self) -> eyre::Result<()> {
        match self {
            Command::Platform(command) => command.run(),
        }
    }
}
