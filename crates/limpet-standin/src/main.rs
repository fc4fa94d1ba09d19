//! Small stand-ins for the platform under limpetspur, with fault switches.

mod command;

use bpaf::Parser;

fn main() -> eyre::Result<()> {
    command::command().to_options().run().run()
}
