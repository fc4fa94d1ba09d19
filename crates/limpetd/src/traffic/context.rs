use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
    sync::Arc,
};

use limpet_core::{EndpointId, Error, ErrorKind, Result, ServiceName, TimeMs};
use limpet_platform::{Clock, MemberState};
use slog::Logger;

use super::{TrafficOptions, pool::RunnerPool};
use crate::{View, ViewCell};

/// What one traffic thread knows and owns. Clones share it.
#[derive(Clone)]
pub struct TrafficContext {
    inner: Rc<Inner>,
}

struct Inner {
    options: TrafficOptions,
    view: ViewCell,
    logger: Logger,
    clock: Clock,
    wall_clock: Clock,
    next_request: Cell<u64>,
    in_flight: Cell<usize>,
    pools: RefCell<HashMap<EndpointId, RunnerPool>>,
}

impl TrafficContext {
    /// Returns the context of the thread that calls this, which must run an
    /// `actix_rt` system. `clock` is monotonic.
    pub fn new(
        options: TrafficOptions,
        view: ViewCell,
        logger: Logger,
        clock: Clock,
    ) -> TrafficContext {
        TrafficContext {
            inner: Rc::new(Inner {
                options,
                view,
                logger,
                clock,
                wall_clock: Clock::wall(),
                next_request: Cell::new(1),
                in_flight: Cell::new(0),
                pools: RefCell::new(HashMap::new()),
            }),
        }
    }

    /// Returns how many requests are under way, the ones whose answer is
    /// still being sent included.
    pub fn in_flight(&self) -> usize {
        self.inner.in_flight.get()
    }

    pub(crate) fn options(&self) -> &TrafficOptions {
        &self.inner.options
    }

    pub(crate) fn logger(&self) -> &Logger {
        &self.inner.logger
    }

    pub(crate) fn now(&self) -> TimeMs {
        self.inner.clock.now()
    }

    pub(crate) fn wall_now(&self) -> TimeMs {
        self.inner.wall_clock.now()
    }

    pub(crate) fn view(&self) -> Arc<View> {
        self.inner.view.load_full()
    }

    pub(crate) fn next_request(&self) -> u64 {
        let number = self.inner.next_request.get();
        self.inner.next_request.set(number + 1);
        number
    }

    pub(crate) fn add_in_flight(&self) {
        self.inner.in_flight.set(self.inner.in_flight.get() + 1);
    }

    pub(crate) fn remove_in_flight(&self) {
        self.inner.in_flight.set(self.inner.in_flight.get() - 1);
    }

    /// Runs `f` on the pool of a runner, where there is one.
    pub(crate) fn with_pool<T>(
        &self,
        endpoint: &EndpointId,
        f: impl FnOnce(&mut RunnerPool) -> T,
    ) -> Option<T> {
        self.inner.pools.borrow_mut().get_mut(endpoint).map(f)
    }

    /// Chooses a runner of `service` that takes work.
    pub(crate) fn choose(
        &self,
        view: &View,
        service: &ServiceName,
    ) -> Result<EndpointId> {
        let parts = view.instances.max(1) * self.options().threads;
        let mut pools = self.inner.pools.borrow_mut();
        let live = view.endpoints.iter().filter(|entry| {
            entry.service == *service
                && entry.state == MemberState::Live
                && !view.config.drained_endpoints.contains(&entry.endpoint)
        });
        for entry in live {
            let pool =
                pools.entry(entry.endpoint.clone()).or_insert_with(|| {
                    let share = (entry.connections / parts).max(1);
                    RunnerPool::new(entry.address.clone(), share)
                });
            if pool.has_room() {
                return Ok(entry.endpoint.clone());
            }
        }
        Err(Error::new(
            ErrorKind::NoRunner,
            format!("no runner of `{service}` takes work"),
        ))
    }
}
