use crate::{Error, ErrorKind, Result, TimeMs};

/// The time by which a caller expects the answer to its request.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Deadline(TimeMs);

impl Deadline {
    /// Returns the deadline of a request that arrived at `now` with a
    /// timeout of `asked_ms`. A request without a timeout gets `default_ms`,
    /// but no more than `limit_ms`.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::InvalidRequest`] if the timeout is 0 or above
    /// `limit_ms`.
    pub fn from_request(
        now: TimeMs,
        asked_ms: Option<u64>,
        default_ms: u64,
        limit_ms: u64,
    ) -> Result<Deadline> {
        let timeout_ms = asked_ms.unwrap_or(default_ms.min(limit_ms));
        if timeout_ms == 0 || timeout_ms > limit_ms {
            return Err(Error::new(
                ErrorKind::InvalidRequest,
                format!(
                    "timeout is {timeout_ms} ms; 1 to {limit_ms} ms is allowed"
                ),
            ));
        }
        Ok(Deadline(now.plus_ms(timeout_ms)))
    }

    /// Returns a deadline at the given time.
    pub const fn at(at: TimeMs) -> Deadline {
        Deadline(at)
    }

    /// Returns the deadline as a point in time.
    pub const fn as_time(self) -> TimeMs {
        self.0
    }

    /// Returns the milliseconds left at `now`, or 0 once the deadline has
    /// passed.
    pub const fn left_ms(self, now: TimeMs) -> u64 {
        self.0.ms_since(now)
    }

    /// Returns whether more than `ms` milliseconds are left at `now`.
    pub fn allows(self, ms: f64, now: TimeMs) -> bool {
        self.left_ms(now) as f64 > ms
    }
}
