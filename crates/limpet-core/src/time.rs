use std::fmt;

/// A point in time in milliseconds.
///
/// The core never reads a clock, so every entry point takes one of these.
/// Only differences carry meaning: the origin is whatever the caller's clock
/// counts from, which is the process start for a monotonic clock and the
/// Unix epoch for a wall clock. The two are never mixed in one state.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(transparent)]
pub struct TimeMs(u64);

impl TimeMs {
    /// The origin of the clock.
    pub const ZERO: TimeMs = TimeMs(0);
    /// A time that no clock reaches.
    pub const MAX: TimeMs = TimeMs(u64::MAX);

    /// Returns the time that lies `ms` milliseconds after the origin.
    pub const fn from_ms(ms: u64) -> TimeMs {
        TimeMs(ms)
    }

    /// Returns the milliseconds since the origin.
    pub const fn as_ms(self) -> u64 {
        self.0
    }

    /// Returns the time `ms` milliseconds later, saturating at
    /// [`TimeMs::MAX`].
    pub const fn plus_ms(self, ms: u64) -> TimeMs {
        TimeMs(self.0.saturating_add(ms))
    }

    /// Returns the milliseconds that passed since `earlier`, or 0 where
    /// `earlier` lies in the future.
    ///
    /// # Examples
    ///
    /// ```
    /// use limpet_core::TimeMs;
    ///
    /// let start = TimeMs::from_ms(40);
    /// assert_eq!(start.plus_ms(2).ms_since(start), 2);
    /// assert_eq!(start.ms_since(start.plus_ms(2)), 0);
    /// ```
    pub const fn ms_since(self, earlier: TimeMs) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}

impl fmt::Display for TimeMs {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ms", self.0)
    }
}
