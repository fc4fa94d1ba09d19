use std::time::Duration;

use limpet_core::TimeMs;
use limpet_workflow::Moment;
use nix::time::{ClockId, clock_gettime};

/// Returns the time on a clock that never goes back and also counts while
/// the machine is suspended.
///
/// Whatever means "still allowed to" counts on it: a monotonic clock stands
/// still during a suspension, in which a lease lapses elsewhere.
pub fn now() -> TimeMs {
    read(ClockId::CLOCK_BOOTTIME)
}

/// Returns the time of an event for the engine.
pub fn moment() -> Moment {
    Moment { steady: now(), unix_ms: unix_ms() }
}

/// Returns the time since the Unix epoch.
pub fn unix_ms() -> u64 {
    read(ClockId::CLOCK_REALTIME).as_ms()
}

fn read(clock: ClockId) -> TimeMs {
    // Both clocks exist on every Linux kernel that the C library supports.
    let time = clock_gettime(clock).expect("the kernel has this clock");
    let ms = time.tv_sec() * 1_000 + time.tv_nsec() / 1_000_000;
    TimeMs::from_ms(ms as u64)
}

/// Waits for some milliseconds.
pub async fn pause(ms: u64) {
    actix_rt::time::sleep(Duration::from_millis(ms)).await;
}
