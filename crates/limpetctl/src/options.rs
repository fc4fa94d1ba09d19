use std::path::PathBuf;

use bpaf::{OptionParser, Parser, ShellComp, construct, long, positional};

/// The address of an instance on the same machine with the settings of
/// `examples/one-node.toml`.
const DEFAULT_ADDRESS: &str = "127.0.0.1:7070";
/// The number of tasks above which a change asks first.
const DEFAULT_CONFIRM_ABOVE_TASKS: u64 = 100;
/// How often `watch` asks again, in milliseconds.
const DEFAULT_EVERY_MS: u64 = 2_000;
/// How long one request may take, in milliseconds.
const DEFAULT_TIMEOUT_MS: u64 = 10_000;

/// The first words of the commands, for the shell's completion.
const FIRST_WORDS: &[&str] = &[
    "show", "why", "watch", "submit", "cancel", "hold", "release", "create",
    "grant", "withdraw", "set", "reshape", "drain", "dry",
];

/// How answers are written.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OutputFormat {
    /// An aligned table for people.
    Table,
    /// One JSON object a line for programs.
    Json,
}

/// What the command line says.
#[derive(Clone, Debug)]
pub struct Options {
    /// The address of the instance to ask, as `IP:PORT`.
    pub address: String,
    /// The file that holds the key, written `ID:SECRET`.
    pub key_file: Option<PathBuf>,
    /// How answers are written.
    pub output: OutputFormat,
    /// The width of tables, in characters; `None` for the terminal's.
    pub width: Option<usize>,
    /// Whether nothing is asked before a change.
    pub yes: bool,
    /// The number of tasks above which a change asks first.
    pub confirm_above_tasks: u64,
    /// Whether to stay until the effects of a change are complete.
    pub wait: bool,
    /// How often `watch` and `--wait` ask again, in milliseconds.
    pub every_ms: u64,
    /// How often `watch` asks in all; `None` without end.
    pub times: Option<u64>,
    /// How long one request may take, in milliseconds.
    pub timeout_ms: u64,
    /// A file with commands.
    pub file: Option<PathBuf>,
    /// The words of one command.
    pub command: Vec<String>,
}

/// The words of a command line.
pub type Arguments<'a> = bpaf::Args<'a>;

/// The parser of the command line.
pub struct CommandLine(OptionParser<Options>);

impl CommandLine {
    /// Parses the words of the process, or prints help or what is wrong and
    /// exits with 0 or 2.
    pub fn run_or_exit(&self) -> Options {
        self.0.run_inner(Arguments::current_args()).unwrap_or_else(|failure| {
            failure.print_message(80);
            let usage = failure.exit_code() != 0;
            // bpaf's own code for a wrong command line is 1, which here
            // means that the cell refused.
            std::process::exit(if usage { 2 } else { 0 })
        })
    }

    /// Parses these words.
    ///
    /// # Errors
    ///
    /// The help that was asked for, or what is wrong, as bpaf words it.
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
        command(),
    });
    let options = parser
        .to_options()
        .version(env!("CARGO_PKG_VERSION"))
        .descr("Asks and changes a limpetspur cell.")
        .footer(
            "Without COMMAND and --file, commands are read from a prompt. \
             Exit status: 0 done, 1 refused, 2 usage, 3 not reachable. \
             docs/COMMANDS.md shows every command with its output.",
        );
    CommandLine(options)
}

fn address() -> impl Parser<String> {
    long("address")
        .env("LIMPET_ADDRESS")
        .help("Instance to ask, as IP:PORT")
        .argument("A")
        .fallback(DEFAULT_ADDRESS.to_owned())
        .display_fallback()
}

fn key_file() -> impl Parser<Option<PathBuf>> {
    long("key-file")
        .env("LIMPET_KEY_FILE")
        .help("File that holds the key, written ID:SECRET")
        .argument::<PathBuf>("F")
        .complete_shell(ShellComp::File { mask: None })
        .optional()
}

fn output() -> impl Parser<OutputFormat> {
    long("output")
        .help("table for people or json, one object a line, for programs")
        .argument::<String>("FORMAT")
        .parse(|word| match word.as_str() {
            "table" => Ok(OutputFormat::Table),
            "json" => Ok(OutputFormat::Json),
            _ => Err(format!("`{word}` is neither table nor json")),
        })
        .fallback(OutputFormat::Table)
}

fn width() -> impl Parser<Option<usize>> {
    long("width")
        .env("COLUMNS")
        .help("Width of tables in characters, the terminal's by default")
        .argument("N")
        .optional()
}

fn yes() -> impl Parser<bool> {
    long("yes").short('y').help("Change without asking first").switch()
}

fn confirm_above_tasks() -> impl Parser<u64> {
    long("confirm-above")
        .env("LIMPET_CONFIRM_ABOVE")
        .help("Ask before a change that hits more tasks than this")
        .argument("TASKS")
        .fallback(DEFAULT_CONFIRM_ABOVE_TASKS)
        .display_fallback()
}

fn wait() -> impl Parser<bool> {
    long("wait")
        .help("Show progress until the effects of a change are complete")
        .switch()
}

fn every_ms() -> impl Parser<u64> {
    long("every-ms")
        .help("How often watch and --wait ask again, in milliseconds")
        .argument("MS")
        .guard(|ms: &u64| *ms >= 100, "100 or more is allowed")
        .fallback(DEFAULT_EVERY_MS)
        .display_fallback()
}

fn times() -> impl Parser<Option<u64>> {
    long("times")
        .help("How often watch asks in all, without end by default")
        .argument("N")
        .optional()
}

fn timeout_ms() -> impl Parser<u64> {
    long("timeout-ms")
        .help("How long one request may take, in milliseconds")
        .argument("MS")
        .fallback(DEFAULT_TIMEOUT_MS)
        .display_fallback()
}

fn file() -> impl Parser<Option<PathBuf>> {
    long("file")
        .help("File with one command a line; `#` starts a remark")
        .argument::<PathBuf>("F")
        .complete_shell(ShellComp::File { mask: None })
        .optional()
}

fn command() -> impl Parser<Vec<String>> {
    positional::<String>("COMMAND")
        .help("A command, as in: show jobs where state = waiting")
        .complete(|word| {
            let fits = |first: &&&str| first.starts_with(word.as_str());
            let words = FIRST_WORDS.iter().filter(fits);
            words.map(|first| (*first, None::<&str>)).collect()
        })
        .many()
}
