//! Settings of the instance.

use std::net::SocketAddr;

use limpet_core::{DataCentre, InstanceId};

use super::reader::{Faults, Section};

/// The section `instance`: the name, data centre and addresses.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Serialize)]
pub struct InstanceSettings {
    /// The name of the instance, which must be unique in the cell.
    pub id: InstanceId,
    /// The data centre of the instance.
    pub data_centre: DataCentre,
    /// Where to listen for callers and operators.
    pub http_address: SocketAddr,
    /// Where to listen for other instances, which connect to this address.
    pub link_address: SocketAddr,
    /// The number of traffic threads.
    pub traffic_threads: u64,
    /// The longest that a graceful shutdown may take, in milliseconds.
    pub shutdown_ms: u64,
}

impl InstanceSettings {
    pub(super) fn read(
        section: &mut Section,
        faults: &mut Faults,
    ) -> InstanceSettings {
        let address = "an IP address and port, as in 127.0.0.1:7070";
        let settings = InstanceSettings {
            id: section.text("id", default_instance_id(), "a name", faults),
            data_centre: section.text(
                "data_centre",
                default_data_centre(),
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

/// Returns the data centre of an instance whose settings name none.
pub(super) fn default_data_centre() -> DataCentre {
    DataCentre::new("local").expect("the name is valid")
}

/// Returns the name of an instance whose settings have none.
fn default_instance_id() -> InstanceId {
    InstanceId::new("entry-1").expect("the name is valid")
}
