use std::net::SocketAddr;

use limpet_core::{DataCentre, InstanceId};

use super::reader::{Faults, Section};

/// Who and where this instance is.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Serialize)]
pub struct InstanceSettings {
    /// The name of the instance, which no other one bears.
    pub id: InstanceId,
    /// The data centre that it stands in.
    pub data_centre: DataCentre,
    /// Where callers and operators reach it.
    pub http_address: SocketAddr,
    /// Where other instances reach it.
    pub link_address: SocketAddr,
    /// The number of threads for traffic.
    pub traffic_threads: u64,
    /// The longest that a graceful shutdown takes, in milliseconds.
    pub shutdown_ms: u64,
}

impl InstanceSettings {
    pub(super) fn read(
        section: &mut Section,
        faults: &mut Faults,
    ) -> InstanceSettings {
        let address = "an IP number and a port, as in 127.0.0.1:7070";
        let settings = InstanceSettings {
            id: section.text("id", fallback_instance(), "a name", faults),
            data_centre: section.text(
                "data_centre",
                fallback_data_centre(),
                "a name",
                faults,
            ),
            http_address: section.text(
                "http_address",
                SocketAddr::from(([127, 0, 0, 1], 7070)),
                address,
                faults,
            ),
            link_address: section.text(
                "link_address",
                SocketAddr::from(([127, 0, 0, 1], 7071)),
                address,
                faults,
            ),
            traffic_threads: section.number(
                "traffic_threads",
                2,
                1..=64,
                faults,
            ),
            shutdown_ms: section.number(
                "shutdown_ms",
                10_000,
                100..=600_000,
                faults,
            ),
        };
        section.finish(faults);
        settings
    }
}

/// The data centre of an instance whose settings name none.
pub(super) fn fallback_data_centre() -> DataCentre {
    DataCentre::new("local").expect("the name is valid")
}

fn fallback_instance() -> InstanceId {
    InstanceId::new("entry-1").expect("the name is valid")
}
