use std::sync::Arc;

use arc_swap::ArcSwap;
use limpet_core::{DataCentre, InstanceId, config::CellConfig};
use limpet_platform::EndpointEntry;

/// What the traffic threads may know of the control state.
///
/// It is immutable: the control thread publishes a new one by swapping a
/// pointer, so a traffic thread never waits for it.
#[derive(Clone, Debug)]
pub struct View {
    /// This instance.
    pub instance: InstanceId,
    /// The data centre that it stands in.
    pub data_centre: DataCentre,
    /// The configuration in force.
    pub config: Arc<CellConfig>,
    /// Whether the configuration, and so every key, was confirmed recently
    /// enough that a withdrawal can't have been missed.
    pub keys_fresh: bool,
    /// The endpoints of all services that may receive new requests.
    pub endpoints: Arc<Vec<EndpointEntry>>,
    /// The number of live instances, this one included, which divide the
    /// connections of each endpoint among them.
    pub instances: u32,
    /// Whether this instance is leaving and takes no new work.
    pub leaving: bool,
}

/// The place where the newest [`View`] stands.
pub type ViewCell = Arc<ArcSwap<View>>;
