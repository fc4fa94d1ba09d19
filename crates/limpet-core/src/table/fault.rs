use crate::ErrorKind;

/// Why a call to the table or the object store gave no answer.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum StoreFault {
    /// The call certainly had no effect.
    Unavailable,
    /// The call may have had its effect, or may still have it.
    Unknown,
}

impl StoreFault {
    /// Returns the kind that a caller is told.
    pub const fn kind(self) -> ErrorKind {
        match self {
            StoreFault::Unavailable => ErrorKind::StoreUnavailable,
            StoreFault::Unknown => ErrorKind::StoreUnknown,
        }
    }
}
