//! The state of the control thread and the view that it publishes.

use std::{collections::BTreeMap, rc::Rc, sync::Arc};

use limpet_core::{
    DataCentre, InstanceId, Resources, ShardId, TimeMs, config::CellConfig,
    ownership::ShardLease, scheduler::Event,
};
use limpet_platform::{Clock, Listing, MemberState, Platform};
use slog::Logger;
use tokio::sync::Notify;

use super::owned_shard::OwnedShard;
use crate::{
    Settings, View, ViewCell, link::Peers, metrics::Metrics,
    refusals::Refusals,
};

/// The dependencies of the control thread.
pub struct ControlParts {
    /// The checked settings.
    pub settings: Settings,
    /// The ports to the platform: table, objects, workers and directory.
    pub platform: Platform,
    /// The monotonic clock, for leases and time-outs.
    pub clock: Clock,
    /// The wall clock, for times in records and answers.
    pub wall_clock: Clock,
    /// The root logger.
    pub log: Logger,
    /// The counters.
    pub metrics: Metrics,
    /// Where views are published for the traffic threads.
    pub view: ViewCell,
    /// The links to other instances.
    pub peers: Peers,
    /// The most recent refusals.
    pub refusals: Refusals,
    /// A random number that identifies this start of the instance.
    pub incarnation: u64,
}

/// The state of the control thread.
pub struct ControlState {
    pub(crate) parts: ControlParts,
    /// The configuration in force.
    pub(super) config: Arc<CellConfig>,
    /// The version of the configuration's rows in the table, 0 before the
    /// first read.
    pub(super) config_version: u64,
    /// Until when the granted keys in `config` count as current.
    pub(super) keys_fresh_until: TimeMs,
    /// The newest list of instances, workers and endpoints.
    pub(super) listing: Listing,
    /// The lease of each shard of the cell, whoever holds it.
    pub(super) leases: BTreeMap<ShardId, ShardLease>,
    /// The shards that this instance owns.
    pub(super) shards: BTreeMap<ShardId, OwnedShard>,
    /// Whether this instance is shutting down.
    pub(super) leaving: bool,
    /// Wakes the allotment loop after a change of limits.
    pub(super) limits_wake: Rc<Notify>,
    /// How many changes of jobs this instance has recorded.
    pub(super) job_changes_recorded: u64,
    /// How many tokens this start of the instance has made.
    tokens_issued: u64,
}

impl ControlState {
    /// Returns the state of an instance that has read nothing yet.
    pub(super) fn new(parts: ControlParts) -> ControlState {
        ControlState {
            parts,
            config: Arc::new(CellConfig::default()),
            config_version: 0,
            keys_fresh_until: TimeMs::ZERO,
            listing: Listing::default(),
            leases: BTreeMap::new(),
            shards: BTreeMap::new(),
            leaving: false,
            limits_wake: Rc::new(Notify::new()),
            job_changes_recorded: 0,
            tokens_issued: 0,
        }
    }

    pub(super) fn now(&self) -> TimeMs {
        self.parts.clock.now()
    }

    pub(super) fn instance(&self) -> &InstanceId {
        &self.parts.settings.instance.id
    }

    /// Returns a token that is unique among all transactions and submissions.
    pub(crate) fn next_token(&mut self) -> String {
        self.tokens_issued += 1;
        format!(
            "{}-{:016x}-{}",
            self.instance(),
            self.parts.incarnation,
            self.tokens_issued
        )
    }

    /// Returns the shards of the cell, one for each configured data centre.
    /// Shard numbers start at 1.
    pub(super) fn cell_shards(&self) -> Vec<CellShard> {
        self.parts
            .settings
            .cell
            .data_centres
            .iter()
            .enumerate()
            .map(|(index, data_centre)| CellShard {
                shard: ShardId::new(index as u64 + 1),
                data_centre: data_centre.clone(),
            })
            .collect()
    }

    /// Publishes a new view for the traffic threads.
    ///
    /// It lists only the endpoints that are live and not drained.
    pub(super) fn publish_view(&self) {
        let endpoints = self
            .listing
            .endpoints
            .iter()
            .filter(|entry| {
                entry.state == MemberState::Live
                    && !self.config.drained_endpoints.contains(&entry.endpoint)
            })
            .cloned()
            .collect();
        let others: Vec<&InstanceId> = self
            .listing
            .instances
            .iter()
            .filter(|entry| entry.state == MemberState::Live)
            .map(|entry| &entry.instance)
            .filter(|instance| *instance != self.instance())
            .collect();
        let rank = others.iter().filter(|id| **id < self.instance()).count();
        self.parts.view.store(Arc::new(View {
            instance: self.instance().clone(),
            data_centre: self.parts.settings.instance.data_centre.clone(),
            config: Arc::clone(&self.config),
            keys_fresh_until: self.keys_fresh_until,
            endpoints: Arc::new(endpoints),
            instances: others.len() as u32 + 1,
            instance_rank: rank as u32,
            leaving: self.leaving,
        }));
    }

    /// Puts a configuration into force, unless it is older than the current
    /// one. It may come from the table or from another instance.
    pub(super) fn adopt_config(&mut self, config: CellConfig, version: u64) {
        if config.revision < self.config.revision {
            return;
        }
        self.config = Arc::new(config);
        self.config_version = self.config_version.max(version);
        let shards: Vec<ShardId> = self.shards.keys().copied().collect();
        for shard in shards {
            self.configure_shard(shard);
        }
        self.limits_wake.notify_one();
        self.publish_view();
    }

    /// Passes the queues, weights and allotments in force to the scheduler
    /// of a shard.
    pub(super) fn configure_shard(&mut self, shard: ShardId) {
        for event in self.config_events(shard) {
            self.feed(shard, &event);
        }
    }

    /// Returns the events that set every queue, weight and allotment in a
    /// shard's scheduler.
    fn config_events(&self, shard: ShardId) -> Vec<Event> {
        let allowed = self.shards.get(&shard).map(|owned| &owned.allowed);
        let mut events = Vec::new();
        for (queue, config) in &self.config.queues {
            events.push(Event::QueueChanged {
                queue: queue.clone(),
                config: config.clone(),
            });
        }
        for (team, config) in &self.config.teams {
            events.push(Event::ShareChanged {
                team: team.clone(),
                weight: config.weight,
            });
            events.push(Event::AllotmentChanged {
                team: team.clone(),
                allotment: allotment(
                    &config.limit,
                    allowed.and_then(|allowed| allowed.get(team)),
                ),
            });
        }
        events
    }
}

/// A shard of the cell and the data centre whose workers it schedules.
#[derive(Clone, Debug)]
pub(crate) struct CellShard {
    pub(crate) shard: ShardId,
    pub(crate) data_centre: DataCentre,
}

/// Returns what a team may run at once in a shard: everything if it has no
/// limit, and nothing until its allotment has been read.
fn allotment(limit: &Resources, allowed: Option<&Resources>) -> Resources {
    if *limit == Resources::UNLIMITED {
        return *limit;
    }
    allowed.copied().unwrap_or(Resources::ZERO)
}
