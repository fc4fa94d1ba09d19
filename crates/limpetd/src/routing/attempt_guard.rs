use std::rc::Rc;

use limpet_core::{
    EndpointId, ServiceName, TimeMs,
    routing::{Choice, ChoiceReason, Outcome},
};

use super::{
    TrafficContext, request_hold::RequestHold,
    runner_connection::RunnerConnection,
};

/// Holds one use of a runner's slot and connection until its answer has
/// ended, whichever way that is.
pub(crate) struct AttemptGuard {
    context: TrafficContext,
    service: ServiceName,
    choice: Choice,
    begun_at: TimeMs,
    outcome: Outcome,
    load: Option<u32>,
    faulty: bool,
    echoed: bool,
    hold: Option<Rc<RequestHold>>,
}

impl AttemptGuard {
    /// Returns the guard of an attempt that the router has counted.
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
            hold: None,
        }
    }

    pub(crate) fn endpoint(&self) -> &EndpointId {
        &self.choice.endpoint
    }

    pub(crate) fn why(&self) -> ChoiceReason {
        self.choice.reason
    }

    pub(crate) fn is_spilled(&self) -> bool {
        self.choice.spilled
    }

    /// Keeps the request counted until the answer has ended.
    pub(crate) fn keep(&mut self, hold: Rc<RequestHold>) {
        self.hold = Some(hold);
    }

    /// Takes in what the head of the answer says.
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

    /// Takes in whether the answer tells of a fault of the runner's own.
    pub(crate) fn set_faulty(&mut self, faulty: bool) {
        self.faulty = faulty;
    }

    fn answered(&self, now: TimeMs) -> Outcome {
        let latency_ms = now.ms_since(self.begun_at);
        match self.faulty {
            true => Outcome::Faulty { latency_ms },
            false => Outcome::Answered { latency_ms, load: self.load },
        }
    }

    /// Takes in evidence that the runner is about to leave.
    pub(crate) fn mark_leaving(&self) {
        let now = self.context.now();
        self.with_endpoint(|endpoint| endpoint.mark_leaving(now));
    }

    /// Takes in that the runner closed a connection.
    pub(crate) fn mark_suspected(&self) {
        self.with_endpoint(|endpoint| endpoint.mark_suspected());
    }

    /// Takes in that the runner accepted a connection.
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

    /// Ends the use with what went wrong.
    pub(crate) fn fail(mut self, outcome: Outcome) {
        self.outcome = outcome;
    }

    /// Ends the use after a whole answer; the connection may serve again.
    pub(crate) fn answer_whole(
        mut self,
        connection: Option<RunnerConnection>,
    ) {
        let now = self.context.now();
        self.outcome = self.answered(now);
        let Some(connection) = connection else {
            // The runner closes it, which a leaving one does.
            self.mark_suspected();
            return;
        };
        if connection.is_read_buf_empty() {
            self.context.with_pool(&self.choice.endpoint, |pool| {
                pool.put(connection, self.echoed, now);
            });
        }
    }

    /// Ends the use after a whole answer whose connection is closed here.
    pub(crate) fn answer_whole_unshared(mut self) {
        self.outcome = self.answered(self.context.now());
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
