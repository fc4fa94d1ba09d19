//! The view of the control state that traffic threads read.

use std::sync::Arc;

use arc_swap::ArcSwap;
use limpet_core::{
    DataCentre, Error, ErrorKind, InstanceId, Result, TimeMs,
    config::{CellConfig, KeyRecord, KeySecret},
};
use limpet_platform::EndpointEntry;

/// The part of the control state that traffic threads need.
///
/// A view is immutable. The control thread publishes a new one by swapping a
/// pointer, so that a traffic thread never waits.
#[derive(Clone, Debug)]
pub struct View {
    /// The name of this instance.
    pub instance: InstanceId,
    /// The data centre of this instance.
    pub data_centre: DataCentre,
    /// The configuration in force.
    pub config: Arc<CellConfig>,
    /// Until when, on the monotonic clock, the keys in `config` count as
    /// current; a withdrawal may have been missed after that. It is a time and
    /// not a flag because a process that was paused may read this view before
    /// the control thread replaces it.
    pub keys_fresh_until: TimeMs,
    /// The endpoints of all services that may get new requests.
    pub endpoints: Arc<Vec<EndpointEntry>>,
    /// The number of live instances, including this one. They divide the
    /// connections to each endpoint among them.
    pub instances: u32,
    /// The position, from 0, of this instance among the live ones sorted by
    /// id.
    pub instance_rank: u32,
    /// Whether this instance is shutting down.
    pub leaving: bool,
}

impl View {
    /// Verifies a key and returns its record. `now` is on the monotonic clock,
    /// `wall_now` on the wall clock.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::KeyUnverified`] if a withdrawal may have been missed, and
    /// otherwise as [`CellConfig::verify_key`].
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
        // A withdrawal is final. Any other result may be out of date: a key
        // that is unknown here may have been granted meanwhile.
        if now >= self.keys_fresh_until && !withdrawn {
            return Err(Error::new(
                ErrorKind::KeyUnverified,
                "this instance can't tell whether the key is still granted",
            ));
        }
        verified
    }
}

/// Holds the newest [`View`].
pub type ViewCell = Arc<ArcSwap<View>>;
