//! Settings of the metrics.

use std::net::SocketAddr;

use super::reader::{Faults, Section};

/// The section `metrics`: where and how often the counters are sent.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Serialize)]
pub struct MetricSettings {
    /// Where to send metrics by UDP. They aren't sent if it is missing.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub address: Option<SocketAddr>,
    /// How often they are sent, in milliseconds.
    pub interval_ms: u64,
}

impl MetricSettings {
    pub(super) fn read(
        section: &mut Section,
        faults: &mut Faults,
    ) -> MetricSettings {
        let settings = MetricSettings {
            address: section.optional(
                "address",
                "an IP address and port",
                faults,
            ),
            interval_ms: section.number(
                "interval_ms",
                1_000,
                100..=60_000,
                faults,
            ),
        };
        section.finish(faults);
        settings
    }
}
