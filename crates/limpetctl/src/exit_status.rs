use std::process::ExitCode;

/// How a run ended, for the shell.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum ExitStatus {
    /// Everything was done.
    Done,
    /// The cell refused the command.
    Refused,
    /// The command line or the command can't be understood, or a
    /// confirmation is lacking.
    Usage,
    /// The instance can't be reached.
    Unreachable,
}

impl ExitStatus {
    /// Returns the number that the shell sees.
    pub const fn code(self) -> u8 {
        match self {
            ExitStatus::Done => 0,
            ExitStatus::Refused => 1,
            ExitStatus::Usage => 2,
            ExitStatus::Unreachable => 3,
        }
    }
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> ExitCode {
        ExitCode::from(status.code())
    }
}
