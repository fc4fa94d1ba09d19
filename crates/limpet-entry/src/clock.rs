//! The clocks of an entry instance.

use std::time::Duration;

use limpet_core::TimeMs;
use limpet_workflow::Moment;
use nix::time::{ClockId, clock_gettime};

/// Returns the time on a monotonic clock that keeps counting while the
/// machine is suspended.
///
/// Leases depend on it: `CLOCK_MONOTONIC` stops during a suspension, in which
/// a lease expires for the other instances.
pub fn now() -> TimeMs {
    read(ClockId::CLOCK_BOOTTIME)
}

/// Returns the current time on both clocks, for an event of the engine.
pub fn moment() -> Moment {
    Moment { steady: now(), unix_ms: unix_ms() }
}

/// Returns the milliseconds since the Unix epoch.
pub fn unix_ms() -> u64 {
    read(ClockId::CLOCK_REALTIME).as_ms()
}

fn read(clock: ClockId) -> TimeMs {
    // Both clocks exist on every Linux kernel that the C library supports.
    let time = clock_gettime(clock).expect("the kernel supports this clock");
    let ms = time.tv_sec() * 1_000 + time.tv_nsec() / 1_000_000;
    TimeMs::from_ms(ms as u64)
}

/// Waits for `ms` milliseconds.
pub async fn pause(ms: u64) {
    actix_rt::time::sleep(Duration::from_millis(ms)).await;
}
