use std::sync::Arc;

use arc_swap::ArcSwap;
use limpet_core::{
    DataCentre, Error, ErrorKind, InstanceId, Result, TimeMs,
    config::{CellConfig, KeyRecord, KeySecret},
};
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
    /// The time on the monotonic clock up to which no withdrawal of a key
    /// can have been missed for too long. It is a time and not a flag, since
    /// a process that was paused may read this view before the control
    /// thread replaces it.
    pub keys_fresh_until: TimeMs,
    /// The endpoints of all services that may receive new requests.
    pub endpoints: Arc<Vec<EndpointEntry>>,
    /// The number of live instances, this one included, which divide the
    /// connections of each endpoint among them.
    pub instances: u32,
    /// The position of this instance among the live ones, sorted by id,
    /// from 0.
    pub instance_rank: u32,
    /// Whether this instance is leaving and takes no new work.
    pub leaving: bool,
}

impl View {
    /// Returns the record of the key that came with a request.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::KeyUnverified`] where a withdrawal may have been missed,
    /// and otherwise as [`CellConfig::verify_key`].
    pub fn verify_key(
        &self,
        key: &KeySecret,
        now: TimeMs,
        wall_now: TimeMs,
    ) -> Result<&KeyRecord> {
        let verified = self.config.verify_key(key, wall_now);
        let withdrawn = verified
            .as_ref()
            .is_err_and(|err| err.kind() == ErrorKind::KeyWithdrawn);
        // A withdrawal is final. Anything else may have changed since: a key
        // that isn't known here may have been granted.
        if now >= self.keys_fresh_until && !withdrawn {
            return Err(Error::new(
                ErrorKind::KeyUnverified,
                "this instance can't tell whether the key is still granted",
            ));
        }
        verified
    }
}

/// The place where the newest [`View`] stands.
pub type ViewCell = Arc<ArcSwap<View>>;
