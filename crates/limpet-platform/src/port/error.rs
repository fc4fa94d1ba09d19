use std::fmt;

use limpet_core::{Error, ErrorKind, table::StoreFault};

/// Why a call to the platform gave no answer.
///
/// The two must never be mixed up: only [`PortError::Unavailable`] proves
/// that nothing took effect.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PortError {
    /// The call certainly had no effect.
    Unavailable(String),
    /// The call may or may not have had its effect.
    Unknown(String),
}

impl PortError {
    /// Says whether the call certainly had no effect.
    pub fn is_unavailable(&self) -> bool {
        matches!(self, PortError::Unavailable(_))
    }
}

impl From<&PortError> for StoreFault {
    fn from(err: &PortError) -> StoreFault {
        match err {
            PortError::Unavailable(_) => StoreFault::Unavailable,
            PortError::Unknown(_) => StoreFault::Unknown,
        }
    }
}

impl From<PortError> for Error {
    fn from(err: PortError) -> Error {
        match err {
            PortError::Unavailable(why) => {
                Error::new(ErrorKind::StoreUnavailable, why)
            }
            PortError::Unknown(why) => {
                Error::new(ErrorKind::StoreUnknown, why)
            }
        }
    }
}

impl fmt::Display for PortError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PortError::Unavailable(why) => write!(f, "unavailable: {why}"),
            PortError::Unknown(why) => write!(f, "outcome unknown: {why}"),
        }
    }
}

impl std::error::Error for PortError {}
