use std::{collections::HashMap, sync::Arc};

use limpet_core::{
    EndpointId, Result, ServiceName, TeamName, TimeMs,
    routing::{EndpointSpec, RetryAfter, RouterShare, TeamLimits},
};
use limpet_platform::{EndpointEntry, MemberState};

use super::{TrafficOptions, pool::RunnerPool, service_state::ServiceState};
use crate::View;

/// What one traffic thread keeps between requests.
pub(crate) struct ThreadState {
    pub(crate) services: HashMap<ServiceName, ServiceState>,
    pub(crate) pools: HashMap<EndpointId, RunnerPool>,
    pub(crate) retry_after: RetryAfter,
    share: RouterShare,
    teams: TeamLimits,
    seen: Option<Arc<View>>,
}

impl ThreadState {
    pub(crate) fn new(
        options: &TrafficOptions,
        view: &View,
        now: TimeMs,
    ) -> ThreadState {
        let (rank, routers) = place(options, view);
        ThreadState {
            services: HashMap::new(),
            pools: HashMap::new(),
            retry_after: RetryAfter::default(),
            share: RouterShare::new(rank, routers, options.list_lag_ms, now),
            teams: TeamLimits::default(),
            seen: None,
        }
    }

    /// Takes in the newest view, where it is another one.
    pub(crate) fn sync(
        &mut self,
        options: &TrafficOptions,
        view: &Arc<View>,
        now: TimeMs,
    ) {
        let same = |seen: &Arc<View>| Arc::ptr_eq(seen, view);
        if !self.seen.as_ref().is_some_and(same) {
            self.force_sync(options, view, now);
        }
    }

    /// Takes in the newest view and what time has changed.
    pub(crate) fn force_sync(
        &mut self,
        options: &TrafficOptions,
        view: &Arc<View>,
        now: TimeMs,
    ) {
        let (rank, routers) = place(options, view);
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
        self.seen = Some(Arc::clone(view));
    }

    fn sync_pool(&mut self, entry: &EndpointEntry) {
        let share = self.share.part_reserving_joiner(entry.connections).max(1);
        let fresh = || RunnerPool::new(entry.address.clone(), share);
        let pool =
            self.pools.entry(entry.endpoint.clone()).or_insert_with(fresh);
        if pool.address() != entry.address {
            *pool = fresh();
        }
        pool.set_share(share);
    }

    pub(crate) fn begin_team(
        &mut self,
        team: &TeamName,
        limit: u32,
        now: TimeMs,
    ) -> Result<()> {
        self.teams.begin(team, limit, &self.share, now)
    }

    pub(crate) fn end_team(&mut self, team: &TeamName) {
        self.teams.end(team);
    }
}

/// Returns this thread's place among all traffic threads of all instances.
fn place(options: &TrafficOptions, view: &View) -> (u32, u32) {
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
