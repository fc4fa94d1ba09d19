//! Settings of the platform.

use std::{net::SocketAddr, str::FromStr};

use super::reader::{Faults, Section};

/// The section `platform`: how to reach the platform.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(serde::Serialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum PlatformSettings {
    /// The platform is embedded in this process.
    Embedded,
    /// The platform is reached over HTTP.
    Http {
        /// The IP address and port of the platform.
        address: SocketAddr,
        /// The longest that a call may take, in milliseconds.
        timeout_ms: u64,
    },
}

/// The values of `platform.kind`.
enum Kind {
    Embedded,
    Http,
}

impl FromStr for Kind {
    type Err = ();

    fn from_str(text: &str) -> Result<Kind, ()> {
        match text {
            "embedded" => Ok(Kind::Embedded),
            "http" => Ok(Kind::Http),
            _ => Err(()),
        }
    }
}

impl PlatformSettings {
    pub(super) fn read(
        section: &mut Section,
        faults: &mut Faults,
    ) -> PlatformSettings {
        let kind = section.text(
            "kind",
            Kind::Embedded,
            "\"embedded\" or \"http\"",
            faults,
        );
        let settings = match kind {
            Kind::Embedded => PlatformSettings::Embedded,
            Kind::Http => PlatformSettings::Http {
                address: section.text(
                    "address",
                    SocketAddr::from(([127, 0, 0, 1], 7000)),
                    "an IP address and port",
                    faults,
                ),
                timeout_ms: section.number(
                    "timeout_ms",
                    2_000,
                    10..=60_000,
                    faults,
                ),
            },
        };
        section.finish(faults);
        settings
    }
}
