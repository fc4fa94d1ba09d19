use std::{
    fmt,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Instant, SystemTime, UNIX_EPOCH},
};

use limpet_core::TimeMs;

/// A clock with a resolution of 1 ms, from which all code reads the time.
///
/// A daemon uses a monotonic clock for leases and time-outs and a wall clock
/// for times that people read. Tests use a manual clock. Clones read the same
/// clock.
#[derive(Clone)]
pub struct Clock {
    now: Arc<dyn Fn() -> TimeMs + Send + Sync>,
}

impl Clock {
    /// Returns a clock that counts from its creation and never goes back.
    pub fn monotonic() -> Clock {
        let start = Instant::now();
        Clock::from_fn(move || {
            TimeMs::from_ms(start.elapsed().as_millis() as u64)
        })
    }

    /// Returns the wall clock, which counts from the Unix epoch and jumps
    /// when the system time is set.
    pub fn wall() -> Clock {
        Clock::from_fn(|| {
            let since = SystemTime::now().duration_since(UNIX_EPOCH);
            TimeMs::from_ms(since.map_or(0, |since| since.as_millis() as u64))
        })
    }

    /// Returns a clock that counts from the Unix epoch and never goes back.
    /// It reads the wall clock once, now, and a monotonic clock from then on.
    ///
    /// It is for times that are both shown to people and compared with each
    /// other, whose order must survive a correction of the wall clock.
    pub fn steady_wall() -> Clock {
        let origin = Clock::wall().now();
        let elapsed = Clock::monotonic();
        Clock::from_fn(move || origin.plus_ms(elapsed.now().as_ms()))
    }

    /// Returns a clock that starts at 0, and the counter of milliseconds that
    /// sets its time. The clock doesn't advance by itself.
    pub fn manual() -> (Clock, Arc<AtomicU64>) {
        let counter = Arc::new(AtomicU64::new(0));
        let read = Arc::clone(&counter);
        let clock = Clock::from_fn(move || {
            TimeMs::from_ms(read.load(Ordering::SeqCst))
        });
        (clock, counter)
    }

    /// Returns a clock that calls `now` to tell the time.
    pub fn from_fn(now: impl Fn() -> TimeMs + Send + Sync + 'static) -> Clock {
        Clock { now: Arc::new(now) }
    }

    /// Returns the current time.
    pub fn now(&self) -> TimeMs {
        (self.now)()
    }
}

impl fmt::Debug for Clock {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Clock").field("now", &self.now()).finish()
    }
}
