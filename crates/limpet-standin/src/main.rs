//! Serves a stand-in for the platform or for a runner of a service until the
//! process is stopped.

mod command;

use bpaf::Parser;

fn main() -> eyre::Result<()> {
    command::command().to_options().run().run()
}
