//! Settings of the limits on callers.

use super::reader::{Faults, Section};

/// The section `limits`: limits on callers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(serde::Serialize)]
pub struct LimitSettings {
    /// The largest size of a job file or command, in bytes.
    pub body_bytes: u64,
    /// The largest body of a request to a service, in bytes.
    pub service_body_bytes: u64,
    /// How long a caller may take to send the headers, in milliseconds.
    pub header_ms: u64,
    /// How long a caller may take to send a job file or a command, in
    /// milliseconds.
    pub body_ms: u64,
    /// How long an idle connection of a caller is kept open, in milliseconds.
    pub idle_ms: u64,
    /// The most connections of callers on each traffic thread.
    pub connections: u64,
}

impl LimitSettings {
    pub(super) fn read(
        section: &mut Section,
        faults: &mut Faults,
    ) -> LimitSettings {
        let settings = LimitSettings {
            body_bytes: section.number(
                "body_bytes",
                1_048_576,
                1..=67_108_864,
                faults,
            ),
            service_body_bytes: section.number(
                "service_body_bytes",
                1_073_741_824,
                1..=1_099_511_627_776,
                faults,
            ),
            header_ms: section.number("header_ms", 5_000, 10..=60_000, faults),
            body_ms: section.number("body_ms", 10_000, 10..=600_000, faults),
            idle_ms: section.number("idle_ms", 5_000, 10..=600_000, faults),
            connections: section.number(
                "connections",
                25_000,
                1..=1_000_000,
                faults,
            ),
        };
        section.finish(faults);
        settings
    }
}
