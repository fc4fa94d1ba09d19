use std::fmt;

/// A point in time in milliseconds.
///
/// This crate never reads a clock: functions that depend on the time take it
/// as an argument. The origin is that of the caller's clock: the start of the
/// process for a monotonic clock, the Unix epoch for a wall clock. Times of
/// the two clocks are never compared with each other.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(transparent)]
pub struct TimeMs(u64);

impl TimeMs {
    /// The origin of the clock.
    pub const ZERO: TimeMs = TimeMs(0);
    /// The latest time that can be represented; no clock reaches it.
    pub const MAX: TimeMs = TimeMs(u64::MAX);

    /// Creates the time `ms` milliseconds after the origin.
    pub const fn from_ms(ms: u64) -> TimeMs {
        TimeMs(ms)
    }

    /// Returns the number of milliseconds since the origin.
    pub const fn as_ms(self) -> u64 {
        self.0
    }

    /// Returns the time `ms` milliseconds later, saturating at
    /// [`TimeMs::MAX`].
    pub const fn plus_ms(self, ms: u64) -> TimeMs {
        TimeMs(self.0.saturating_add(ms))
    }

    /// Returns the number of milliseconds since `earlier`, or 0 where
    /// `earlier` is later than `self`.
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
