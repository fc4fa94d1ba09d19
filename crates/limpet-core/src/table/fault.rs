use crate::ErrorKind;

/// Why a call to the table or the object store returned no answer.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum StoreFault {
    /// The call certainly had no effect.
    Unavailable,
    /// The call may have taken effect, or may still do so later.
    Unknown,
}

impl StoreFault {
    /// Returns the kind of error that a caller gets for the fault.
    pub const fn kind(self) -> ErrorKind {
        match self {
            StoreFault::Unavailable => ErrorKind::StoreUnavailable,
            StoreFault::Unknown => ErrorKind::StoreUnknown,
        }
    }
}
