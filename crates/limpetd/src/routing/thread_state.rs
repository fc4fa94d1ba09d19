//! The state that a traffic thread keeps between requests.

use std::{collections::HashMap, sync::Arc};

use limpet_core::{
    EndpointId, Result, ServiceName, TeamName, TimeMs,
    routing::{EndpointSpec, RetryAfter, RouterShare, TeamLimits},
};
use limpet_platform::{EndpointEntry, MemberState};

use super::{TrafficOptions, pool::RunnerPool, service_state::ServiceState};
use crate::View;

/// The routing state of one traffic thread.
pub(crate) struct ThreadState {
    pub(crate) services: HashMap<ServiceName, ServiceState>,
    /// The connections to each listed runner.
    pub(crate) pools: HashMap<EndpointId, RunnerPool>,
    /// Spreads the times at which refused callers try again.
    pub(crate) retry_after: RetryAfter,
    /// This thread's share of the runners' slots and connections.
    share: RouterShare,
    /// The requests in flight of each team.
    teams: TeamLimits,
    /// The view that was applied last.
    applied: Option<Arc<View>>,
}

impl ThreadState {
    pub(crate) fn new(
        options: &TrafficOptions,
        view: &View,
        now: TimeMs,
    ) -> ThreadState {
        let (rank, routers) = thread_rank(options, view);
        ThreadState {
            services: HashMap::new(),
            pools: HashMap::new(),
            retry_after: RetryAfter::default(),
            share: RouterShare::new(rank, routers, options.list_lag_ms, now),
            teams: TeamLimits::default(),
            applied: None,
        }
    }

    /// Applies `view`, unless it is the one that was applied last.
    pub(crate) fn sync(
        &mut self,
        options: &TrafficOptions,
        view: &Arc<View>,
        now: TimeMs,
    ) {
        let same = |applied: &Arc<View>| Arc::ptr_eq(applied, view);
        if !self.applied.as_ref().is_some_and(same) {
            self.force_sync(options, view, now);
        }
    }

    /// Applies `view`, also if it was applied before: this thread's share of
    /// the runners may change with time.
    pub(crate) fn force_sync(
        &mut self,
        options: &TrafficOptions,
        view: &Arc<View>,
        now: TimeMs,
    ) {
        let (rank, routers) = thread_rank(options, view);
        self.share.update(rank, routers, now);
        let live = |entry: &&EndpointEntry| {
            entry.state == MemberState::Live
                && !view.config.drained_endpoints.contains(&entry.endpoint)
        };
        let mut specs: HashMap<&ServiceName, Vec<EndpointSpec>> =
            HashMap::new();
        for entry in view.endpoints.iter().filter(live) {
            specs.entry(&entry.service).or_default().push(spec(entry));
            self.sync_pool(entry);
        }
        for service in view.config.services.keys() {
            self.services.entry(service.clone()).or_insert_with(|| {
                let data_centre = view.data_centre.clone();
                ServiceState::new(service.clone(), data_centre, options)
            });
        }
        for (service, state) in &mut self.services {
            let specs = specs.get(service).map_or(&[][..], Vec::as_slice);
            state.sync(specs, &self.share, now);
        }
        self.pools.retain(|endpoint, _| {
            view.endpoints.iter().any(|entry| entry.endpoint == *endpoint)
        });
        self.applied = Some(Arc::clone(view));
    }

    /// Creates or updates the connection pool of a runner.
    fn sync_pool(&mut self, entry: &EndpointEntry) {
        let share = self.share.part_reserving_joiner(entry.connections).max(1);
        let new_pool = || RunnerPool::new(entry.address.clone(), share);
        let pool =
            self.pools.entry(entry.endpoint.clone()).or_insert_with(new_pool);
        if pool.address() != entry.address {
            *pool = new_pool();
        }
        pool.set_share(share);
    }

    /// Counts a request of a team as in flight.
    ///
    /// # Errors
    ///
    /// `TeamLimit` if the team has too many in flight.
    pub(crate) fn begin_team(
        &mut self,
        team: &TeamName,
        limit: u32,
        now: TimeMs,
    ) -> Result<()> {
        self.teams.begin(team, limit, &self.share, now)
    }

    /// Ends the count of a request of a team.
    pub(crate) fn end_team(&mut self, team: &TeamName) {
        self.teams.end(team);
    }
}

/// Returns the rank of this thread among all traffic threads of all
/// instances, and their number.
fn thread_rank(options: &TrafficOptions, view: &View) -> (u32, u32) {
    let routers = view.instances.max(1) * options.threads;
    let rank = view.instance_rank * options.threads + options.thread;
    (rank, routers)
}

fn spec(entry: &EndpointEntry) -> EndpointSpec {
    EndpointSpec {
        endpoint: entry.endpoint.clone(),
        data_centre: entry.data_centre.clone(),
        slots: entry.slots,
        connections: entry.connections,
    }
}
