use std::rc::Rc;

use limpet_core::{
    DataCentre, EndpointId, InstanceId, ServiceName, scheduler::WorkerShape,
};

use super::PortFuture;

/// The state of a member when the directory last recorded it.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// The member was live.
    Live,
    /// The member was about to leave.
    Leaving,
}

/// The directory's entry for an instance of limpetspur.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct InstanceEntry {
    /// The name of the instance.
    pub instance: InstanceId,
    /// The data centre that it runs in.
    pub data_centre: DataCentre,
    /// The IP address and port on which it accepts links from other
    /// instances.
    pub link_address: String,
    /// Whether it is live or leaving.
    pub state: MemberState,
}

/// The directory's entry for a worker.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct WorkerEntry {
    /// Its name, place and resources.
    pub shape: WorkerShape,
    /// Where requests go: an IP address and port, followed by a path if
    /// several workers share the port.
    pub address: String,
    /// Whether it is live or leaving.
    pub state: MemberState,
}

/// The directory's entry for an endpoint, which is a back end of a service.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct EndpointEntry {
    /// The name of the endpoint.
    pub endpoint: EndpointId,
    /// The service whose requests it serves.
    pub service: ServiceName,
    /// The data centre that it runs in.
    pub data_centre: DataCentre,
    /// The IP address and port that requests go to.
    pub address: String,
    /// The number of requests that it runs at once.
    pub slots: u32,
    /// The number of connections that it accepts.
    pub connections: u32,
    /// Whether it is live or leaving.
    pub state: MemberState,
}

/// The members that the directory lists.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Listing {
    /// The instances.
    pub instances: Vec<InstanceEntry>,
    /// The workers.
    pub workers: Vec<WorkerEntry>,
    /// The endpoints.
    pub endpoints: Vec<EndpointEntry>,
}

/// The directory of live and leaving members. Its answers may be out of
/// date.
#[derive(Clone)]
pub struct DirectoryPort {
    /// Returns all members.
    pub list: Rc<dyn Fn() -> PortFuture<Listing>>,
    /// Adds the entry of an instance, or replaces it. The platform drops an
    /// entry that isn't registered again within a time-out of its own.
    pub register: Rc<dyn Fn(InstanceEntry) -> PortFuture<()>>,
}
