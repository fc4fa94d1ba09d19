//! The operators' command-line client of the limpetspur cluster scheduler.
//!
//! Each command is parsed locally first, so that a syntax error is reported
//! without a request. It is then sent to one instance, which answers for the
//! whole cell. `docs/COMMANDS.md` shows every command with its output.
//!
//! `config check` checks a configuration of the platform without an instance.
//!
//! The exit status is that of [`ExitStatus`]: 0 done, 1 refused, 2 usage,
//! 3 unreachable.

mod client;
mod config_check;
mod confirm;
mod exit_status;
mod failure;
mod json;
mod options;
mod output;
mod progress;
mod prompt;
mod run;
mod script;
mod session;
mod syntax;
mod table;
mod watch;

pub use crate::{
    client::Client,
    exit_status::ExitStatus,
    failure::Failure,
    json::write_json,
    options::{Arguments, ConfigCheck, Options, OutputFormat, options},
    run::run,
    script::statements,
    syntax::format_syntax_error,
    table::{TableOptions, write_table},
};
