use std::{collections::BTreeMap, sync::Arc};

use limpet_core::{
    DataCentre, InstanceId, Resources, ShardId, TimeMs, config::CellConfig,
    ownership::ShardLease, scheduler::Event,
};
use limpet_platform::{Clock, Listing, MemberState, Platform};
use slog::Logger;

use super::owned_shard::OwnedShard;
use crate::{
    Settings, View, ViewCell, link::Peers, metrics::Metrics,
    refusals::Refusals,
};

/// What the control thread is made of.
pub struct ControlParts {
    /// The checked settings.
    pub settings: Settings,
    /// The ports to the platform.
    pub platform: Platform,
    /// The clock for leases and time-outs.
    pub clock: Clock,
    /// The clock for what people read.
    pub wall_clock: Clock,
    /// The root logger.
    pub log: Logger,
    /// The counters.
    pub metrics: Metrics,
    /// The place where views are published.
    pub view: ViewCell,
    /// The links to other instances.
    pub peers: Peers,
    /// What was refused lately.
    pub refusals: Refusals,
    /// A number that no other start of an instance bears.
    pub incarnation: u64,
}

/// Everything that the control thread knows.
pub struct ControlState {
    pub(crate) parts: ControlParts,
    pub(super) config: Arc<CellConfig>,
    /// The version of the revision's row that `config` came with.
    pub(super) config_version: u64,
    pub(super) keys_fresh_until: TimeMs,
    pub(super) listing: Listing,
    pub(super) leases: BTreeMap<ShardId, ShardLease>,
    pub(super) shards: BTreeMap<ShardId, OwnedShard>,
    pub(super) leaving: bool,
    /// The changes of jobs that this instance recorded.
    pub(super) job_changes_recorded: u64,
    tokens_drawn: u64,
}

impl ControlState {
    /// Returns the state of an instance that knows nothing yet.
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
            job_changes_recorded: 0,
            tokens_drawn: 0,
        }
    }

    pub(super) fn now(&self) -> TimeMs {
        self.parts.clock.now()
    }

    pub(super) fn instance(&self) -> &InstanceId {
        &self.parts.settings.instance.id
    }

    /// Returns a text that no other transaction or submission bears.
    pub(crate) fn draw_token(&mut self) -> String {
        self.tokens_drawn += 1;
        format!(
            "{}-{:016x}-{}",
            self.instance(),
            self.parts.incarnation,
            self.tokens_drawn
        )
    }

    /// Returns the shards of the cell with their data centres.
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

    /// Publishes what the traffic threads may know.
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

    /// Takes a newer configuration in force. An older one is ignored,
    /// whoever sends it.
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
        self.publish_view();
    }

    /// Tells the scheduler of a shard what operators have decided.
    pub(super) fn configure_shard(&mut self, shard: ShardId) {
        for event in self.config_events() {
            self.feed(shard, &event);
        }
    }

    fn config_events(&self) -> Vec<Event> {
        let parts = self.cell_shards().len() as u64;
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
                allotment: divide(&config.limit, parts),
            });
        }
        events
    }
}

/// A shard of the cell and the data centre whose workers it has.
#[derive(Clone, Debug)]
pub(crate) struct CellShard {
    pub(crate) shard: ShardId,
    pub(crate) data_centre: DataCentre,
}

/// Returns an equal part of a limit, so that all parts together never
/// exceed it.
fn divide(limit: &Resources, parts: u64) -> Resources {
    if *limit == Resources::UNLIMITED {
        return *limit;
    }
    Resources::new(
        limit.cores_milli / parts,
        limit.memory_mb / parts,
        limit.accelerators / parts,
    )
}
