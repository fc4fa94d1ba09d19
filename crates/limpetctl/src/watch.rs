use std::{
    io::{self, IsTerminal},
    time::Duration,
};

use crate::{Client, Failure, Options, output::Output};

/// Moves the terminal's cursor to the top left and clears what follows.
const CLEAR_SCREEN: &str = "\x1b[H\x1b[2J";

/// Asks the same again and again and shows the newest answer.
///
/// An instance that can't be reached for a while is said so and asked again,
/// because a watch is most useful while things fail.
pub(crate) async fn watch(
    client: &Client,
    output: &Output,
    options: &Options,
    command: &str,
) -> Result<(), Failure> {
    let mut left = options.times;
    while left != Some(0) {
        let answer = client.command(command).await;
        if io::stdout().is_terminal() {
            print!("{CLEAR_SCREEN}");
        }
        match answer {
            Ok(answer) => output.print(&answer)?,
            Err(failure @ Failure::Unreachable(_)) => eprintln!("{failure}"),
            Err(failure) => return Err(failure),
        }
        left = left.map(|times| times - 1);
        if left != Some(0) {
            let every = Duration::from_millis(options.every_ms);
            actix_rt::time::sleep(every).await;
        }
    }
    Ok(())
}
