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

/// What every traffic thread is given.
#[derive(Clone)]
pub struct ApiContext {
    /// The checked settings.
    pub settings: Settings,
    /// The way to the control thread.
    pub control: ControlHandle,
    /// The claims of requests with an idempotency key.
    pub claims: ClaimPort,
    /// The counts of requests to services under way.
    pub activity: TrafficActivity,
    /// The place where views are published.
    pub view: ViewCell,
    /// The monotonic clock.
    pub clock: Clock,
    /// The wall clock.
    pub wall_clock: Clock,
    /// The root logger.
    pub log: Logger,
    /// The counters.
    pub metrics: Metrics,
    /// What was refused lately.
    pub refusals: Refusals,
}

/// What one traffic thread holds.
#[derive(Clone)]
pub(super) struct ThreadContext {
    pub(super) api: Rc<ApiContext>,
    pub(super) traffic: TrafficContext,
}
