use super::{KeyRecord, QueueConfig, ServiceConfig, TeamConfig};
use crate::{
    EndpointId, InstanceId, KeyId, QueueName, ServiceName, TeamName, WorkerId,
};

/// One change to the cell's configuration.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ConfigChange {
    /// Creates a team or replaces its configuration.
    SetTeam {
        /// The team.
        team: TeamName,
        /// Its new configuration.
        config: TeamConfig,
    },
    /// Creates a queue or replaces its configuration.
    SetQueue {
        /// The queue.
        queue: QueueName,
        /// Its new configuration.
        config: QueueConfig,
    },
    /// Creates a service or replaces its configuration.
    SetService {
        /// The service.
        service: ServiceName,
        /// Its new configuration.
        config: ServiceConfig,
    },
    /// Grants a key.
    GrantKey {
        /// The id of the key.
        key: KeyId,
        /// The stored record of the key, which has no secret.
        record: KeyRecord,
    },
    /// Withdraws a key, which can't be undone.
    WithdrawKey {
        /// The id of the key.
        key: KeyId,
    },
    /// Drains a worker, which then accepts no new tasks, or releases it.
    DrainWorker {
        /// The worker.
        worker: WorkerId,
        /// Whether it is drained from now on.
        drained: bool,
    },
    /// Drains an endpoint, which is then sent no new requests, or releases
    /// it.
    DrainEndpoint {
        /// The endpoint.
        endpoint: EndpointId,
        /// Whether it is drained from now on.
        drained: bool,
    },
    /// Drains an instance, which then hands over its shards, or releases it.
    DrainInstance {
        /// The instance.
        instance: InstanceId,
        /// Whether it is drained from now on.
        drained: bool,
    },
}
