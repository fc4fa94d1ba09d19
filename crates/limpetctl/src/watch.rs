use std::{
    io::{self, IsTerminal},
    time::Duration,
};

use crate::{Client, Failure, Options, output::Output};

/// The escape sequences that move the cursor to the top left of the terminal
/// and clear the screen below it.
const CLEAR_SCREEN: &str = "\x1b[H\x1b[2J";

/// Repeats a command at the interval [`Options::every_ms`] and prints each
/// answer, on a cleared screen if the standard output is a terminal. Ends
/// after [`Options::times`] requests, if there is such a limit.
///
/// While the instance is unreachable, the failure is printed and the command
/// is repeated, because a watch is needed most during a failure.
///
/// # Errors
///
/// Any other failure of the command, and errors of the output.
pub(crate) async fn watch(
    client: &Client,
    output: &Output,
    options: &Options,
    command: &str,
) -> Result<(), Failure> {
    let mut requests_left = options.times;
    while requests_left != Some(0) {
        let answer = client.command(command).await;
        if io::stdout().is_terminal() {
            print!("{CLEAR_SCREEN}");
        }
        match answer {
            Ok(answer) => output.print(&answer)?,
            Err(failure @ Failure::Unreachable(_)) => eprintln!("{failure}"),
            Err(failure) => return Err(failure),
        }
        requests_left = requests_left.map(|left| left - 1);
        if requests_left != Some(0) {
            let interval = Duration::from_millis(options.every_ms);
            actix_rt::time::sleep(interval).await;
        }
    }
    Ok(())
}
