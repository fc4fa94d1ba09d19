//! The contexts of the HTTP interface.

use std::rc::Rc;

use limpet_platform::Clock;
use slog::Logger;

use crate::{
    Settings, ViewCell,
    control::ControlHandle,
    metrics::Metrics,
    refusals::Refusals,
    routing::{ClaimPort, TrafficActivity, TrafficContext},
};

/// The dependencies of the HTTP interface, the same for all traffic threads.
#[derive(Clone)]
pub struct ApiContext {
    /// The checked settings.
    pub settings: Settings,
    /// Sends requests to the control thread.
    pub control: ControlHandle,
    /// Makes claims for requests with an idempotency key.
    pub claims: ClaimPort,
    /// Counts the requests to services that are in flight.
    pub activity: TrafficActivity,
    /// Where the control thread publishes views.
    pub view: ViewCell,
    /// The monotonic clock.
    pub clock: Clock,
    /// The wall clock.
    pub wall_clock: Clock,
    /// The root logger.
    pub log: Logger,
    /// The counters.
    pub metrics: Metrics,
    /// The most recent refusals.
    pub refusals: Refusals,
}

/// The context of one traffic thread, shared by all its requests.
#[derive(Clone)]
pub(super) struct ThreadContext {
    pub(super) api: Rc<ApiContext>,
    pub(super) traffic: TrafficContext,
}
