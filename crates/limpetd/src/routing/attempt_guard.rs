//! The guard of an attempt, which frees the runner's slot when it is dropped.

use std::rc::Rc;

use limpet_core::{
    EndpointId, ServiceName, TimeMs,
    routing::{Choice, ChoiceReason, Outcome},
};

use super::{
    TrafficContext, in_flight_request::InFlightRequest,
    runner_connection::RunnerConnection,
};

/// Holds a slot and a connection of a runner for one attempt.
///
/// Dropping it reports the outcome to the router and frees both. Unless
/// another outcome was set, that is [`Outcome::Abandoned`].
pub(crate) struct AttemptGuard {
    context: TrafficContext,
    service: ServiceName,
    choice: Choice,
    begun_at: TimeMs,
    outcome: Outcome,
    /// The load that the runner reported.
    load: Option<u32>,
    /// Whether the answer is a server error of the runner.
    faulty: bool,
    /// Whether the runner echoed the number of the request.
    echoed: bool,
    /// Keeps the request counted as in flight; set before it is sent.
    in_flight: Option<Rc<InFlightRequest>>,
}

impl AttemptGuard {
    /// Returns the guard of an attempt whose slot the router has counted as
    /// used already, and counts its connection in the runner's pool.
    pub(crate) fn new(
        context: &TrafficContext,
        service: &ServiceName,
        choice: Choice,
    ) -> AttemptGuard {
        context.with_pool(&choice.endpoint, |pool| pool.begin());
        AttemptGuard {
            context: context.clone(),
            service: service.clone(),
            choice,
            begun_at: context.now(),
            outcome: Outcome::Abandoned,
            load: None,
            faulty: false,
            echoed: false,
            in_flight: None,
        }
    }

    pub(crate) fn endpoint(&self) -> &EndpointId {
        &self.choice.endpoint
    }

    /// Returns why the router chose this runner.
    pub(crate) fn reason(&self) -> ChoiceReason {
        self.choice.reason
    }

    /// Returns whether the runner is in another data centre than this
    /// instance.
    pub(crate) fn is_spilled(&self) -> bool {
        self.choice.spilled
    }

    /// Keeps the request counted as in flight until this guard is dropped.
    pub(crate) fn set_in_flight(&mut self, in_flight: Rc<InFlightRequest>) {
        self.in_flight = Some(in_flight);
    }

    /// Records what the head of the answer says.
    pub(crate) fn record_head(&mut self, echoed: bool, load: Option<u32>) {
        self.echoed = echoed;
        self.load = load;
        let now = self.context.now();
        self.context.with_service(&self.service, |state| {
            if let Some(endpoint) = state.router.get_mut(&self.choice.endpoint)
            {
                endpoint.record_response_start(now);
            }
        });
    }

    /// Sets whether the answer is a server error of the runner.
    pub(crate) fn set_faulty(&mut self, faulty: bool) {
        self.faulty = faulty;
    }

    /// Returns the outcome of a complete answer that ended at `now`.
    fn complete_outcome(&self, now: TimeMs) -> Outcome {
        let latency_ms = now.ms_since(self.begun_at);
        match self.faulty {
            true => Outcome::Faulty { latency_ms },
            false => Outcome::Answered { latency_ms, load: self.load },
        }
    }

    /// Records that the runner is about to leave.
    pub(crate) fn mark_leaving(&self) {
        let now = self.context.now();
        self.with_endpoint(|endpoint| endpoint.mark_leaving(now));
    }

    /// Records that the runner closed a connection.
    pub(crate) fn mark_suspected(&self) {
        self.with_endpoint(|endpoint| endpoint.mark_suspected());
    }

    /// Records that the runner accepted a connection.
    pub(crate) fn record_connected(&self) {
        let now = self.context.now();
        self.with_endpoint(|endpoint| endpoint.record_probe(true, now));
    }

    fn with_endpoint(
        &self,
        f: impl FnOnce(&mut limpet_core::routing::EndpointState),
    ) {
        self.context.with_service(&self.service, |state| {
            state.router.get_mut(&self.choice.endpoint).map(f)
        });
    }

    /// Ends a failed attempt with its outcome.
    pub(crate) fn fail(mut self, outcome: Outcome) {
        self.outcome = outcome;
    }

    /// Ends an attempt with a complete answer. The connection, if it may be
    /// used again, goes back to the pool.
    pub(crate) fn finish_and_reuse(
        mut self,
        connection: Option<RunnerConnection>,
    ) {
        let now = self.context.now();
        self.outcome = self.complete_outcome(now);
        let Some(connection) = connection else {
            // The runner closes the connection, perhaps since it is leaving.
            self.mark_suspected();
            return;
        };
        if connection.is_read_buf_empty() {
            self.context.with_pool(&self.choice.endpoint, |pool| {
                pool.put(connection, self.echoed, now);
            });
        }
    }

    /// Ends an attempt with a complete answer and closes its connection.
    pub(crate) fn finish_and_close(mut self) {
        self.outcome = self.complete_outcome(self.context.now());
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        self.context.finish_attempt(
            &self.service,
            &self.choice.endpoint,
            self.outcome,
        );
    }
}
