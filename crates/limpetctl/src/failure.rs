use std::{fmt, io};

use limpet_wire::ErrorBody;

use crate::ExitStatus;

/// Why a command was not done.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Failure {
    /// The cell refused it, under this id where the instance gave one.
    Refused(ErrorBody, Option<String>),
    /// It can't be understood, or a confirmation is lacking.
    Usage(String),
    /// The instance can't be reached or broke off.
    Unreachable(String),
}

impl Failure {
    /// Returns the exit status that tells of the failure.
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
            Failure::Refused(body, id) => {
                write_refusal(f, body)?;
                write_hint(f, id.as_deref())
            }
            Failure::Usage(message) => f.write_str(message),
            Failure::Unreachable(message) => {
                write!(f, "not reachable: {message}")
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
    refusal: Option<&str>,
) -> fmt::Result {
    match refusal {
        None => Ok(()),
        Some(id) => write!(f, "\n`why refusal {id}` tells more"),
    }
}

impl std::error::Error for Failure {}

/// Output that can't be written is a fault of the call, as of a pipe that
/// was closed.
impl From<io::Error> for Failure {
    fn from(err: io::Error) -> Failure {
        Failure::Usage(err.to_string())
    }
}
