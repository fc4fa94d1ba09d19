use std::path::PathBuf;

use bpaf::{OptionParser, Parser, ShellComp, construct, long, positional};

/// The address of an instance on the same machine with the settings of
/// `examples/one-node.toml`.
const DEFAULT_ADDRESS: &str = "127.0.0.1:7070";
/// The number of affected tasks above which a change must be confirmed.
const DEFAULT_CONFIRM_ABOVE_TASKS: u64 = 100;
/// The time between two requests of `watch` and `--wait`, in milliseconds.
const DEFAULT_EVERY_MS: u64 = 2_000;
/// The longest that one request may take, in milliseconds.
const DEFAULT_TIMEOUT_MS: u64 = 10_000;

/// The words that a command can start with, for completion in the shell.
const FIRST_WORDS: &[&str] = &[
    "show", "why", "watch", "submit", "cancel", "hold", "release", "create",
    "grant", "withdraw", "set", "reshape", "drain", "dry",
];

/// The format in which answers are printed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OutputFormat {
    /// Aligned tables, for people.
    Table,
    /// One JSON object on each line, for programs.
    Json,
}

/// The options and the command of one command line.
#[derive(Clone, Debug)]
pub struct Options {
    /// The address of the instance to send commands to, as `IP:PORT`.
    pub address: String,
    /// The file with the API key, written `ID:SECRET`; `None` sends no key.
    pub key_file: Option<PathBuf>,
    /// The format in which answers are printed.
    pub output: OutputFormat,
    /// The width of tables, in characters; `None` for that of the terminal.
    pub width: Option<usize>,
    /// Whether changes are made without confirmation.
    pub yes: bool,
    /// The number of affected tasks above which a change must be confirmed.
    pub confirm_above_tasks: u64,
    /// Whether to report progress until the effects of a change are complete.
    pub wait: bool,
    /// The time between two requests of `watch` and `--wait`, in milliseconds;
    /// at least 100.
    pub every_ms: u64,
    /// The number of requests after which `watch` ends; `None` for no end.
    pub times: Option<u64>,
    /// The longest that one request may take, in milliseconds.
    pub timeout_ms: u64,
    /// A script, as [`statements`] reads it. It takes precedence over
    /// `command`.
    ///
    /// [`statements`]: crate::statements
    pub file: Option<PathBuf>,
    /// A configuration to check offline. It takes precedence over `file` and
    /// `command`.
    pub config_check: Option<ConfigCheck>,
    /// The words of one command. If there are none and no `file`, commands are
    /// read from the standard input, with a prompt if it is a terminal.
    pub command: Vec<String>,
}

/// The files of `config check`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ConfigCheck {
    /// The file with the configuration to check.
    pub file: PathBuf,
    /// The file with the version in force, which the configuration is compared
    /// with.
    pub against: Option<PathBuf>,
}

/// The arguments of a command line, without the name of the program.
pub type Arguments<'a> = bpaf::Args<'a>;

/// The parser of the command line.
pub struct CommandLine(OptionParser<Options>);

impl CommandLine {
    /// Parses the arguments of the process.
    ///
    /// Prints the help or version and exits with 0 if they ask for it, or
    /// prints the error and exits with 2 if they can't be parsed.
    pub fn run_or_exit(&self) -> Options {
        self.0.run_inner(Arguments::current_args()).unwrap_or_else(|failure| {
            failure.print_message(80);
            let is_usage_error = failure.exit_code() != 0;
            // bpaf's own exit code for a wrong command line is 1, which here
            // means that the cell refused a command.
            std::process::exit(if is_usage_error { 2 } else { 0 })
        })
    }

    /// Parses `arguments`.
    ///
    /// # Errors
    ///
    /// The help or version text if the arguments ask for it, or bpaf's message
    /// on what is wrong with them.
    pub fn parse(
        &self,
        arguments: Arguments<'_>,
    ) -> Result<Options, bpaf::ParseFailure> {
        self.0.run_inner(arguments)
    }
}

/// Returns the parser of the command line.
pub fn options() -> CommandLine {
    let parser = construct!(Options {
        address(),
        key_file(),
        output(),
        width(),
        yes(),
        confirm_above_tasks(),
        wait(),
        every_ms(),
        times(),
        timeout_ms(),
        file(),
        config_check(),
        command(),
    });
    let options = parser
        .to_options()
        .version(env!("CARGO_PKG_VERSION"))
        .descr("Queries and changes a limpetspur cell.")
        .footer(
            "Without COMMAND and --file, commands are read from the standard \
             input, with a prompt if it is a terminal. \
             Exit status: 0 done, 1 refused, 2 usage, 3 unreachable; of \
             config check: 0 clean, 1 warnings, 2 errors or unreadable. \
             docs/COMMANDS.md shows every command with its output.",
        );
    CommandLine(options)
}

fn address() -> impl Parser<String> {
    long("address")
        .env("LIMPET_ADDRESS")
        .help("Instance to send commands to, as IP:PORT")
        .argument("A")
        .fallback(DEFAULT_ADDRESS.to_owned())
        .display_fallback()
}

fn key_file() -> impl Parser<Option<PathBuf>> {
    long("key-file")
        .env("LIMPET_KEY_FILE")
        .help("File with the API key, written ID:SECRET")
        .argument::<PathBuf>("F")
        .complete_shell(ShellComp::File { mask: None })
        .optional()
}

fn output() -> impl Parser<OutputFormat> {
    long("output")
        .help(
            "table for people, or json for programs, one object on each line",
        )
        .argument::<String>("FORMAT")
        .parse(|word| match word.as_str() {
            "table" => Ok(OutputFormat::Table),
            "json" => Ok(OutputFormat::Json),
            _ => Err(format!(
                "`{word}` isn't an output format; use table or json"
            )),
        })
        .fallback(OutputFormat::Table)
}

fn width() -> impl Parser<Option<usize>> {
    long("width")
        .env("COLUMNS")
        .help("Width of tables in characters; by default that of the terminal")
        .argument("N")
        .optional()
}

fn yes() -> impl Parser<bool> {
    long("yes")
        .short('y')
        .help("Make changes without asking for confirmation")
        .switch()
}

fn confirm_above_tasks() -> impl Parser<u64> {
    long("confirm-above")
        .env("LIMPET_CONFIRM_ABOVE")
        .help("Ask before a change that affects more tasks than this")
        .argument("TASKS")
        .fallback(DEFAULT_CONFIRM_ABOVE_TASKS)
        .display_fallback()
}

fn wait() -> impl Parser<bool> {
    long("wait")
        .help("Report progress until the effects of a change are complete")
        .switch()
}

fn every_ms() -> impl Parser<u64> {
    long("every-ms")
        .help("Time between two requests of watch and --wait, in milliseconds")
        .argument("MS")
        .guard(|ms: &u64| *ms >= 100, "must be at least 100 ms")
        .fallback(DEFAULT_EVERY_MS)
        .display_fallback()
}

fn times() -> impl Parser<Option<u64>> {
    long("times")
        .help("Number of requests after which watch ends; no end by default")
        .argument("N")
        .optional()
}

fn timeout_ms() -> impl Parser<u64> {
    long("timeout-ms")
        .help("Longest time that one request may take, in milliseconds")
        .argument("MS")
        .fallback(DEFAULT_TIMEOUT_MS)
        .display_fallback()
}

fn file() -> impl Parser<Option<PathBuf>> {
    long("file")
        .help(
            "File with one command on each line; a line that starts with `#` \
             is a comment",
        )
        .argument::<PathBuf>("F")
        .complete_shell(ShellComp::File { mask: None })
        .optional()
}

fn config_check() -> impl Parser<Option<ConfigCheck>> {
    let against = long("against")
        .help("Version in force; shows what differs from it")
        .argument::<PathBuf>("FILE")
        .complete_shell(ShellComp::File { mask: None })
        .optional();
    let file = positional::<PathBuf>("FILE")
        .help("Configuration of the platform, in JSON")
        .complete_shell(ShellComp::File { mask: None });
    // The options of the whole command line may follow on an adjacent command.
    let check = construct!(ConfigCheck { against, file })
        .to_options()
        .descr("Checks a configuration offline, without an instance.")
        .footer("Exit status: 0 clean, 1 warnings, 2 errors or unreadable.")
        .command("check")
        .help("Check a configuration of the platform offline")
        .adjacent();
    check
        .to_options()
        .descr("Works on configurations of the platform, offline.")
        .command("config")
        .help("Check a configuration of the platform offline")
        .adjacent()
        .optional()
}

fn command() -> impl Parser<Vec<String>> {
    positional::<String>("COMMAND")
        .help("Command to run, for example: show jobs where state = waiting")
        .complete(|word| {
            let matches = |first: &&&str| first.starts_with(word.as_str());
            let words = FIRST_WORDS.iter().filter(matches);
            words.map(|first| (*first, None::<&str>)).collect()
        })
        .many()
}
