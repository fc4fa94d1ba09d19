use crate::{Error, ErrorKind, Result, TimeMs};

/// The time by which a caller wants its answer.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Deadline(TimeMs);

impl Deadline {
    /// Returns the deadline of a request that arrived at `now` and asked for
    /// `asked_ms`, or for nothing and gets `default_ms`.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::InvalidRequest`] where 0 or more than `limit_ms` was
    /// asked for.
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
                    "timeout is {timeout_ms} ms, 1 to {limit_ms} is allowed"
                ),
            ));
        }
        Ok(Deadline(now.plus_ms(timeout_ms)))
    }

    /// Returns the deadline at `at`.
    pub const fn at(at: TimeMs) -> Deadline {
        Deadline(at)
    }

    /// Returns the point in time.
    pub const fn as_time(self) -> TimeMs {
        self.0
    }

    /// Returns the milliseconds left at `now`, 0 once it has passed.
    pub const fn left_ms(self, now: TimeMs) -> u64 {
        self.0.ms_since(now)
    }

    /// Says whether something that takes `ms` can still be done.
    pub fn allows(self, ms: f64, now: TimeMs) -> bool {
        self.left_ms(now) as f64 > ms
    }
}
