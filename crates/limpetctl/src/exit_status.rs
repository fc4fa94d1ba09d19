use std::process::ExitCode;

/// How a run of `limpetctl` ended, as its exit status tells the shell.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum ExitStatus {
    /// Every command succeeded.
    Done,
    /// The cell refused the command.
    Refused,
    /// The command line or a command has an error, a file can't be read, the
    /// output can't be written, or a change was not confirmed.
    Usage,
    /// The instance could not be reached or sent no valid response.
    Unreachable,
    /// `config check` has found warnings, but no error.
    ConfigWarnings,
    /// `config check` has found an error.
    ConfigErrors,
}

impl ExitStatus {
    /// Returns the exit status as a number, from 0 to 3.
    pub const fn code(self) -> u8 {
        match self {
            ExitStatus::Done => 0,
            ExitStatus::Refused | ExitStatus::ConfigWarnings => 1,
            ExitStatus::Usage | ExitStatus::ConfigErrors => 2,
            ExitStatus::Unreachable => 3,
        }
    }
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> ExitCode {
        ExitCode::from(status.code())
    }
}
