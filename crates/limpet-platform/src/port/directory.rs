use std::rc::Rc;

use limpet_core::{
    DataCentre, EndpointId, InstanceId, ServiceName, scheduler::WorkerShape,
};

use super::PortFuture;

/// What the platform says of a member, some time ago.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// It was live.
    Live,
    /// It was about to leave.
    Leaving,
}

/// An instance of the system.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct InstanceEntry {
    /// The instance.
    pub instance: InstanceId,
    /// The data centre that it stands in.
    pub data_centre: DataCentre,
    /// The IP number and port of its link to other instances.
    pub link_address: String,
    /// What the platform says of it.
    pub state: MemberState,
}

/// A worker.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct WorkerEntry {
    /// What it is.
    pub shape: WorkerShape,
    /// Where commands go: an IP number and port, and a path after them
    /// where several workers share a port.
    pub address: String,
    /// What the platform says of it.
    pub state: MemberState,
}

/// A back end of a service.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct EndpointEntry {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The service whose requests it serves.
    pub service: ServiceName,
    /// The data centre that it stands in.
    pub data_centre: DataCentre,
    /// The IP number and port that requests go to.
    pub address: String,
    /// How many requests it runs at once.
    pub slots: u32,
    /// How many connections it takes.
    pub connections: u32,
    /// What the platform says of it.
    pub state: MemberState,
}

/// Everything that the platform lists.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Listing {
    /// The instances of the system.
    pub instances: Vec<InstanceEntry>,
    /// The workers.
    pub workers: Vec<WorkerEntry>,
    /// The endpoints.
    pub endpoints: Vec<EndpointEntry>,
}

/// The lagging list of live and leaving members.
#[derive(Clone)]
pub struct DirectoryPort {
    /// Reads the whole list.
    pub list: Rc<dyn Fn() -> PortFuture<Listing>>,
    /// Enters an instance, or changes its entry. An entry that isn't
    /// entered again for the platform's own time-out disappears.
    pub register: Rc<dyn Fn(InstanceEntry) -> PortFuture<()>>,
}
