use std::{fmt, io};

use limpet_wire::ErrorBody;

use crate::ExitStatus;

/// Why a command failed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Failure {
    /// The cell refused the command: the error that it returned, and the id
    /// for `why refusal ID` if the response had one.
    Refused(ErrorBody, Option<String>),
    /// The command has an error, a file can't be read, the output can't be
    /// written, or a change was not confirmed. The text says which.
    Usage(String),
    /// The instance could not be reached, closed the connection early or sent
    /// no valid response. The text starts with its address.
    Unreachable(String),
}

impl Failure {
    /// Returns the exit status for this failure.
    pub const fn exit_status(&self) -> ExitStatus {
        match self {
            Failure::Refused(..) => ExitStatus::Refused,
            Failure::Usage(_) => ExitStatus::Usage,
            Failure::Unreachable(_) => ExitStatus::Unreachable,
        }
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Failure::Refused(error, id) => {
                write_refusal(f, error)?;
                write_hint(f, id.as_deref())
            }
            Failure::Usage(message) => f.write_str(message),
            Failure::Unreachable(message) => {
                write!(f, "instance unreachable: {message}")
            }
        }
    }
}

fn write_refusal(f: &mut fmt::Formatter<'_>, body: &ErrorBody) -> fmt::Result {
    let code = body.error.response().code;
    write!(f, "refused ({code}, {}): ", body.run.as_str())?;
    f.write_str(&body.message)?;
    match body.retry_after_ms {
        None => Ok(()),
        Some(0) => f.write_str("; try again"),
        Some(ms) => write!(f, "; try again in {ms} ms"),
    }
}

fn write_hint(
    f: &mut fmt::Formatter<'_>,
    refusal_id: Option<&str>,
) -> fmt::Result {
    match refusal_id {
        None => Ok(()),
        Some(id) => write!(f, "\n`why refusal {id}` tells more"),
    }
}

impl std::error::Error for Failure {}

/// Input or output that fails, for example a write to a closed pipe, counts
/// as [`Failure::Usage`]: the cell neither refused the command nor was
/// unreachable.
impl From<io::Error> for Failure {
    fn from(err: io::Error) -> Failure {
        Failure::Usage(err.to_string())
    }
}
