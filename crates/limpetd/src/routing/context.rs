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

/// What one traffic thread knows and owns. Clones share it.
#[derive(Clone)]
pub struct TrafficContext {
    inner: Rc<ContextInner>,
}

/// What a [`TrafficContext`] is made of.
#[derive(Clone)]
pub struct TrafficParts {
    /// The limits of the thread.
    pub options: TrafficOptions,
    /// The place where views are published.
    pub view: ViewCell,
    /// The claims; without them, requests with an idempotency key are
    /// refused.
    pub claims: Option<ClaimPort>,
    /// The counts of requests under way.
    pub activity: TrafficActivity,
    /// Where each decision is logged.
    pub logger: Logger,
    /// The monotonic clock.
    pub clock: Clock,
    /// The wall clock, by which keys expire.
    pub wall_clock: Clock,
}

/// What the clones of a [`TrafficContext`] share.
pub(crate) struct ContextInner {
    parts: TrafficParts,
    next_request: Cell<u64>,
    state: RefCell<ThreadState>,
}

impl TrafficContext {
    /// Returns the context of the thread that calls this, which must run an
    /// `actix_rt` system.
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

    pub(crate) fn next_request(&self) -> u64 {
        let number = self.inner.next_request.get();
        self.inner.next_request.set(number + 1);
        number
    }

    pub(crate) fn activity(&self) -> &TrafficActivity {
        &self.inner.parts.activity
    }

    /// Runs `f` on what the thread keeps. `f` must drop no guard: a guard's
    /// own drop comes back here.
    pub(crate) fn with_state<T>(
        &self,
        f: impl FnOnce(&mut ThreadState) -> T,
    ) -> T {
        f(&mut self.inner.state.borrow_mut())
    }

    /// Takes in the newest view, where it is another one.
    pub(crate) fn sync(&self, view: &Arc<View>) {
        let now = self.now();
        self.with_state(|state| state.sync(self.options(), view, now));
    }

    /// Runs `f` on a service's state, where there is one.
    pub(crate) fn with_service<T>(
        &self,
        service: &ServiceName,
        f: impl FnOnce(&mut ServiceState) -> T,
    ) -> Option<T> {
        self.with_state(|state| state.services.get_mut(service).map(f))
    }

    /// Runs `f` on the pool of a runner, where there is one.
    pub(crate) fn with_pool<T>(
        &self,
        endpoint: &EndpointId,
        f: impl FnOnce(&mut RunnerPool) -> T,
    ) -> Option<T> {
        self.with_state(|state| state.pools.get_mut(endpoint).map(f))
    }

    /// Takes in what became of an attempt, and gives the freed slot to the
    /// request whose turn it is.
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
        self.pump(service);
    }

    /// Gives free slots to the requests whose turn it is.
    pub(crate) fn pump(&self, service: &ServiceName) {
        loop {
            let now = self.now();
            let draw = rand::random();
            let turn =
                self.with_service(service, |state| state.next_turn(draw, now));
            let Some(Some((pending, turn))) = turn else { return };
            let turn =
                turn.map(|choice| AttemptGuard::new(self, service, choice));
            // A waiter that has gone drops the guard here, outside the
            // state, which frees the slot again.
            drop(pending.sender.send(turn));
        }
    }

    /// Says when a refused caller should come back.
    pub(crate) fn refuse_until_ms(&self) -> u64 {
        let now = self.now();
        self.with_state(|state| state.retry_after.refuse(now, rand::random()))
    }

    /// Returns the context again while the thread still uses it.
    pub(crate) fn upgrade(weak: &WeakContext) -> Option<TrafficContext> {
        weak.upgrade().map(|inner| TrafficContext { inner })
    }
}

/// A context that a background task doesn't keep alive.
pub(crate) type WeakContext = std::rc::Weak<ContextInner>;
