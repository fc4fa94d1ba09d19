use std::fmt;

use limpet_core::{Error, ErrorKind, table::StoreFault};

/// Why a call to the platform failed.
///
/// Only [`PortError::Unavailable`] proves that the call had no effect. After
/// [`PortError::Unknown`] the caller has to find out whether the call had its
/// effect before it repeats a call that isn't idempotent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PortError {
    /// The call certainly had no effect.
    Unavailable(String),
    /// The call may have had its effect, or may still have it.
    Unknown(String),
}

impl PortError {
    /// Reports whether the call certainly had no effect.
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
