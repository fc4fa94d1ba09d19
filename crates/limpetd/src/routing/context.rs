//! The context of a traffic thread.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    sync::Arc,
};

use limpet_core::{EndpointId, ServiceName, TimeMs, routing::Outcome};
use limpet_platform::Clock;
use slog::Logger;

use super::{
    ClaimPort, TrafficActivity, TrafficOptions, attempt_guard::AttemptGuard,
    pool::RunnerPool, service_state::ServiceState, sweep,
    thread_state::ThreadState,
};
use crate::{View, ViewCell};

/// The state and the dependencies of one traffic thread. Clones share them.
#[derive(Clone)]
pub struct TrafficContext {
    inner: Rc<ContextInner>,
}

/// The dependencies of a [`TrafficContext`].
#[derive(Clone)]
pub struct TrafficParts {
    /// The limits of the thread.
    pub options: TrafficOptions,
    /// Where the control thread publishes views.
    pub view: ViewCell,
    /// Makes claims. Without it, requests with an idempotency key are refused.
    pub claims: Option<ClaimPort>,
    /// Counts the requests in flight.
    pub activity: TrafficActivity,
    /// Logs each attempt and refusal.
    pub logger: Logger,
    /// The monotonic clock.
    pub clock: Clock,
    /// The wall clock, for the expiry of keys.
    pub wall_clock: Clock,
}

/// What the clones of a [`TrafficContext`] share.
pub(crate) struct ContextInner {
    parts: TrafficParts,
    /// The number of the next request.
    next_request: Cell<u64>,
    state: RefCell<ThreadState>,
}

impl TrafficContext {
    /// Returns a context for the calling thread, which must run an `actix_rt`
    /// system, and starts its background task.
    pub fn new(parts: TrafficParts) -> TrafficContext {
        let view = parts.view.load_full();
        let now = parts.clock.now();
        let state = ThreadState::new(&parts.options, &view, now);
        let context = TrafficContext {
            inner: Rc::new(ContextInner {
                parts,
                next_request: Cell::new(1),
                state: RefCell::new(state),
            }),
        };
        sweep::start(Rc::downgrade(&context.inner));
        context
    }

    pub(crate) fn options(&self) -> &TrafficOptions {
        &self.inner.parts.options
    }

    pub(crate) fn logger(&self) -> &Logger {
        &self.inner.parts.logger
    }

    pub(crate) fn claims(&self) -> Option<&ClaimPort> {
        self.inner.parts.claims.as_ref()
    }

    pub(crate) fn now(&self) -> TimeMs {
        self.inner.parts.clock.now()
    }

    pub(crate) fn wall_now(&self) -> TimeMs {
        self.inner.parts.wall_clock.now()
    }

    pub(crate) fn view(&self) -> Arc<View> {
        self.inner.parts.view.load_full()
    }

    /// Returns the next number for a request. Numbers start at 1 on each
    /// thread.
    pub(crate) fn next_request(&self) -> u64 {
        let number = self.inner.next_request.get();
        self.inner.next_request.set(number + 1);
        number
    }

    pub(crate) fn activity(&self) -> &TrafficActivity {
        &self.inner.parts.activity
    }

    /// Runs `f` on the thread's state. `f` must not drop an [`AttemptGuard`]
    /// or an `InFlightRequest`: their drops call this function too and would
    /// panic.
    pub(crate) fn with_state<T>(
        &self,
        f: impl FnOnce(&mut ThreadState) -> T,
    ) -> T {
        f(&mut self.inner.state.borrow_mut())
    }

    /// Applies `view`, unless it is the one that was applied last.
    pub(crate) fn sync(&self, view: &Arc<View>) {
        let now = self.now();
        self.with_state(|state| state.sync(self.options(), view, now));
    }

    /// Runs `f` on the state of a service, if there is such a service.
    pub(crate) fn with_service<T>(
        &self,
        service: &ServiceName,
        f: impl FnOnce(&mut ServiceState) -> T,
    ) -> Option<T> {
        self.with_state(|state| state.services.get_mut(service).map(f))
    }

    /// Runs `f` on the pool of a runner, if the runner is listed.
    pub(crate) fn with_pool<T>(
        &self,
        endpoint: &EndpointId,
        f: impl FnOnce(&mut RunnerPool) -> T,
    ) -> Option<T> {
        self.with_state(|state| state.pools.get_mut(endpoint).map(f))
    }

    /// Records the outcome of an attempt, and gives the freed slot to the next
    /// waiting request.
    pub(crate) fn finish_attempt(
        &self,
        service: &ServiceName,
        endpoint: &EndpointId,
        outcome: Outcome,
    ) {
        let now = self.now();
        self.with_state(|state| {
            if let Some(pool) = state.pools.get_mut(endpoint) {
                pool.release();
            }
            if matches!(outcome, Outcome::Answered { .. }) {
                state.retry_after.record_served(now);
            }
            if let Some(service) = state.services.get_mut(service) {
                service.finish(endpoint, outcome, now);
            }
        });
        self.assign_free_slots(service);
    }

    /// Gives free slots of a service's runners to waiting requests, in the
    /// order of the queue.
    pub(crate) fn assign_free_slots(&self, service: &ServiceName) {
        loop {
            let now = self.now();
            let draw = rand::random();
            let assignment = self
                .with_service(service, |state| state.next_waiting(draw, now));
            let Some(Some((pending, assignment))) = assignment else { return };
            let assignment = assignment
                .map(|choice| AttemptGuard::new(self, service, choice));
            // If the request has stopped waiting, the guard is dropped here,
            // where the state isn't borrowed, and frees the slot again.
            drop(pending.sender.send(assignment));
        }
    }

    /// Returns after how many milliseconds a refused caller should try again.
    pub(crate) fn retry_after_ms(&self) -> u64 {
        let now = self.now();
        self.with_state(|state| state.retry_after.refuse(now, rand::random()))
    }

    /// Returns the context, or `None` once the thread has dropped it.
    pub(crate) fn upgrade(weak: &WeakContext) -> Option<TrafficContext> {
        weak.upgrade().map(|inner| TrafficContext { inner })
    }
}

/// A reference to a context that doesn't keep it alive, for background tasks.
pub(crate) type WeakContext = std::rc::Weak<ContextInner>;
